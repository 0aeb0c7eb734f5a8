/**
 * Builds the status report of an entry instance and its replicas for operators.
 *
 * @example
 * ```ts
 * import { describeStatus } from "./status.ts";
 * const status = describeStatus({ self, isReady, zones, config, gossip, members, bytes });
 * ```
 *
 * @module
 */

import type { Cell, CellCounters } from "../cell/mod.ts";
import type { GroupId, MemberId, Role } from "../log/mod.ts";
import {
    CONFIG_GROUP_ID,
    type EntryId,
    type Gossip,
    type MemberStatus,
} from "../membership/mod.ts";
import { addByteCounts, type ByteCounts } from "../rpc/mod.ts";
import type { ConfigGroup } from "./config_group.ts";
import type { ZoneGroup } from "./zone_group.ts";

/** The state of a group's replica on this instance. */
export interface GroupStatus {
    readonly id: GroupId;
    readonly role: Role;
    /** Whether this instance leads the group and holds the leader lease. */
    readonly serving: boolean;
    readonly term: number;
    readonly leader: EntryId | undefined;
    readonly appliedIndex: number;
    readonly voters: readonly MemberId[];
    readonly rulesVersion: number;
    /** State of the replicated cell; `undefined` for the configuration group. */
    readonly cell: CellStatus | undefined;
}

/** Request counts, worker counts and counters of a cell. */
export interface CellStatus {
    /** Number of requests per state. */
    readonly requests: Readonly<Record<string, number>>;
    readonly workersAlive: number;
    readonly workers: number;
    /** Cores that leases hold, as a fraction of all cores of the workers. */
    readonly packingCores: number;
    readonly counters: CellCounters;
}

/** The status of one entry instance; totals cover its zone replicas. */
export interface EntryStatus extends CellStatus {
    readonly id: EntryId;
    readonly ready: boolean;
    readonly rulesVersion: number;
    readonly bytes: ByteCounts;
    readonly groups: readonly GroupStatus[];
    readonly members: Readonly<Record<string, MemberStatus>>;
}

/** Inputs of {@link describeStatus}. */
export interface StatusSources {
    readonly self: EntryId;
    readonly isReady: boolean;
    readonly rulesVersion: number;
    readonly zones: ReadonlyMap<GroupId, ZoneGroup>;
    readonly config: ConfigGroup;
    readonly gossip: Gossip;
    readonly members: readonly EntryId[];
    readonly bytes: readonly ByteCounts[];
}

/**
 * Builds the status of an entry instance.
 *
 * @param sources The instance's groups, gossip and byte counts.
 * @returns The status.
 */
export function describeStatus(sources: StatusSources): EntryStatus {
    const zones = [...sources.zones].map(([id, zone]) =>
        describeGroup(id, zone.member, zone.cell.rules.version, describeCells([zone.cell])),
    );
    const config = describeGroup(CONFIG_GROUP_ID, sources.config.member, sources.rulesVersion);
    const nowMs = performance.now();
    return {
        id: sources.self,
        ready: sources.isReady,
        rulesVersion: sources.rulesVersion,
        ...describeCells([...sources.zones.values()].map((z) => z.cell)),
        bytes: addByteCounts(sources.bytes),
        groups: [...zones, config],
        members: Object.fromEntries(
            sources.members.map((m) => [m, sources.gossip.getStatus(m, nowMs)]),
        ),
    };
}

function describeCells(cells: readonly Cell[]): CellStatus {
    const workers = cells.flatMap((c) => c.listWorkers());
    const heldCores = workers.reduce((sum, w) => sum + w.held.cores, 0);
    const totalCores = workers.reduce((sum, w) => sum + w.instance.capacity.cores, 0);
    const requests: Record<string, number> = {};
    for (const [state, count] of cells.flatMap((c) => [...c.countRequestsByState()])) {
        requests[state] = (requests[state] ?? 0) + count;
    }
    return {
        requests,
        workersAlive: workers.filter((w) => w.alive).length,
        workers: workers.length,
        packingCores: totalCores === 0 ? 0 : heldCores / totalCores,
        counters: addCounters(cells.map((c) => c.counters)),
    };
}

function describeGroup(
    id: GroupId,
    member: ZoneGroup["member"] | ConfigGroup["member"],
    rulesVersion: number,
    cell?: CellStatus,
): GroupStatus {
    const { replica } = member;
    return {
        id,
        role: replica.role,
        serving: member.isServing,
        term: replica.term,
        leader: member.leader,
        appliedIndex: replica.appliedIndex,
        voters: replica.voters,
        rulesVersion,
        cell,
    };
}

function addCounters(all: readonly CellCounters[]): CellCounters {
    const sum: CellCounters = {
        placements: 0,
        preemptions: 0,
        refusals: 0,
        declines: 0,
        expiries: 0,
    };
    for (const counters of all) {
        for (const name of Object.keys(sum) as (keyof CellCounters)[]) {
            sum[name] += counters[name];
        }
    }
    return sum;
}
