/**
 * Brings up a cell of several entry instances as real processes on loopback, with a relay on
 * every path between two processes, and the means to kill, freeze, cut off and restart them.
 * A tool of the failure tests and of the load tool; the cell's own processes start no other.
 *
 * @example
 * ```ts
 * import { Cluster } from "./cluster_runner.ts";
 * const cluster = await Cluster.start({ dir, inventory, rules, members });
 * await cluster.killEntry("entry-a1");
 * await cluster.stop();
 * ```
 *
 * @module
 */

import type { ChildProcess } from "node:child_process";
import { existsSync, mkdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { stringify } from "yaml";
import type { EntryStatus } from "../entry/mod.ts";
import { createRpcClient } from "../rpc/mod.ts";
import { FaultRelay, type RelayMode } from "../standin/mod.ts";
import { mergeTimeline, type TimelineEvent } from "../telemetry/mod.ts";
import { spawnCli, stopChildren, waitListening } from "./cell_runner.ts";

/** An entry instance of a cluster. */
export interface ClusterMember {
    readonly id: string;
    readonly zone: string;
    readonly disk?: boolean;
}

/** Options of {@link Cluster.start}. */
export interface ClusterOptions {
    /** Files, logs and data go here. */
    readonly dir: string;
    readonly inventoryFile: string;
    readonly rulesFile: string;
    readonly members: readonly ClusterMember[];
    /** Zones to run worker hosts for, one process each. */
    readonly workerZones: readonly string[];
    /** Instances that fail everything. */
    readonly failing?: readonly string[];
    readonly snapshotEvery?: number;
    /** Callers with a home zone. */
    readonly callers?: readonly { readonly caller: string; readonly zone: string }[];
    readonly groups?: readonly { readonly id: string; readonly zones: readonly string[] }[];
    readonly heartbeatMs?: number;
    readonly electionMs?: number;
}

const CALLER = "caller";
const POLL_INTERVAL_MS = 50;
const DEFAULT_WAIT_TIMEOUT_MS = 60_000;

/** A running cluster. */
export class Cluster {
    readonly #options: ClusterOptions;
    readonly #relays = new Map<string, FaultRelay>();
    readonly #children = new Map<string, ChildProcess>();
    readonly #addresses = new Map<string, string>();
    readonly #logFiles = new Set<string>();
    /** When worker processes were killed, for the audit. */
    readonly killedAtMs = new Map<string, number>();

    private constructor(options: ClusterOptions) {
        this.#options = options;
    }

    /**
     * Starts the relays, the entry instances and the worker hosts, and waits for every group to
     * have a leader.
     *
     * @param options Files, members, zones.
     * @returns The running cluster.
     */
    static async start(options: ClusterOptions): Promise<Cluster> {
        mkdirSync(options.dir, { recursive: true });
        const cluster = new Cluster(options);
        try {
            await cluster.#startRelays();
            await Promise.all(options.members.map((m) => cluster.startEntry(m.id, true)));
            await cluster.waitLeaders();
            await Promise.all(options.workerZones.map((zone) => cluster.startWorkers(zone)));
            return cluster;
        } catch (error) {
            await cluster.stop();
            throw error;
        }
    }

    /**
     * Starts (or starts again) an entry instance.
     *
     * @param id The instance.
     * @param bootstrap Whether the whole cell starts for the first time.
     */
    async startEntry(id: string, bootstrap = false): Promise<void> {
        const { dir, inventoryFile, rulesFile, snapshotEvery } = this.#options;
        const log = join(dir, `${id}.log`);
        this.#logFiles.add(log);
        const child = spawnCli([
            "entry",
            ...["--inventory", inventoryFile, "--rules", rulesFile],
            ...["--deployment", join(dir, `deployment-${id}.yaml`), "--id", id],
            ...["--data-dir", join(dir, id), "--log", log],
            ...(bootstrap ? ["--bootstrap"] : []),
            ...(snapshotEvery === undefined ? [] : ["--snapshot-every", `${snapshotEvery}`]),
        ]);
        this.#children.set(id, child);
        const address = await waitListening(child);
        this.#addresses.set(id, address);
        for (const [path, relay] of this.#relays) {
            if (path.endsWith(`>${id}`)) {
                relay.setTarget(address);
            }
        }
    }

    /**
     * Starts a worker host for a zone.
     *
     * @param zone The zone.
     */
    async startWorkers(zone: string): Promise<void> {
        const { dir, inventoryFile, rulesFile, failing } = this.#options;
        const id = createWorkerHostId(zone);
        const log = join(dir, `${id}.log`);
        this.#logFiles.add(log);
        const child = spawnCli([
            "workers",
            ...["--inventory", inventoryFile, "--rules", rulesFile],
            ...["--entry", this.listEntries(id), "--zone", zone, "--id", id, "--log", log],
            ...["--failing", (failing ?? []).join(",")],
        ]);
        this.#children.set(id, child);
        await waitListening(child);
    }

    /**
     * Lists the entry instances as a process reaches them, through its relays.
     *
     * @param from The process; the test's caller by default.
     * @param zone Only those of a zone.
     * @returns The list, for `--entry`.
     */
    listEntries(from = CALLER, zone?: string): string {
        return this.#options.members
            .filter((m) => zone === undefined || m.zone === zone)
            .map((m) => `${m.id}=${this.#getRelay(from, m.id).address}`)
            .join(",");
    }

    /** The processes' ids, by name. */
    get pids(): ReadonlyMap<string, number> {
        return new Map([...this.#children].map(([id, child]) => [id, child.pid ?? 0]));
    }

    /**
     * Sends a signal to a process.
     *
     * @param id The process.
     * @param signal The signal.
     */
    sendSignal(id: string, signal: NodeJS.Signals): void {
        this.#children.get(id)?.kill(signal);
    }

    /**
     * Kills a process at once and waits until it is gone.
     *
     * @param id The process.
     */
    async killProcess(id: string): Promise<void> {
        const child = this.#children.get(id);
        if (child === undefined || child.exitCode !== null || child.signalCode !== null) {
            return;
        }
        const exited = new Promise<void>((resolve) => child.once("exit", () => resolve()));
        child.kill("SIGKILL");
        await exited;
        this.killedAtMs.set(id, Date.now());
    }

    /**
     * Ends a process gracefully (SIGTERM) and waits until it is gone.
     *
     * @param id The process.
     */
    async stopProcess(id: string): Promise<void> {
        const child = this.#children.get(id);
        if (child !== undefined) {
            await stopChildren([child]);
        }
    }

    /**
     * Deletes a killed instance's data folder, as a replaced disk would be empty.
     *
     * @param id The instance.
     */
    removeDataDir(id: string): void {
        rmSync(join(this.#options.dir, id), { recursive: true, force: true });
    }

    /**
     * Tells whether an instance holds a snapshot of a group.
     *
     * @param id The instance.
     * @param group The group.
     * @returns True when the file is there.
     */
    hasSnapshot(id: string, group: string): boolean {
        return existsSync(join(this.#options.dir, id, group, "snapshot.json"));
    }

    /**
     * Cuts or heals every path between two sets of processes.
     *
     * @param isSelected Tells of a path whether it is meant.
     * @param mode What the relays do from now on.
     */
    setPathModes(isSelected: (from: string, to: string) => boolean, mode: RelayMode): void {
        for (const [path, relay] of this.#relays) {
            const [from, to] = path.split(">") as [string, string];
            if (isSelected(from, to)) {
                relay.setMode(mode);
            }
        }
    }

    /**
     * Cuts one instance off from every other entry instance and from the workers, or heals it.
     * The caller still reaches it.
     *
     * @param id The instance.
     * @param mode What its paths do from now on.
     */
    setInstanceIsolated(id: string, mode: RelayMode): void {
        this.setPathModes((from, to) => (from === id || to === id) && from !== CALLER, mode);
    }

    /**
     * Cuts a zone off from the others, or heals it: its instances and workers reach each other.
     *
     * @param zone The zone.
     * @param mode What the paths over its border do from now on.
     */
    setZoneIsolated(zone: string, mode: RelayMode): void {
        const isInside = (id: string): boolean =>
            id === createWorkerHostId(zone) ||
            this.#options.members.some((m) => m.id === id && m.zone === zone);
        this.setPathModes((from, to) => from !== CALLER && isInside(from) !== isInside(to), mode);
    }

    /**
     * Asks an instance for its status, past the relays.
     *
     * @param id The instance.
     * @returns Its status, or `undefined` when it does not answer.
     */
    async getStatus(id: string): Promise<EntryStatus | undefined> {
        const address = this.#addresses.get(id);
        return address === undefined
            ? undefined
            : createRpcClient(address, 1_000)
                  .call<EntryStatus>("cell.status", {})
                  .catch(() => undefined);
    }

    /**
     * Lists the statuses of every instance that answers.
     *
     * @param excludedId An instance that is not asked (a frozen one would not answer).
     * @returns The statuses.
     */
    async listStatuses(excludedId?: string): Promise<EntryStatus[]> {
        const asked = this.#options.members.filter((m) => m.id !== excludedId);
        const all = await Promise.all(asked.map((m) => this.getStatus(m.id)));
        return all.filter((s) => s !== undefined);
    }

    /**
     * Finds who leads a group.
     *
     * @param group The group.
     * @param excludedId An instance whose word does not count.
     * @returns The instance, or `undefined`.
     */
    async findLeader(group: string, excludedId?: string): Promise<string | undefined> {
        const statuses = await this.listStatuses(excludedId);
        return statuses.find((s) => s.groups.some((g) => g.id === group && g.serving))?.id;
    }

    /**
     * Waits until every group has a leader.
     *
     * @param excludedId An instance whose word does not count.
     */
    async waitLeaders(excludedId?: string): Promise<void> {
        await waitUntil("every group has a leader", async () => {
            const statuses = await this.listStatuses(excludedId);
            const groupIds = new Set(statuses.flatMap((s) => s.groups.map((g) => g.id)));
            const ledGroupIds = new Set(
                statuses.flatMap((s) => s.groups.filter((g) => g.serving).map((g) => g.id)),
            );
            return groupIds.size > 0 && [...groupIds].every((g) => ledGroupIds.has(g));
        });
    }

    /**
     * Merges the logs of every process.
     *
     * @returns The time line.
     */
    loadTimeline(): TimelineEvent[] {
        return mergeTimeline([...this.#logFiles].map((file) => readFileSync(file, "utf8")));
    }

    /** Ends every process and relay. */
    async stop(): Promise<void> {
        for (const child of this.#children.values()) {
            child.kill("SIGCONT");
        }
        await stopChildren([...this.#children.values()]);
        for (const relay of this.#relays.values()) {
            relay.close();
        }
    }

    async #startRelays(): Promise<void> {
        const { members, workerZones, dir, callers, groups, heartbeatMs, electionMs } =
            this.#options;
        const sources = [
            ...members.map((m) => m.id),
            ...workerZones.map(createWorkerHostId),
            CALLER,
        ];
        for (const from of sources) {
            for (const { id: to } of members) {
                this.#relays.set(`${from}>${to}`, await FaultRelay.start());
            }
        }
        for (const { id } of members) {
            const deployment = {
                members: members.map((m) => ({
                    ...m,
                    address: this.#getRelay(id, m.id).address,
                })),
                callers: callers ?? [],
                groups: groups ?? [],
                heartbeatMs,
                electionMs,
            };
            writeFileSync(join(dir, `deployment-${id}.yaml`), stringify(deployment));
        }
    }

    #getRelay(from: string, to: string): FaultRelay {
        const relay = this.#relays.get(`${from}>${to}`);
        if (relay === undefined) {
            throw new Error(`no path from ${from} to ${to}`);
        }
        return relay;
    }
}

function createWorkerHostId(zone: string): string {
    return `workers-${zone}`;
}

/**
 * Waits until a condition holds.
 *
 * @param condition The condition in words, for the error.
 * @param isMet Tells whether it holds.
 * @param timeoutMs How long to wait, in ms.
 * @throws {Error} When it does not hold in time.
 */
export async function waitUntil(
    condition: string,
    isMet: () => boolean | Promise<boolean>,
    timeoutMs = DEFAULT_WAIT_TIMEOUT_MS,
): Promise<void> {
    const deadlineMs = Date.now() + timeoutMs;
    while (!(await isMet())) {
        if (Date.now() > deadlineMs) {
            throw new Error(`not within ${timeoutMs} ms: ${condition}`);
        }
        await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
}
