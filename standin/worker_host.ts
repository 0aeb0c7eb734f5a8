/**
 * Runs many simulated workers of one group behind a single JSON-RPC server. It registers them
 * with the entry instances, sends heartbeats and reports in batches, and deregisters the workers
 * on stop.
 *
 * @example
 * ```ts
 * import { WorkerHost } from "./worker_host.ts";
 * const host = new WorkerHost({ entry: "127.0.0.1:7000", instances });
 * await host.start();
 * ```
 *
 * @module
 */

import { interval, type Subscription } from "rxjs";
import { ulid } from "ulid";
import type { Logger } from "winston";
import type { Effect, GrantMessage } from "../cell/mod.ts";
import type { Instance, InstanceId, LeaseId } from "../inventory/mod.ts";
import { startRpcServer, type RpcServer } from "../rpc/mod.ts";
import { createLogger } from "../telemetry/mod.ts";
import { EntryClient, parseEntries } from "./entry_client.ts";
import { WorkerAgent, type AgentReport, type GrantReply } from "./worker_agent.ts";

/** Options of {@link WorkerHost}. */
export interface WorkerHostOptions {
    /** The entry instances, in the format of {@link parseEntries}. */
    readonly entry: string;
    readonly instances: readonly Instance[];
    /** Instances whose workers fail every task. */
    readonly failing?: ReadonlySet<InstanceId>;
    readonly heartbeatMs?: number;
    readonly tickMs?: number;
    readonly processId?: string;
    readonly logger?: Logger;
}

type StopMessage = Extract<Effect, { type: "stop" }>;

const ANNOUNCE_TIMEOUT_MS = 60_000;
const REPORT_RETRY_MS = 200;

/** Hosts simulated workers in one process. */
export class WorkerHost {
    readonly #options: WorkerHostOptions;
    readonly agents = new Map<InstanceId, WorkerAgent>();
    readonly #entryClient: EntryClient;
    readonly #incarnation = ulid();
    readonly #log: Logger;
    #server: RpcServer | undefined;
    #subscriptions: Subscription[] = [];
    #pendingReports: AgentReport[] = [];
    #isSendingReports = false;
    #isSendingHeartbeats = false;
    #isStopped = false;

