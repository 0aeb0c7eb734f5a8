/**
 * Starts a cell of several entry instances as child processes on loopback, with a fault-injecting
 * relay on every network path. Failure tests and the load generator use it to kill, suspend,
 * isolate and restart processes.
 *
 * @example
 * ```ts
 * import { Cluster } from "./cluster_runner.ts";
 * const cluster = await Cluster.start({ dir, inventoryFile, rulesFile, members, workerZones });
 * await cluster.killProcess("entry-a1");
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

/** An entry instance as listed in the deployment files. */
export interface ClusterMember {
    readonly id: string;
    readonly zone: string;
    readonly disk?: boolean;
}

/** Options of {@link Cluster.start}. */
export interface ClusterOptions {
    /** The directory for deployment files, log files and stored data. */
    readonly dir: string;
    readonly inventoryFile: string;
    readonly rulesFile: string;
    readonly members: readonly ClusterMember[];
    /** The availability zones with workers; one worker host is started for each. */
    readonly workerZones: readonly string[];
    /** Ids of instances whose workers fail every task. */
    readonly failing?: readonly string[];
    /** The number of log entries between two snapshots. */
    readonly snapshotIntervalEntries?: number;
    /** The home zones of callers. */
    readonly callers?: readonly { readonly caller: string; readonly zone: string }[];
    readonly groups?: readonly { readonly id: string; readonly zones: readonly string[] }[];
    readonly heartbeatMs?: number;
    readonly electionMs?: number;
}

const CALLER = "caller";
const POLL_INTERVAL_MS = 50;
const DEFAULT_WAIT_TIMEOUT_MS = 60_000;

/** Controls the processes and the network paths of a running cell. */
export class Cluster {
    readonly #options: ClusterOptions;
    readonly #relays = new Map<string, FaultRelay>();
    readonly #children = new Map<string, ChildProcess>();
    readonly #addresses = new Map<string, string>();
    readonly #logFiles = new Set<string>();
    /** When processes were killed, in ms since the Unix epoch, by process name. */
    readonly killedAtMs = new Map<string, number>();

    private constructor(options: ClusterOptions) {
        this.#options = options;
    }

