/**
 * Branded id types, which keep the compiler from accepting, for example, an instance id in place of
 * a rack id.
 *
 * @example
 * ```ts
 * import { createId, type InstanceId } from "./ids.ts";
 * const id: InstanceId = createId<InstanceId>("hall-a-r1-w1");
 * ```
 *
 * @module
 */

declare const brandTag: unique symbol;

/** A `T` with the brand `B`, which exists only at compile time. */
export type Brand<T, B extends string> = T & { readonly [brandTag]: B };

/** An instance (a machine) listed in the operators' asset register. */
export type InstanceId = Brand<string, "InstanceId">;
/** A rack that holds instances. */
export type RackId = Brand<string, "RackId">;
/** An availability zone. */
export type ZoneId = Brand<string, "ZoneId">;
/** A service that callers send work to, such as `studio-intake` or `cerimonia`. */
export type ServiceId = Brand<string, "ServiceId">;
/** An executor: the slots of one service on one instance. */
export type ExecutorId = Brand<string, "ExecutorId">;
/** A customer (a team) that owns requests and may have a quota. */
export type CustomerId = Brand<string, "CustomerId">;
/** A request accepted by the cell. */
export type RequestId = Brand<string, "RequestId">;
/** A task of a request; a gang job or a service has several. */
export type TaskId = Brand<string, "TaskId">;
/** A lease that assigns one task to one worker. */
export type LeaseId = Brand<string, "LeaseId">;
/** A poplarhead process: an entry instance, or a simulated outside system such as a worker. */
export type ProcessId = Brand<string, "ProcessId">;

/**
 * Brands a string as an id without checking it. Use it only on validated strings, such as those
 * from settings files or RPC messages.
 *
 * @param value The validated string.
 * @returns The same string, branded as `T`.
 */
export function createId<T extends Brand<string, string>>(value: string): T {
    return value as T;
}