    /**
     * @param options The entry instances, the hosted instances and the intervals.
     */
    constructor(options: WorkerHostOptions) {
        this.#options = options;
        this.#entryClient = new EntryClient({
            entries: parseEntries(options.entry),
            timeoutMs: 1_500,
        });
        this.#log =
            options.logger ??
            createLogger({
                process: options.processId ?? "workers",
                zone: options.instances[0]?.zone ?? "local",
            });
        for (const instance of options.instances) {
            this.agents.set(
                instance.id,
                new WorkerAgent({
                    instance: instance.id,
                    capacity: instance.capacity,
                    incarnation: this.#incarnation,
                    failAllTasks: options.failing?.has(instance.id) ?? false,
                }),
            );
        }
    }

    /**
     * Starts the server, announces the workers and starts the periodic tasks.
     *
     * @returns The address that the host listens on.
     */
    async start(): Promise<string> {
        this.#server = await startRpcServer({
            methods: {
                "leases.grant": (params) => this.#handleGrant(params as { leases: GrantMessage[] }),
                "leases.stop": (params) => this.#handleStop(params as { stops: StopMessage[] }),
            },
        });
        const { address } = this.#server;
        await this.#announce([...this.agents.keys()]);
        this.#subscriptions.push(
            interval(this.#options.tickMs ?? 10).subscribe(() => this.#runTick()),
            interval(this.#options.heartbeatMs ?? 500).subscribe(() => void this.#sendHeartbeats()),
        );
        this.#log.info("workers announced", { address, workers: this.agents.size });
        return address;
    }

    /** Deregisters the workers, then stops. Running tasks are not waited for. */
    async stop(): Promise<void> {
        this.#isStopped = true;
        for (const subscription of this.#subscriptions) {
            subscription.unsubscribe();
        }
        await this.#entryClient
            .sendUntil("workers.leave", { instances: [...this.agents.keys()] }, Date.now() + 1_000)
            .catch(() => undefined);
        await this.#server?.close();
    }

    #announce(instances: readonly InstanceId[]): Promise<unknown> {
        const address = this.#server?.address ?? "";
        return this.#entryClient.sendUntil(
            "workers.announce",
            {
                workers: instances.map((instance) => ({
                    instance,
                    address,
                    incarnation: this.#incarnation,
                    sentAt: getMonotonicNowMs(),
                })),
            },
            Date.now() + ANNOUNCE_TIMEOUT_MS,
        );
    }

    #handleGrant(params: { leases: GrantMessage[] }): { replies: GrantReply[] } {
        const now = getMonotonicNowMs();
        const replies = params.leases.map((offer): GrantReply => {
            const agent = this.agents.get(offer.instance);
            if (agent === undefined) {
                return {
                    lease: offer.lease,
                    status: "unknown",
                    reason: "no such worker here",
                };
            }
            const startedBefore = agent.startedTasks.length;
            const reply = agent.acceptLease(offer, now);
            if (agent.startedTasks.length > startedBefore || reply.status !== "accepted") {
                this.#recordReply(offer, reply);
            }
            return reply;
        });
        return { replies };
    }

    #recordReply(offer: GrantMessage, reply: GrantReply): void {
        this.#log.info(reply.status === "accepted" ? "task started" : "lease declined", {
            request: offer.request,
            instance: offer.instance,
            lease: offer.lease,
            epoch: offer.epoch,
            task: offer.task,
            cores: offer.demand.cores,
            reason: reply.reason,
        });
    }

    #handleStop(params: { stops: StopMessage[] }): { ok: true } {
        for (const stop of params.stops) {
            this.agents.get(stop.instance)?.stopLease(stop, getMonotonicNowMs());
        }
        return { ok: true };
    }

    #runTick(): void {
        this.#tickAgents();
        if (!this.#isSendingReports && this.#pendingReports.length > 0) {
            void this.#sendReports();
        }
    }

    #tickAgents(): void {
        const now = getMonotonicNowMs();
        for (const agent of this.agents.values()) {
            for (const report of agent.tick(now)) {
                this.#pendingReports.push(report);
                if (report.report !== "started") {
                    this.#log.info(`task ${report.report}`, {
                        instance: agent.instance,
                        lease: report.lease,
                        epoch: report.epoch,
                        detail: report.detail,
                    });
                }
            }
        }
    }

    /**
     * Sends the pending reports in order. A failed batch is put back in front and sent again, so
     * that a leader failure doesn't lose the end of a task.
     */
    async #sendReports(): Promise<void> {
        this.#isSendingReports = true;
        const reports = this.#pendingReports;
        this.#pendingReports = [];
        try {
            await this.#entryClient.send("workers.report", { reports });
        } catch (error) {
            this.#pendingReports = [...reports, ...this.#pendingReports];
            this.#log.warn("failed to send task reports, will retry", {
                error: (error as Error).message,
            });
            await new Promise((resolve) => setTimeout(resolve, REPORT_RETRY_MS));
        } finally {
            this.#isSendingReports = false;
        }
    }

    async #sendHeartbeats(): Promise<void> {
        if (this.#isSendingHeartbeats) {
            return;
        }
        this.#isSendingHeartbeats = true;
        // Ends expired leases first: after a pause, the heartbeat must not list tasks that may
        // already run on another worker.
        this.#tickAgents();
        const sentAt = getMonotonicNowMs();
        const heartbeats = [...this.agents.values()].map((agent) => ({
            instance: agent.instance,
            incarnation: this.#incarnation,
            sentAt,
            leases: agent.listHeldLeases(sentAt),
        }));
        try {
            const answer = await this.#entryClient.send<{
                announce: InstanceId[];
                ended: LeaseId[];
            }>("workers.heartbeat", { beats: heartbeats });
            const ended = new Set(answer.ended);
            for (const heartbeat of heartbeats) {
                const heldLeases = heartbeat.leases.map((l) => l.lease);
                const agent = this.agents.get(heartbeat.instance);
                agent?.renewLeases(
                    sentAt,
                    heldLeases.filter((l) => !ended.has(l)),
                );
                agent?.stopEndedLeases(heldLeases.filter((l) => ended.has(l)));
            }
            if (answer.announce.length > 0 && !this.#isStopped) {
                await this.#announce(answer.announce);
            }
        } catch (error) {
            this.#log.warn("failed to send heartbeats", { error: (error as Error).message });
        } finally {
            this.#isSendingHeartbeats = false;
        }
    }
}

/** Returns monotonic epoch time in ms, so that clock adjustments don't expire leases early. */
function getMonotonicNowMs(): number {
    return Math.round(performance.timeOrigin + performance.now());
}
