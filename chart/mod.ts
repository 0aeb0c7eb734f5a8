/**
 * State charts defined in YAML: loading and evaluation of transitions.
 *
 * @example
 * ```ts
 * import { loadChart, getNextState } from "./mod.ts";
 * ```
 *
 * @module
 */

export * from "./chart.ts";
