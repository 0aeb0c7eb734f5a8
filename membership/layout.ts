/**
 * Assigns zones and callers to replicated groups, and voters and learners to each group. The layout
 * is a deterministic function of deployment and inventory, so that all instances agree on it.
 *
 * @example
 * ```ts
 * import { createLayout } from "./layout.ts";
 * const layout = createLayout(deployment, inventory);
 * const group = layout.findHomeGroup("console-1", service);
 * ```
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { Brand, Inventory, ServiceId, ZoneId } from "../inventory/mod.ts";
import type { ConsensusTimings, GroupId } from "../log/mod.ts";

/** Id of an entry instance of the cell. */
export type EntryId = Brand<string, "EntryId">;

/** Entry instance, as configured in the settings. */
export interface EntryMember {
    readonly id: EntryId;
    readonly zone: ZoneId;
    /** `host:port` at which the other entry instances reach it. */
    readonly address: string;
    /** Whether it has durable storage; an instance without it is never selected as voter. */
    readonly hasDisk: boolean;
}

/** Group, as configured in the settings. */
export interface GroupSpec {
    readonly id: GroupId;
    readonly zones: readonly ZoneId[];
    readonly voters?: readonly EntryId[];
}

/** Entry instances and groups of a cell, as configured in the settings. */
export interface Deployment {
    readonly members: readonly EntryMember[];
    /** Configured groups; every zone that is in none gets a group of its own. */
    readonly groups: readonly GroupSpec[];
    /** Home zones by caller; other callers are distributed over the groups by hash. */
    readonly callers: ReadonlyMap<string, ZoneId>;
    readonly timings: ConsensusTimings;
}

/** Group of the layout. */
export interface GroupLayout {
    readonly id: GroupId;
    /** Zones whose workers it owns; none for the configuration group. */
    readonly zones: readonly ZoneId[];
    readonly voters: readonly EntryId[];
    /** Instances that replicate the log without voting. */
    readonly learners: readonly EntryId[];
    /** Fraction of each customer's quota that the group may grant, from 0 to 1. */
    readonly quotaShare: number;
}

/** Assignment of zones, callers and requests to groups. */
export interface Layout {
    /** Configuration group, which replicates the rules to every entry instance. */
    readonly config: GroupLayout;
    /** Groups that own workers, leases and requests. */
    readonly groups: readonly GroupLayout[];
    /**
     * Finds the home group of a caller's requests for a service. It is the same for all of these
     * requests, so that one group deduplicates their idempotency keys.
     *
     * @param caller The caller.
     * @param service The requested service.
     * @returns The home group.
     */
    readonly findHomeGroup: (caller: string, service: ServiceId) => GroupLayout;
    /**
     * Finds the group that owns a zone's workers.
     *
     * @param zone The zone.
     * @returns The group, or `undefined` if the zone is undefined or unknown.
     */
    readonly findZoneGroup: (zone: ZoneId | undefined) => GroupLayout | undefined;
    /**
     * Finds the group that owns a request or lease.
     *
     * @param id The id of a request or lease.
     * @returns The group, or `undefined` if the id has no group's prefix. A single group owns all
     * ids.
     */
    readonly findOwnerGroup: (id: string) => GroupLayout | undefined;
}

/** Id of the configuration group. */
export const CONFIG_GROUP_ID = "config" as GroupId;
const MAX_ZONE_VOTERS = 3;
const MAX_CONFIG_VOTERS = 5;
const ID_SEPARATOR = ".";

/**
 * Computes the layout of a cell.
 *
 * @param deployment The configured entry instances and groups.
 * @param inventory The zones, services and instances.
 * @returns The layout.
 */
export function createLayout(deployment: Deployment, inventory: Inventory): Layout {
    const specs = listGroupSpecs(deployment, inventory);
    const totalCores = inventory.instances.reduce((sum, i) => sum + i.capacity.cores, 0);
    const groups = specs.map((spec): GroupLayout => {
        const voters = spec.voters ?? selectZoneVoters(deployment, spec);
        const cores = inventory.instances
            .filter((i) => spec.zones.includes(i.zone))
            .reduce((sum, i) => sum + i.capacity.cores, 0);
        return {
            id: spec.id,
            zones: spec.zones,
            voters,
            learners: deployment.members
                .filter((m) => spec.zones.includes(m.zone) && !voters.includes(m.id))
                .map((m) => m.id),
            quotaShare: totalCores === 0 ? 1 : cores / totalCores,
        };
    });
    const configVoters = selectConfigVoters(deployment);
    const config: GroupLayout = {
        id: CONFIG_GROUP_ID,
        zones: [],
        voters: configVoters,
        learners: deployment.members.map((m) => m.id).filter((id) => !configVoters.includes(id)),
        quotaShare: 0,
    };
    return {
        config,
        groups,
        findHomeGroup: (caller, service) =>
            findHomeGroup(deployment, inventory, groups, caller, service),
        findZoneGroup: (zone) => groups.find((g) => zone !== undefined && g.zones.includes(zone)),
        findOwnerGroup: (id) =>
            groups.length === 1
                ? groups[0]
                : groups.find((g) => id.startsWith(`${g.id}${ID_SEPARATOR}`)),
    };
}

