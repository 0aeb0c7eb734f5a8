/**
 * Decides whether a call is authenticated, and which jobs its caller may access.
 *
 * @example
 * ```ts
 * import { AccessControl } from "./access.ts";
 * const accessControl = new AccessControl();
 * const access = accessControl.checkCall(configuration, queue, apiKey);
 * ```
 *
 * @module
 */

import type { Configuration, QueueConfig, QueueName } from "../configuration/mod.ts";
import { KeyIndex } from "./key_index.ts";
import type { WorkspaceConfig, WorkspaceName } from "./types.ts";

/** Whether a call is authenticated. */
export type CallAccess =
    /** `workspace` is undefined if the deployment has no workspaces or the caller is anonymous. */
    | { readonly type: "granted"; readonly workspace: WorkspaceName | undefined }
    /** No workspace of the configuration holds the key. */
    | { readonly type: "unknownKey" }
    /** The call was forwarded without its key, by an instance of an earlier release. */
    | { readonly type: "keyMissing" };

/** The owner of a job. */
export interface JobOwner {
    readonly queue: QueueName;
    /** Absent for a job of an anonymous caller, or accepted by an earlier release. */
    readonly workspace?: WorkspaceName | undefined;
}

/** Checks calls against the keys of the newest configuration. */
export class AccessControl {
    /** By configuration: while one is being committed, the one before it is still read. */
    readonly #indexes = new WeakMap<readonly WorkspaceConfig[], KeyIndex>();

    /**
     * Checks the key of a call. A configuration without a list of workspaces grants every call.
     *
     * @param configuration The configuration in force.
     * @param queue The queue that the call addresses.
     * @param apiKey The key of the call; empty if it has none, `undefined` if that is not known.
     * @returns Whether the call may be handled, and for which workspace.
     */
    checkCall(
        configuration: Configuration,
        queue: QueueConfig,
        apiKey: string | undefined,
    ): CallAccess {
        if (configuration.workspaces === undefined) {
            return { type: "granted", workspace: undefined };
        }
        const workspace = this.#findWorkspace(configuration.workspaces, apiKey ?? "");
        if (workspace !== undefined || queue.isPublic === true) {
            return { type: "granted", workspace };
        }
        return { type: apiKey === undefined ? "keyMissing" : "unknownKey" };
    }

    #findWorkspace(
        workspaces: readonly WorkspaceConfig[],
        apiKey: string,
    ): WorkspaceName | undefined {
        if (apiKey === "") {
            return undefined;
        }
        const index = this.#indexes.get(workspaces) ?? new KeyIndex(workspaces);
        this.#indexes.set(workspaces, index);
        return index.findWorkspace(apiKey);
    }
}

/**
 * Returns whether a caller may read, cancel or resubmit a job. On a public queue every caller may,
 * since calls there need no key.
 *
 * @param owner The owner of the job.
 * @param workspace The workspace of the caller, if it is known.
 * @param queue The queue that the call addresses.
 * @returns False if the job belongs to another workspace.
 */
export function isOwnJob(
    owner: JobOwner,
    workspace: WorkspaceName | undefined,
    queue: QueueConfig,
): boolean {
    if (owner.workspace === undefined || owner.workspace === workspace) {
        return true;
    }
    return queue.isPublic === true && owner.queue === queue.name;
}