    /**
     * Starts the relays and the entry instances, waits until every group has a leader, and starts
     * the worker hosts.
     *
     * @param options The settings files, the members and the zones.
     * @returns The running cluster.
     * @throws {Error} When a process does not start or a group has no leader in time.
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
     * Starts or restarts an entry instance.
     *
     * @param id The id of the entry instance.
     * @param bootstrap Whether the cell starts for the first time.
     * @throws {Error} When the process exits early or does not report its address in time.
     */
    async startEntry(id: string, bootstrap = false): Promise<void> {
        const { dir, inventoryFile, rulesFile, snapshotIntervalEntries } = this.#options;
        const log = join(dir, `${id}.log`);
        this.#logFiles.add(log);
        const child = spawnCli([
            "entry",
            ...["--inventory", inventoryFile, "--rules", rulesFile],
            ...["--deployment", join(dir, `deployment-${id}.yaml`), "--id", id],
            ...["--data-dir", join(dir, id), "--log", log],
            ...(bootstrap ? ["--bootstrap"] : []),
            ...(snapshotIntervalEntries === undefined
                ? []
                : ["--snapshot-every", `${snapshotIntervalEntries}`]),
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
     * Starts the worker host of an availability zone.
     *
     * @param zone The zone.
     * @throws {Error} When the process exits early or does not report its address in time.
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
     * Lists the entry instances with the relay addresses that a process uses for them.
     *
     * @param from The name of the calling process; an outside caller by default.
     * @param zone Restricts the list to one availability zone.
     * @returns The list in the format of the `--entry` option.
     */
    listEntries(from = CALLER, zone?: string): string {
        return this.#options.members
            .filter((m) => zone === undefined || m.zone === zone)
            .map((m) => `${m.id}=${this.#getRelay(from, m.id).address}`)
            .join(",");
    }

    /** Process ids by process name. */
    get pids(): ReadonlyMap<string, number> {
        return new Map([...this.#children].map(([id, child]) => [id, child.pid ?? 0]));
    }

    /**
     * Sends a signal to a process.
     *
     * @param id The name of the process.
     * @param signal The signal.
     */
    sendSignal(id: string, signal: NodeJS.Signals): void {
        this.#children.get(id)?.kill(signal);
    }

    /**
     * Kills a process with SIGKILL and waits until it has exited.
     *
     * @param id The name of the process.
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
     * Stops a process gracefully and waits until it has exited.
     *
     * @param id The name of the process.
     */
    async stopProcess(id: string): Promise<void> {
        const child = this.#children.get(id);
        if (child !== undefined) {
            await stopChildren([child]);
        }
    }

    /**
     * Deletes the data directory of a killed entry instance, to simulate a replaced disk.
     *
     * @param id The id of the entry instance.
     */
    removeDataDir(id: string): void {
        rmSync(join(this.#options.dir, id), { recursive: true, force: true });
    }

    /**
     * Returns whether an entry instance has a snapshot of a group on disk.
     *
     * @param id The id of the entry instance.
     * @param group The id of the group.
     * @returns Whether the snapshot file exists.
     */
    hasSnapshot(id: string, group: string): boolean {
        return existsSync(join(this.#options.dir, id, group, "snapshot.json"));
    }

    /**
     * Sets the fault mode of the selected network paths.
     *
     * @param isSelected Returns whether the path between two processes is selected.
     * @param mode The fault mode.
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
     * Sets the fault mode of the paths between an entry instance and all other entry instances
     * and workers. Outside callers still reach the instance.
     *
     * @param id The id of the entry instance.
     * @param mode The fault mode; `open` ends the isolation.
     */
    setInstancePathModes(id: string, mode: RelayMode): void {
        this.setPathModes((from, to) => (from === id || to === id) && from !== CALLER, mode);
    }

    /**
     * Sets the fault mode of the paths between an availability zone and all others. Paths inside
     * the zone and those of outside callers stay as they are.
     *
     * @param zone The zone.
     * @param mode The fault mode; `open` ends the isolation.
     */
    setZonePathModes(zone: string, mode: RelayMode): void {
        const isInside = (id: string): boolean =>
            id === createWorkerHostId(zone) ||
            this.#options.members.some((m) => m.id === id && m.zone === zone);
        this.setPathModes((from, to) => from !== CALLER && isInside(from) !== isInside(to), mode);
    }

    /**
     * Requests the status of an entry instance directly, without a relay.
     *
     * @param id The id of the entry instance.
     * @returns The status, or `undefined` when the instance does not respond.
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
     * Lists the statuses of all entry instances that respond.
     *
     * @param excludedId An entry instance to skip, such as a suspended one.
     * @returns The statuses.
     */
    async listStatuses(excludedId?: string): Promise<EntryStatus[]> {
        const queriedMembers = this.#options.members.filter((m) => m.id !== excludedId);
        const statuses = await Promise.all(queriedMembers.map((m) => this.getStatus(m.id)));
        return statuses.filter((s) => s !== undefined);
    }

    /**
     * Finds the leader of a group.
     *
     * @param group The id of the group.
     * @param excludedId An entry instance to skip, such as an isolated former leader.
     * @returns The id of the leader, or `undefined` when no instance serves the group.
     */
    async findLeader(group: string, excludedId?: string): Promise<string | undefined> {
        const statuses = await this.listStatuses(excludedId);
        return statuses.find((s) => s.groups.some((g) => g.id === group && g.serving))?.id;
    }

    /**
     * Waits until every group has a leader.
     *
     * @param excludedId An entry instance to skip, such as an isolated former leader.
     * @throws {Error} When a group has no leader in time.
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
     * Merges the log files of all processes.
     *
     * @returns The events in the order of time.
     */
    loadTimeline(): TimelineEvent[] {
        return mergeTimeline([...this.#logFiles].map((file) => readFileSync(file, "utf8")));
    }

    /** Resumes suspended processes, then stops all processes and relays. */
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
            throw new Error(`no relay exists from ${from} to ${to}`);
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
 * @param condition A description of the condition, for the error message.
 * @param isMet Returns whether it holds.
 * @param timeoutMs The longest wait, in ms.
 * @throws {Error} When the condition does not hold in time.
 */
export async function waitUntil(
    condition: string,
    isMet: () => boolean | Promise<boolean>,
    timeoutMs = DEFAULT_WAIT_TIMEOUT_MS,
): Promise<void> {
    const deadlineMs = Date.now() + timeoutMs;
    while (!(await isMet())) {
        if (Date.now() > deadlineMs) {
            throw new Error(`condition not met within ${timeoutMs} ms: ${condition}`);
        }
        await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
}