/**
 * Creates the prefix of a group's request and lease ids, by which instances find the owner.
 *
 * @param layout The layout.
 * @param group The group.
 * @returns The prefix; empty in a cell with a single group.
 */
export function createIdPrefix(layout: Layout, group: GroupLayout): string {
    return layout.groups.length === 1 ? "" : `${group.id}${ID_SEPARATOR}`;
}

/**
 * Creates the inventory of a group, limited to the instances and executors of its zones.
 *
 * @param inventory The whole inventory.
 * @param group The group.
 * @returns The group's inventory.
 */
export function createGroupInventory(inventory: Inventory, group: GroupLayout): Inventory {
    const instances = inventory.instances.filter((i) => group.zones.includes(i.zone));
    const ids = new Set(instances.map((i) => i.id));
    return {
        ...inventory,
        instances,
        executors: inventory.executors.filter((e) => ids.has(e.instance)),
    };
}

/** Lists the configured groups and a default group for each remaining zone. */
function listGroupSpecs(deployment: Deployment, inventory: Inventory): GroupSpec[] {
    const assignedZones = new Set(deployment.groups.flatMap((g) => g.zones));
    const defaultSpecs = inventory.zones
        .filter((zone) => !assignedZones.has(zone))
        .map((zone) => ({ id: zone as string as GroupId, zones: [zone] }));
    return [...deployment.groups, ...defaultSpecs];
}

/**
 * Selects the voters of a zone group. Members in its zones come first, so that the group keeps its
 * quorum during a network partition; remote members only fill missing places.
 */
function selectZoneVoters(deployment: Deployment, spec: GroupSpec): EntryId[] {
    const withDisk = deployment.members.filter((m) => m.hasDisk);
    const localMembers = withDisk.filter((m) => spec.zones.includes(m.zone));
    const remoteMembers = rankByHash(
        withDisk.filter((m) => !spec.zones.includes(m.zone)),
        (m) => `${spec.id}|${m.id}`,
    );
    return [...localMembers, ...remoteMembers].slice(0, MAX_ZONE_VOTERS).map((m) => m.id);
}

/** Selects an odd number of voters for the configuration group, round-robin over the zones. */
function selectConfigVoters(deployment: Deployment): EntryId[] {
    const membersByZone = new Map<ZoneId, EntryMember[]>();
    for (const member of deployment.members.filter((m) => m.hasDisk)) {
        membersByZone.set(member.zone, [...(membersByZone.get(member.zone) ?? []), member]);
    }
    const memberLists = [...membersByZone.values()];
    const interleaved: EntryId[] = [];
    for (let round = 0; memberLists.some((members) => members.length > round); round++) {
        interleaved.push(...memberLists.flatMap((members) => members[round]?.id ?? []));
    }
    const count = Math.min(MAX_CONFIG_VOTERS, interleaved.length);
    return interleaved.slice(0, count % 2 === 0 ? Math.max(1, count - 1) : count);
}

function findHomeGroup(
    deployment: Deployment,
    inventory: Inventory,
    groups: readonly GroupLayout[],
    caller: string,
    service: ServiceId,
): GroupLayout {
    const zones = inventory.services.find((s) => s.id === service)?.zones ?? inventory.zones;
    const servingGroups = groups.filter((g) => g.zones.some((z) => zones.includes(z)));
    const candidates = servingGroups.length > 0 ? servingGroups : groups;
    const callerZone = deployment.callers.get(caller);
    const localGroup = candidates.find(
        (g) => callerZone !== undefined && g.zones.includes(callerZone),
    );
    return localGroup ?? (rankByHash(candidates, (g) => `${caller}|${g.id}`)[0] as GroupLayout);
}

/** Ranks items by rendezvous hashing, which keeps assignments stable when the list changes. */
function rankByHash<T>(items: readonly T[], getKey: (item: T) => string): T[] {
    return items
        .map((item) => ({ item, rank: createHash("sha1").update(getKey(item)).digest("hex") }))
        .sort((a, b) => (a.rank < b.rank ? -1 : a.rank > b.rank ? 1 : 0))
        .map(({ item }) => item);
}
