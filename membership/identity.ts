/**
 * An entry instance's identity in its groups: its id and the incarnation of its data folder. An
 * instance whose disk was replaced gets a new incarnation, so the group treats it as another
 * member: the one that voted and acknowledged before cannot be mistaken for one that forgot.
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
/** The incarnation that every member has when the cell starts for the first time. */
const FIRST_INCARNATION = "0";

/** Options of {@link loadIncarnation}. */
export interface IncarnationOptions {
    /** The data folder; without one, every start is a new incarnation. */
    readonly dataDir: string | undefined;
    /** The whole cell starts for the first time, with empty disks. */
    readonly bootstrap: boolean;
}

/**
 * Reads the incarnation of a data folder, or gives an empty folder one and makes it durable.
 *
 * @param options The folder and whether the cell starts for the first time.
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
 * Gives a member's name in its groups.
 *
 * @param id The entry instance.
 * @param incarnation Its incarnation; the first one by default.
 * @returns The member's id.
 */
export function createMemberId(id: EntryId, incarnation = FIRST_INCARNATION): MemberId {
    return `${id}#${incarnation}` as MemberId;
}

/**
 * Gives the entry instance that a member is an incarnation of.
 *
 * @param member The member.
 * @returns The entry instance.
 */
export function parseEntryId(member: MemberId): EntryId {
    return member.slice(0, member.lastIndexOf("#")) as EntryId;
}
