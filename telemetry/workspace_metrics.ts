/**
 * Prometheus metrics of workspaces: what each has reserved, its limit, its waiting work, and its jobs
 * by share. Only the workspaces with the largest reservations, or for jobs with the largest weights,
 * have labels of their own; the others are added up.
 *
 * @example
 * ```ts
 * import { WorkspaceMetrics } from "./workspace_metrics.ts";
 * const workspaceMetrics = new WorkspaceMetrics(registry);
 * workspaceMetrics.update(dispatcher.listWorkspaceUsage());
 * ```
 *
 * @module
 */

import { Counter, Gauge, type Registry } from "prom-client";
import type { ShareClass, WorkspaceName, WorkspaceUsage } from "../workspace/types.ts";

/** Workspaces with labels of their own; bounds the size of the metrics. */
const MAX_LABELLED_WORKSPACES = 50;
/** Label of the workspaces beyond that number. */
const OTHER_WORKSPACES = "(others)";

type WorkspaceLabel = "workspace" | "resource";

/** How a submitted job counts: by its class, or as refused. */
export type JobShare = ShareClass | "refused";

const JOB_SHARES: readonly JobShare[] = ["entitled", "borrowed", "refused"];

/** The metrics of workspaces in one registry. */
export class WorkspaceMetrics {
    readonly #reserved: Gauge<WorkspaceLabel>;
    readonly #limit: Gauge<WorkspaceLabel>;
    readonly #waiting: Gauge<"workspace">;
    readonly #borrowing: Gauge<"workspace">;
    readonly #jobs: Counter<"workspace" | "share">;
    readonly #jobCounts = new Map<WorkspaceName, Record<JobShare, number>>();
    #weights: ReadonlyMap<WorkspaceName, number> = new Map();

    /**
     * @param registry The registry to add the metrics to.
     */
    constructor(registry: Registry) {
        const labelNames: WorkspaceLabel[] = ["workspace", "resource"];
        const registers = [registry];
        this.#reserved = new Gauge({
            name: "poplarhead_workspace_reserved",
            help: "Reserved by a workspace's tasks: cpu in thousandths of a core, memory in MB, gpu.",
            labelNames,
            registers,
        });
        this.#limit = new Gauge({
            name: "poplarhead_workspace_limit",
            help: "A workspace's limit, in the same units; absent if it has none.",
            labelNames,
            registers,
        });
        this.#waiting = new Gauge({
            name: "poplarhead_workspace_waiting_units",
            help: "A workspace's units that wait for a worker or for quota.",
            labelNames: ["workspace"],
            registers,
        });
        this.#borrowing = new Gauge({
            name: "poplarhead_workspace_borrowing",
            help: "Workspaces that sent more jobs per second than their weight in the last 5 s.",
            labelNames: ["workspace"],
            registers,
        });
        this.#jobs = new Counter({
            name: "poplarhead_workspace_jobs_total",
            help: "Submitted jobs of a workspace: entitled, borrowed or refused.",
            labelNames: ["workspace", "share"],
            registers,
            collect: () => this.#collectJobs(),
        });
    }

    /**
     * Counts a submitted job.
     *
     * @param workspace Its workspace.
     * @param share Its class, or that it was refused.
     */
    recordJob(workspace: WorkspaceName, share: JobShare): void {
        const counts = this.#jobCounts.get(workspace) ?? { entitled: 0, borrowed: 0, refused: 0 };
        counts[share] += 1;
        this.#jobCounts.set(workspace, counts);
    }

    /** Counts are kept by workspace, since the weights that select the labels may change. */
    #collectJobs(): void {
        this.#jobs.reset();
        const getWeight = (workspace: WorkspaceName): number => this.#weights.get(workspace) ?? -1;
        const sorted = [...this.#jobCounts].sort(([a], [b]) => getWeight(b) - getWeight(a));
        for (const [i, [workspace, counts]] of sorted.entries()) {
            const label = i < MAX_LABELLED_WORKSPACES ? workspace : OTHER_WORKSPACES;
            for (const share of JOB_SHARES) {
                this.#jobs.inc({ workspace: label, share }, counts[share]);
            }
        }
    }

    /**
     * Replaces the values of all workspaces.
     *
     * @param usages What each workspace uses; empty on an instance that does not lead.
     */
    update(usages: readonly WorkspaceUsage[]): void {
        this.#reserved.reset();
        this.#limit.reset();
        this.#waiting.reset();
        this.#borrowing.reset();
        if (usages.length > 0) {
            this.#weights = new Map(
                usages.map(({ workspace, weight }) => [workspace, weight ?? -1]),
            );
        }
        const sorted = [...usages].sort((a, b) => b.reserved.cpu - a.reserved.cpu);
        for (const [i, usage] of sorted.entries()) {
            const { workspace, reserved, limit, waitingUnits, weight, isBorrowing } = usage;
            const isLabelled = i < MAX_LABELLED_WORKSPACES;
            const label = isLabelled ? workspace : OTHER_WORKSPACES;
            this.#waiting.inc({ workspace: label }, waitingUnits);
            if (weight !== undefined) {
                this.#borrowing.inc({ workspace: label }, isBorrowing === true ? 1 : 0);
            }
            for (const resource of ["cpu", "memoryMb", "gpu"] as const) {
                this.#reserved.inc({ workspace: label, resource }, reserved[resource]);
                if (isLabelled && limit[resource] > 0) {
                    this.#limit.set({ workspace: label, resource }, limit[resource]);
                }
            }
        }
    }
}
