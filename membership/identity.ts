/**
 * Member identity in replicated groups: the instance id and the incarnation of its data directory.
 * An instance that lost its disk joins as a new member, so that it cannot vote twice in one term.
 *
 * @example
 * ```ts
 * import { loadIncarnation } from "./identity.ts";
 * const incarnation = loadIncarnation({ dataDir: ".data/entry-1", bootstrap: true });
 * ```
 *
 * @module
 */

import { existsSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { ulid } from "ulid";
import { writeFileDurably, type MemberId } from "../log/mod.ts";
import type { EntryId } from "./layout.ts";

const IDENTITY_FILE = "identity.json";
/** Incarnation of every member when the cluster is bootstrapped. */
const FIRST_INCARNATION = "0";

/** Options of {@link loadIncarnation}. */
export interface IncarnationOptions {
    /** Data directory; without one, every start outside a bootstrap is a new incarnation. */
    readonly dataDir: string | undefined;
    /** Whether the whole cluster starts for the first time, with empty disks. */
    readonly bootstrap: boolean;
}

/**
 * Reads the incarnation stored in a data directory, or creates and persists one.
 *
 * @param options Data directory and bootstrap flag.
 * @returns The incarnation.
 */
export function loadIncarnation(options: IncarnationOptions): string {
    if (options.dataDir === undefined) {
        return options.bootstrap ? FIRST_INCARNATION : ulid();
    }
    const file = join(options.dataDir, IDENTITY_FILE);
    if (existsSync(file)) {
        return (JSON.parse(readFileSync(file, "utf8")) as { incarnation: string }).incarnation;
    }
    const incarnation = options.bootstrap ? FIRST_INCARNATION : ulid();
    writeFileDurably(options.dataDir, IDENTITY_FILE, `${JSON.stringify({ incarnation })}\n`);
    return incarnation;
}

/**
 * Creates the id of a group member.
 *
 * @param id The entry instance.
 * @param incarnation The incarnation; that of a bootstrapped cluster by default.
 * @returns The member's id.
 */
export function createMemberId(id: EntryId, incarnation = FIRST_INCARNATION): MemberId {
    return `${id}#${incarnation}` as MemberId;
}

/**
 * Parses the entry instance out of a member id.
 *
 * @param member The member id.
 * @returns The entry instance.
 */
export function parseEntryId(member: MemberId): EntryId {
    return member.slice(0, member.lastIndexOf("#")) as EntryId;
}
