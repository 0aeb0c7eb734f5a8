/**
 * Fixtures for failure tests on real processes: small clusters, a workload that submits and
 * resubmits requests, and an audit of the merged event log.
 *
 * @example
 * ```ts
 * import { buildCluster, Workload } from "./_cluster_fixtures.ts";
 * const cluster = await buildCluster({ zones: ["z1"], entriesPerZone: 3 });
 * const workload = new Workload(cluster);
 * workload.start({ intervalMs: 20 });
 * ```
 *
 * @module
 */

import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { stringify } from "yaml";
import { buildRulesFixture, buildSpec } from "../cell/_fixtures.ts";
import type { RequestStatus, RequestSpec } from "../cell/mod.ts";
import { buildInventory } from "../examples/build_examples.ts";
import { createId, type CustomerId } from "../inventory/mod.ts";
import { Cluster, type ClusterOptions } from "../load/cluster_runner.ts";
import { createRulesFile, type RulesFile } from "../rules/rules_file.ts";
import { Caller } from "../standin/mod.ts";
import { auditTimeline, type ReportedOutcome } from "../telemetry/mod.ts";

const SERVICE = "studio-intake";
const WORKER_CORES = 16;
const SETTLE_TIMEOUT_MS = 60_000;

/** Options of {@link buildCluster}. */
export interface ClusterFixtureOptions extends Partial<ClusterOptions> {
    readonly zones: readonly string[];
    readonly entriesPerZone: number;
    readonly workers?: number;
    /** Additional members without a disk, in the first zone. */
    readonly diskless?: number;
}

/**
 * Builds and starts a cluster. Entry instances are named `e-<zone>-<number>`, diskless ones
 * `d-<zone>-<number>`.
 *
 * @param options Zones and number of processes.
 * @returns The running cluster.
 */
export function buildCluster(options: ClusterFixtureOptions): Promise<Cluster> {
    const dir = mkdtempSync(join(tmpdir(), "poplarhead-cluster-"));
    const inventoryFile = join(dir, "inventory.yaml");
    const rulesFile = join(dir, "rules.yaml");
    const inventory = buildInventory({
        cell: "test",
        zones: [...options.zones],
        service: SERVICE,
        workers: options.workers ?? 6,
    });
    writeFileSync(inventoryFile, stringify(inventory, { aliasDuplicateObjects: false }));
    writeFileSync(rulesFile, stringify(buildRulesFile()));
    const members = options.zones.flatMap((zone) =>
        Array.from({ length: options.entriesPerZone }, (_, i) => ({
            id: `e-${zone}-${i + 1}`,
            zone,
        })),
    );
    const diskless = Array.from({ length: options.diskless ?? 0 }, (_, i) => ({
        id: `d-${options.zones[0]}-${i + 1}`,
        zone: options.zones[0] as string,
        disk: false,
    }));
    return Cluster.start({
        dir,
        inventoryFile,
        rulesFile,
        members: [...members, ...diskless],
        workerZones: options.zones,
        ...options,
    });
}

/**
 * Builds the test rules in the format of a rules file.
 *
 * @returns The rules.
 */
export function buildRulesFile(): RulesFile {
    return createRulesFile(buildRulesFixture());
}

/** Rate and mix of the requests that a workload submits. */
export interface WorkloadOptions {
    /** Time between two requests, in ms. */
    readonly intervalMs: number;
    /** Kinds to submit, in rotation. */
    readonly kinds?: readonly string[];
    readonly runMs?: number;
    /** Cancels every n-th request as soon as it is accepted. */
    readonly cancelEvery?: number;
    /** Skips submissions while this many are unanswered; unlimited by default. */
    readonly maxInFlight?: number;
}

