/**
 * Types of the workspaces that share a deployment.
 *
 * @example
 * ```ts
 * import type { WorkspaceConfig } from "./types.ts";
 * const hasKeys = ({ apiKeys }: WorkspaceConfig) => apiKeys.length > 0;
 * ```
 *
 * @module
 */

import type { Brand } from "../inventory/mod.ts";

/** Name of a workspace. */
export type WorkspaceName = Brand<string, "WorkspaceName">;
/** A secret that authenticates calls of a workspace; never logged. */
export type ApiKey = Brand<string, "ApiKey">;

/** Amounts of resources that a workspace uses, or may use at most. */
export interface WorkspaceResources {
    /** CPU in thousandths of a core. */
    readonly cpu: number;
    readonly memoryMb: number;
    readonly gpu: number;
}

/** What a workspace is entitled to. */
export interface WorkspacePolicy {
    readonly name: WorkspaceName;
    /**
     * Jobs per second to which the workspace is entitled when all workers are busy; absent if its
     * jobs are not metered.
     */
    readonly weight?: number | undefined;
    /** What its tasks may reserve on all workers together; 0 for no limit on a resource. */
    readonly limit: WorkspaceResources;
}

/**
 * Whether a job is within its workspace's share. Borrowed jobs are served with what the other
 * workspaces leave unused.
 */
export type ShareClass = "entitled" | "borrowed";

/** A workspace of a configuration. */
export interface WorkspaceConfig extends WorkspacePolicy {
    readonly apiKeys: readonly ApiKey[];
}

/** What one workspace uses. */
export interface WorkspaceUsage {
    readonly workspace: WorkspaceName;
    readonly reserved: WorkspaceResources;
    /** 0 for no limit. */
    readonly limit: WorkspaceResources;
    /** Units that wait for a worker or for quota. */
    readonly waitingUnits: number;
    /** As in {@link WorkspacePolicy}. */
    readonly weight?: number | undefined;
    /** Whether it sent more jobs per second than its weight over the last 5 s. */
    readonly isBorrowing?: boolean;
}
