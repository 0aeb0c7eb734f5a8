/**
 * Types of admission control.
 *
 * @example
 * ```ts
 * import type { AdmissionMode } from "./types.ts";
 * const isEnabled = (mode: AdmissionMode) => mode === "forecast";
 * ```
 *
 * @module
 */

/** Whether jobs are refused that are forecast to be worth nothing to their callers. */
export type AdmissionMode = "forecast" | "off";
