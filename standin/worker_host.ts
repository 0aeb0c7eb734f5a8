/**
 * A process that carries many stand-in workers behind one JSON-RPC server, so that 1,100
 * workers fit in a few processes. It announces its workers to the entry instance (there is
 * no list of them: they announce themselves), sends their heartbeats in one batch a period,
 * their reports within a tick, and announces their leaving when it is stopped.
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
import type { Logger } from "winston";
import type { LeaseMessage } from "../cell/mod.ts";
import type { Instance, InstanceId, LeaseId } from "../inventory/mod.ts";
import { createRpcClient, startRpcServer, type RpcClient, type RpcServer } from "../rpc/mod.ts";
import { createLogger } from "../telemetry/mod.ts";
import { WorkerAgent, type AgentReport } from "./worker_agent.ts";

/** Options of a worker host. */
export interface WorkerHostOptions {
    /** The entry instance's address. */
    readonly entry: string;
    readonly instances: readonly Instance[];
    /** Instances whose workers fail everything they start. */
    readonly failing?: ReadonlySet<InstanceId>;
    readonly heartbeatMs?: number;
    readonly tickMs?: number;
    readonly processId?: string;
    readonly logger?: Logger;
}

/** Many stand-in workers in one process. */
export class WorkerHost {
    readonly #options: WorkerHostOptions;
    readonly agents = new Map<InstanceId, WorkerAgent>();
    readonly #entry: RpcClient;
    readonly #log: Logger;
    #server: RpcServer | undefined;
    #subscriptions: Subscription[] = [];

    /**
     * @param options The entry's address, the instances, timings.
     */
    constructor(options: WorkerHostOptions) {
        this.#options = options;
        this.#entry = createRpcClient(options.entry, 3_000);
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
                    failEverything: options.failing?.has(instance.id) ?? false,
                }),
            );
        }
    }

    /**
     * Starts the server, announces the workers and starts the loops.
     *
     * @returns The address the host listens on.
     */
    async start(): Promise<string> {
        this.#server = await startRpcServer({
            methods: {
                "leases.grant": (params) => this.#handleGrant(params as { leases: LeaseMessage[] }),
                "leases.stop": (params) =>
                    this.#handleStop(
                        params as {
                            stops: {
                                instance: InstanceId;
                                lease: LeaseId;
                                epoch: number;
                                mode: "stop" | "checkpoint";
                            }[];
                        },
                    ),
            },
        });
        const address = this.#server.address;
        await this.#entry.call("workers.announce", {
            workers: [...this.agents.keys()].map((instance) => ({ instance, address })),
        });
        this.#subscriptions.push(
            interval(this.#options.tickMs ?? 10).subscribe(() => void this.#sendReports()),
        );
        this.#subscriptions.push(
            interval(this.#options.heartbeatMs ?? 500).subscribe(() => void this.#sendHeartbeats()),
        );
        this.#log.info("workers announced", { address, workers: this.agents.size });
        return address;
    }

    /** Announces that the workers leave, then stops. Running tasks end with the process. */
    async stop(): Promise<void> {
        for (const subscription of this.#subscriptions) {
            subscription.unsubscribe();
        }
        await this.#entry
            .call("workers.leave", { instances: [...this.agents.keys()] })
            .catch(() => undefined);
        await this.#server?.close();
    }

    #handleGrant(params: { leases: LeaseMessage[] }): { replies: unknown[] } {
        const now = Date.now();
        const replies = params.leases.map((lease) => {
            const agent = this.agents.get(lease.instance);
            if (agent === undefined) {
                return { lease: lease.lease, accepted: false, reason: "no such worker here" };
            }
            const reply = agent.acceptLease(lease, now);
            this.#log.info(reply.accepted ? "task started" : "lease declined", {
                request: lease.request,
                instance: lease.instance,
                lease: lease.lease,
                epoch: lease.epoch,
                task: lease.task,
                reason: reply.reason,
            });
            return reply;
        });
        return { replies };
    }

    #handleStop(params: {
        stops: {
            instance: InstanceId;
            lease: LeaseId;
            epoch: number;
            mode: "stop" | "checkpoint";
        }[];
    }): { ok: true } {
        for (const stop of params.stops) {
            this.agents.get(stop.instance)?.stopLease(stop.lease, stop.epoch, stop.mode);
        }
        return { ok: true };
    }

    async #sendReports(): Promise<void> {
        const now = Date.now();
        const reports: AgentReport[] = [];
        for (const agent of this.agents.values()) {
            for (const report of agent.tick(now)) {
                reports.push(report);
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
        if (reports.length > 0) {
            await this.#entry
                .call("workers.report", { reports })
                .catch((error: Error) =>
                    this.#log.warn("reports not delivered", { error: error.message }),
                );
        }
    }

    async #sendHeartbeats(): Promise<void> {
        const sentAt = Date.now();
        const beats = [...this.agents.values()].map((agent) => ({
            instance: agent.instance,
            leases: agent.listHeld(sentAt),
        }));
        try {
            await this.#entry.call("workers.heartbeat", { beats });
            for (const [i, agent] of [...this.agents.values()].entries()) {
                agent.renewLeases(sentAt, beats[i]?.leases.map((l) => l.lease) ?? []);
            }
        } catch (error) {
            this.#log.warn("heartbeat not delivered", { error: (error as Error).message });
        }
    }
}
