/**
 * JSON-RPC methods for workers. Workers call the leader of their group directly; any other instance
 * returns an error that names the leader.
 *
 * @example
 * ```ts
 * import { WorkerApi } from "./worker_api.ts";
 * const methods = new WorkerApi({ layout, inventory, getZone, findLeader, log }).createMethods();
 * ```
 *
 * @module
 */

import type { Logger } from "winston";
import { createId, type InstanceId, type Inventory, type LeaseId } from "../inventory/mod.ts";
import type { GroupId } from "../log/mod.ts";
import type { EntryId, GroupLayout, Layout } from "../membership/mod.ts";
import { MethodError, type RpcMethod } from "../rpc/mod.ts";
import {
    announceSchema,
    heartbeatSchema,
    leaveSchema,
    parseParams,
    reportSchema,
} from "./api_schema.ts";
import { toMethodError, createNotLeaderError, NOT_FOUND_CODE } from "./errors.ts";
import type { HeartbeatResponse, ZoneGroup } from "./zone_group.ts";

/** Options of {@link WorkerApi}. */
export interface WorkerApiOptions {
    readonly layout: Layout;
    readonly inventory: Inventory;
    /** Returns the local replica of a zone's group. */
    readonly getZone: (group: GroupId) => ZoneGroup | undefined;
    /** Returns the leader of a group, if known. */
    readonly findLeader: (group: GroupId) => EntryId | undefined;
    readonly log: Logger;
}

/** Handles calls from workers. */
export class WorkerApi {
    readonly #options: WorkerApiOptions;

    /**
     * @param options See {@link WorkerApiOptions}.
     */
    constructor(options: WorkerApiOptions) {
        this.#options = options;
    }

    /**
     * Creates the JSON-RPC methods.
     *
     * @returns The methods by name.
     */
    createMethods(): Record<string, RpcMethod> {
        return {
            "workers.announce": (params) => this.#handleAnnounce(params),
            "workers.heartbeat": (params) => this.#handleHeartbeat(params),
            "workers.report": (params) => this.#handleReport(params),
            "workers.leave": (params) => this.#handleLeave(params),
        };
    }

    async #handleAnnounce(params: unknown): Promise<{ ok: true }> {
        const { workers } = parseParams(announceSchema, params);
        const typed = workers.map((w) => ({ ...w, instance: createId<InstanceId>(w.instance) }));
        await this.#runForWorkers(typed, (zone) => zone.announceWorkers(typed));
        return { ok: true };
    }

    #handleHeartbeat(params: unknown): Promise<HeartbeatResponse> {
        const { beats } = parseParams(heartbeatSchema, params);
        const typed = beats.map((beat) => ({
            ...beat,
            instance: createId<InstanceId>(beat.instance),
            leases: beat.leases.map((l) => ({
                lease: createId<LeaseId>(l.lease),
                epoch: l.epoch,
                usage: l.usage,
            })),
        }));
        return this.#runForWorkers(typed, (zone) => zone.handleHeartbeats(typed));
    }

    async #handleReport(params: unknown): Promise<{ ok: true }> {
        const { reports } = parseParams(reportSchema, params);
        const typed = reports.map((r) => ({ ...r, lease: createId<LeaseId>(r.lease) }));
        const owner = this.#options.layout.findOwnerGroup(typed[0]?.lease ?? "");
        if (owner === undefined) {
            throw new MethodError("no group gave out this lease", NOT_FOUND_CODE);
        }
        await this.#runAsLeader(owner, (zone) => zone.handleReports(typed));
        return { ok: true };
    }

    async #handleLeave(params: unknown): Promise<{ ok: true }> {
        const { instances } = parseParams(leaveSchema, params);
        this.#options.log.info("upstream announced shutdown", { instances });
        const typed = instances.map((i) => createId<InstanceId>(i));
        await this.#runForWorkers(
            typed.map((instance) => ({ instance })),
            (zone) => zone.handleLeaving(typed),
        );
        return { ok: true };
    }

    /** Runs a call for the group of the first worker; a call's workers all share one group. */
    #runForWorkers<T>(
        items: readonly { readonly instance: InstanceId }[],
        run: (zone: ZoneGroup) => Promise<T>,
    ): Promise<T> {
        const first = items[0]?.instance;
        const zone = this.#options.inventory.instances.find((i) => i.id === first)?.zone;
        const group = this.#options.layout.findZoneGroup(zone);
        if (group === undefined) {
            throw new MethodError(`no instance "${first}" in the inventory`, NOT_FOUND_CODE);
        }
        return this.#runAsLeader(group, run);
    }

    async #runAsLeader<T>(group: GroupLayout, run: (zone: ZoneGroup) => Promise<T>): Promise<T> {
        const zone = this.#options.getZone(group.id);
        const isServing = await zone?.member.waitForLease();
        if (zone === undefined || isServing !== true) {
            const leader = zone?.member.leader ?? this.#options.findLeader(group.id);
            throw createNotLeaderError(group.id, leader);
        }
        try {
            return await run(zone);
        } catch (error) {
            throw toMethodError(group.id, error);
        }
    }
}
