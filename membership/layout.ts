/**
 * How a cell's work is divided: which group owns a zone's workers, which entry instances vote in
 * it, which keep a replica, and at which zone a caller's requests are at home. All of it follows
 * from the deployment and the inventory, so every instance computes the same.
 *
 * @example
 * ```ts
 * import { createLayout } from "./layout.ts";
 * const layout = createLayout(deployment, inventory);
 * const group = layout.findHome("console-1", service);
 * ```
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { Brand, Inventory, ServiceId, ZoneId } from "../inventory/mod.ts";
import type { ConsensusTimings, GroupId } from "../log/mod.ts";

/** An entry instance of the cell. */
export type EntryId = Brand<string, "EntryId">;

/** One entry instance, as the settings name it. */
export interface EntryMember {
    readonly id: EntryId;
    readonly zone: ZoneId;
    /** `host:port` that the other entry instances reach it by. */
    readonly address: string;
    /** Without a disk it keeps replicas for reading but never votes. */
    readonly hasDisk: boolean;
}

/** A group as the settings may override it. */
export interface GroupSpec {
    readonly id: GroupId;
    readonly zones: readonly ZoneId[];
    readonly voters?: readonly EntryId[];
}

/** The entry instances of a cell. */
export interface Deployment {
    readonly members: readonly EntryMember[];
    /** Overrides; zones that no group names get a group each. */
    readonly groups: readonly GroupSpec[];
    /** Where callers are at home; others are spread over the zones. */
    readonly callers: ReadonlyMap<string, ZoneId>;
    readonly timings: ConsensusTimings;
}

/** One group of the layout. */
export interface GroupLayout {
    readonly id: GroupId;
    /** The zones whose workers it owns; none for the configuration group. */
    readonly zones: readonly ZoneId[];
    readonly voters: readonly EntryId[];
    /** Members that keep a replica without voting. */
    readonly learners: readonly EntryId[];
    /** The part of every customer's quota that it may give out. */
    readonly quotaShare: number;
}

/** The division of a cell's work. */
export interface Layout {
    /** Orders the rules; every entry instance keeps a replica of it. */
    readonly config: GroupLayout;
    /** Own workers, leases and requests. */
    readonly groups: readonly GroupLayout[];
    /**
     * Finds the group that a caller's requests for a service belong to. The same caller always
     * gets the same group, so one group alone decides whether a key was seen before.
     *
     * @param caller The caller.
     * @param service The service asked for.
     * @returns The group.
     */
    readonly findHomeGroup: (caller: string, service: ServiceId) => GroupLayout;
    /**
     * Finds the group that owns a zone's workers.
     *
     * @param zone The zone.
     * @returns The group, or `undefined` for no or an unknown zone.
     */
    readonly findZoneGroup: (zone: ZoneId | undefined) => GroupLayout | undefined;
    /**
     * Finds the group that accepted a request.
     *
     * @param id A request's or lease's id.
     * @returns The group, or `undefined` for an id that no group gives.
     */
    readonly findOwnerGroup: (id: string) => GroupLayout | undefined;
}

/** The configuration group's id. */
export const CONFIG_GROUP = "config" as GroupId;
const MAX_ZONE_VOTERS = 3;
const MAX_CONFIG_VOTERS = 5;
const ID_SEPARATOR = ".";

/**
 * Computes the layout.
 *
 * @param deployment The entry instances.
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
        id: CONFIG_GROUP,
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
 * Gives what a group puts before its ids, so that any entry instance can tell whose they are.
 *
 * @param layout The layout.
 * @param group The group.
 * @returns The prefix; empty when one group owns everything.
 */
export function createIdPrefix(layout: Layout, group: GroupLayout): string {
    return layout.groups.length === 1 ? "" : `${group.id}${ID_SEPARATOR}`;
}

/**
 * Gives the inventory of one group: its zones' instances and their executors.
 *
 * @param inventory The whole inventory.
 * @param group The group.
 * @returns Its part.
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

/** Zones named by no group get one each; members and zones missing from each other do too. */
function listGroupSpecs(deployment: Deployment, inventory: Inventory): GroupSpec[] {
    const assignedZones = new Set(deployment.groups.flatMap((g) => g.zones));
    const defaultSpecs = inventory.zones
        .filter((zone) => !assignedZones.has(zone))
        .map((zone) => ({ id: zone as string as GroupId, zones: [zone] }));
    return [...deployment.groups, ...defaultSpecs];
}

/**
 * Chooses a zone group's voters: members of the zone first, so that the zone keeps its quorum
 * when it is cut off; members elsewhere only where the zone has fewer than three disks.
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

/** Chooses the configuration group's voters: an odd number, spread over the zones in turn. */
function selectConfigVoters(deployment: Deployment): EntryId[] {
    const membersByZone = new Map<ZoneId, EntryMember[]>();
    for (const member of deployment.members.filter((m) => m.hasDisk)) {
        membersByZone.set(member.zone, [...(membersByZone.get(member.zone) ?? []), member]);
    }
    const zoneLists = [...membersByZone.values()];
    const interleaved: EntryId[] = [];
    for (let round = 0; zoneLists.some((q) => q.length > round); round++) {
        interleaved.push(...zoneLists.flatMap((q) => q[round]?.id ?? []));
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

/** Rendezvous hashing: a change of the list moves only the items that must move. */
function rankByHash<T>(items: readonly T[], getKey: (item: T) => string): T[] {
    return items
        .map((item) => ({ item, rank: createHash("sha1").update(getKey(item)).digest("hex") }))
        .sort((a, b) => (a.rank < b.rank ? -1 : a.rank > b.rank ? 1 : 0))
        .map(({ item }) => item);
}