/** Submits requests at a fixed rate and keeps every answer. */
export class Workload {
    readonly #cluster: Cluster;
    readonly #caller: Caller;
    readonly #name: string;
    readonly #sent: {
        readonly spec: RequestSpec;
        readonly answer: Promise<RequestStatus | undefined>;
    }[] = [];
    #inFlightCount = 0;
    #timer: NodeJS.Timeout | undefined;

    /**
     * @param cluster The cluster.
     * @param options The caller's name, the zone whose instances it calls (all by default) and the
     * resend interval in ms.
     */
    constructor(
        cluster: Cluster,
        options: {
            readonly name?: string;
            readonly zone?: string;
            readonly resendMs?: number;
        } = {},
    ) {
        this.#cluster = cluster;
        this.#name = options.name ?? "console-1";
        this.#caller = new Caller({
            entry: cluster.listEntries("caller", options.zone),
            retryTimeoutMs: options.resendMs ?? 30_000,
        });
    }

    /** The client that submits the requests. */
    get caller(): Caller {
        return this.#caller;
    }

    /** Number of requests submitted so far. */
    get count(): number {
        return this.#sent.length;
    }

    /**
     * Starts submitting requests.
     *
     * @param options Rate and mix of the requests.
     */
    start(options: WorkloadOptions): void {
        const kinds = options.kinds ?? ["preview", "batch", "reel", "hero"];
        const maxInFlight = options.maxInFlight ?? Number.POSITIVE_INFINITY;
        this.#timer = setInterval(() => {
            if (this.#inFlightCount >= maxInFlight) {
                return;
            }
            const n = this.#sent.length;
            const isCancelled = options.cancelEvery !== undefined && n % options.cancelEvery === 0;
            this.submit(
                {
                    kind: kinds[n % kinds.length] as string,
                    work: { runMs: options.runMs ?? 100, usageFactor: 1, fail: false },
                },
                isCancelled,
            );
        }, options.intervalMs);
        this.#timer.unref();
    }

    /** Stops submitting requests. */
    stop(): void {
        clearInterval(this.#timer);
    }

    /**
     * Submits one request.
     *
     * @param overrides Fields that differ from the default request.
     * @param isCancelled Whether to cancel the request as soon as it is accepted.
     * @returns The first answer, or `undefined` if the call failed or timed out.
     */
    submit(
        overrides: Partial<RequestSpec>,
        isCancelled = false,
    ): Promise<RequestStatus | undefined> {
        const spec = buildSpec({
            caller: this.#name,
            customer: createId<CustomerId>("team-1"),
            ...overrides,
        });
        this.#inFlightCount++;
        const answer = this.#caller
            .submit(spec)
            .then((a) => (isCancelled ? this.#caller.cancel(a.requestId) : a))
            .catch(() => undefined)
            .finally(() => this.#inFlightCount--);
        this.#sent.push({ spec, answer });
        return answer;
    }

    /**
     * Waits until every request is final; resubmits unanswered ones with the same idempotency key.
     *
     * @returns The final answers.
     */
    async waitAll(): Promise<RequestStatus[]> {
        const deadlineMs = Date.now() + SETTLE_TIMEOUT_MS;
        return Promise.all(
            this.#sent.map(async ({ spec, answer }) => {
                const first = (await answer) ?? (await this.#caller.submit(spec));
                return this.#caller.waitFinal(first.requestId, deadlineMs);
            }),
        );
    }

    /**
     * Stops submitting, waits until every request is final, and audits the merged event log.
     *
     * @returns The final answers, and one line per violated guarantee.
     */
    async audit(): Promise<{ readonly answers: RequestStatus[]; readonly violations: string[] }> {
        this.stop();
        const answers = await this.waitAll();
        return { answers, violations: auditAnswers(this.#cluster, answers) };
    }
}

/**
 * Audits the cluster's merged event log against the scheduler's guarantees.
 *
 * @param cluster The cluster.
 * @param answers The final answers that callers received.
 * @returns One line per violated guarantee.
 */
export function auditAnswers(cluster: Cluster, answers: readonly RequestStatus[]): string[] {
    const kinds = new Map(buildRulesFile().kinds.map((k) => [k.name, k]));
    const timeline = cluster.loadTimeline();
    const instances = new Set(timeline.flatMap((e) => (e["instance"] as string) ?? []));
    return auditTimeline(timeline, {
        capacities: new Map([...instances].map((id) => [id, WORKER_CORES])),
        killedAtMs: cluster.killedAtMs,
        outcomes: answers.map((answer): ReportedOutcome => ({
            requestId: answer.requestId,
            state: answer.state,
            final: answer.final,
            mayHaveRun: answer.mayHaveRun,
            atMostOnce: kinds.get(answer.kind)?.idempotent === false,
            tasks: 1,
        })),
    });
}
