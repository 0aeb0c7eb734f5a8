/**
 * Branded ids: strings that the type checker keeps apart, so an instance id cannot be passed
 * where a rack id is wanted.
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

/** A value of type `T` marked with the brand `B`; the mark exists only for the type checker. */
export type Brand<T, B extends string> = T & { readonly [brandTag]: B };

/** An instance (a machine) from the operators' asset register. */
export type InstanceId = Brand<string, "InstanceId">;
/** A rack of instances. */
export type RackId = Brand<string, "RackId">;
/** An availability zone. */
export type ZoneId = Brand<string, "ZoneId">;
/** A service such as `studio-intake` or `cerimonia`. */
export type ServiceId = Brand<string, "ServiceId">;
/** An executor: one service's slot pool on one instance. */
export type ExecutorId = Brand<string, "ExecutorId">;
/** A customer (team) that owns requests and has a quota. */
export type CustomerId = Brand<string, "CustomerId">;
/** A request accepted by the cell. */
export type RequestId = Brand<string, "RequestId">;
/** One task of a request (a gang job or a service has several). */
export type TaskId = Brand<string, "TaskId">;
/** A lease of one task to one worker. */
export type LeaseId = Brand<string, "LeaseId">;
/** A process of poplarhead (entry instance or stand-in). */
export type ProcessId = Brand<string, "ProcessId">;

/**
 * Brands a plain string as an id. Use it only where the string was checked (settings, wire).
 *
 * @param value The plain string.
 * @returns The same string with the brand `T`.
 */
export function createId<T extends Brand<string, string>>(value: string): T {
    return value as T;
}
