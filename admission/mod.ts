/**
 * Admission control under overload: predicts when a submitted job would start, and refuses a job
 * that could no longer be of use to its caller. No I/O, timers or clocks; time is passed in.
 *
 * @example
 * ```ts
 * import { AdmissionController, CapacityForecast } from "./mod.ts";
 * const decision = new AdmissionController().checkJob({ job, queue, spec, forecast, ranks, now });
 * ```
 *
 * @module
 */

export * from "./admission_controller.ts";
export * from "./arrival_meter.ts";
export * from "./forecast.ts";
export * from "./retry_spreader.ts";
export * from "./types.ts";
