/**
 * Commands that run one process of a cell: an entry instance or a host of simulated workers.
 *
 * @example
 * ```sh
 * poplarhead entry --inventory examples/umhlanga/inventory.yaml --rules examples/umhlanga/rules.yaml
 * poplarhead workers --entry 127.0.0.1:7000 --inventory examples/umhlanga/inventory.yaml --rules examples/umhlanga/rules.yaml --zone hall-a
 * ```
 *
 * @module
 */

import { Command, Option, UsageError } from "clipanion";
import { EntryInstance } from "../entry/mod.ts";
import { createId, type InstanceId } from "../inventory/mod.ts";
import { WorkerHost } from "../standin/mod.ts";
import { createLogger } from "../telemetry/mod.ts";
import { loadSettingsFiles } from "./settings_files.ts";

/** `poplarhead entry`: runs an entry instance until SIGTERM or SIGINT. */
export class EntryCommand extends Command {
    static override paths = [["entry"]];
    static override usage = Command.Usage({
        description: "Run an entry instance: API, scheduler, replicated log.",
    });
    inventory = Option.String("--inventory", { required: true });
    rules = Option.String("--rules", { required: true });
    port = Option.String("--port", "0");
    host = Option.String("--host", "127.0.0.1");
    zone = Option.String("--zone", "local");
    id = Option.String("--id", "entry-1");
    dataDir = Option.String("--data-dir");
    deployment = Option.String("--deployment", {
        description: "the deployment file; without it, the cell consists of this instance alone",
    });
    bootstrap = Option.Boolean("--bootstrap", false, {
        description: "initialize a new cell; the disks of its entry instances must be empty",
    });
    snapshotIntervalEntries = Option.String("--snapshot-every", {
        description: "log entries between two snapshots",
    });
    log = Option.String("--log");

    /** @returns The exit code. */
    async execute(): Promise<number> {
        const { inventory, rules, deployment } = loadSettingsFiles(
            this.inventory,
            this.rules,
            this.deployment,
        );
        const member = deployment?.members.find((m) => m.id === this.id);
        if (deployment !== undefined && member === undefined) {
            throw new UsageError(
                `--id ${this.id} is not listed under members in ${this.deployment}`,
            );
        }
        if (member?.hasDisk === true && this.dataDir === undefined) {
            throw new UsageError(
                `${this.id} has a disk in ${this.deployment}: --data-dir is required`,
            );
        }
        const logger = createLogger({
            process: this.id,
            zone: member?.zone ?? this.zone,
            file: this.log,
        });
        const entry = new EntryInstance({
            inventory,
            rules,
            host: this.host,
            port: Number(this.port),
            zone: member?.zone ?? this.zone,
            processId: this.id,
            deployment,
            bootstrap: deployment === undefined ? undefined : this.bootstrap,
            dataDir: member?.hasDisk === false ? undefined : this.dataDir,
            snapshotIntervalEntries:
                this.snapshotIntervalEntries === undefined
                    ? undefined
                    : Number(this.snapshotIntervalEntries),
            logger,
        });
        const address = await entry.start();
        this.context.stdout.write(`${JSON.stringify({ listening: address })}\n`);
        await waitForShutdownSignal();
        await entry.stop();
        return 0;
    }
}

/** `poplarhead workers`: runs simulated workers for the instances of one zone or of all. */
export class WorkersCommand extends Command {
    static override paths = [["workers"]];
    static override usage = Command.Usage({
        description: "Run simulated workers for the inventory's instances, many in one process.",
    });
    entry = Option.String("--entry", {
        required: true,
        description: "entry instances: id=host:port or host:port, separated by commas",
    });
    inventory = Option.String("--inventory", { required: true });
    rules = Option.String("--rules", { required: true });
    zone = Option.String("--zone");
    failing = Option.String("--failing", "", {
        description: "comma-separated instances on which every task fails",
    });
    id = Option.String("--id", "workers-1");
    log = Option.String("--log");

    /** @returns The exit code. */
    async execute(): Promise<number> {
        const { inventory } = loadSettingsFiles(this.inventory, this.rules);
        const instances = inventory.instances.filter(
            (i) => this.zone === undefined || i.zone === this.zone,
        );
        const failing = new Set(
            this.failing
                .split(",")
                .filter((s) => s !== "")
                .map((s) => createId<InstanceId>(s)),
        );
        const logger = createLogger({ process: this.id, zone: this.zone ?? "all", file: this.log });
        const host = new WorkerHost({
            entry: this.entry,
            instances,
            failing,
            processId: this.id,
            logger,
        });
        const address = await host.start();
        this.context.stdout.write(
            `${JSON.stringify({ listening: address, workers: instances.length })}\n`,
        );
        await waitForShutdownSignal();
        await host.stop();
        return 0;
    }
}

/**
 * Waits for SIGTERM or SIGINT.
 *
 * @returns A promise that resolves when either signal arrives.
 */
export function waitForShutdownSignal(): Promise<void> {
    return new Promise((resolve) => {
        process.once("SIGTERM", () => resolve());
        process.once("SIGINT", () => resolve());
    });
}
