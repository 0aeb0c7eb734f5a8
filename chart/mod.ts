/**
 * State charts as data: load a YAML chart and move along its edges.
 *
 * @example
 * ```ts
 * import { loadChart, applyChartEvent } from "./mod.ts";
 * ```
 *
 * @module
 */

export * from "./chart.ts";
