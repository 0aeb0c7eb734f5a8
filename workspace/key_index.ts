/**
 * Finds the workspace that holds an API key. Keys are indexed by a keyed hash: the time of a lookup
 * depends neither on the number of keys nor on how much of a guessed key is right.
 *
 * @example
 * ```ts
 * import { KeyIndex } from "./key_index.ts";
 * const index = new KeyIndex(configuration.workspaces);
 * const workspace = index.findWorkspace(key);
 * ```
 *
 * @module
 */

import { createHmac, randomBytes } from "node:crypto";
import type { WorkspaceConfig, WorkspaceName } from "./types.ts";

/** Key of the hash, drawn by each process, so that a caller can't choose the hash of a guess. */
const HASH_KEY = randomBytes(32);

/** The keys of one configuration. */
export class KeyIndex {
    readonly #workspacesByHash = new Map<string, WorkspaceName>();

    /**
     * @param workspaces The workspaces of the configuration.
     */
    constructor(workspaces: readonly WorkspaceConfig[]) {
        for (const { name, apiKeys } of workspaces) {
            apiKeys.forEach((key) => this.#workspacesByHash.set(computeKeyHash(key), name));
        }
    }

    /**
     * Finds the workspace that holds a key.
     *
     * @param key The key of a call.
     * @returns The workspace, or `undefined` if no workspace holds the key.
     */
    findWorkspace(key: string): WorkspaceName | undefined {
        return this.#workspacesByHash.get(computeKeyHash(key));
    }
}

function computeKeyHash(key: string): string {
    return createHmac("sha256", HASH_KEY).update(key).digest("base64");
}
