/**
 * Commands for operators: calls to a running entry instance, offline checks and log analysis.
 *
 * @example
 * ```sh
 * poplarhead check --inventory inv.yaml --rules rules.yaml
 * poplarhead submit --entry 127.0.0.1:7000 --caller console --key k1 --kind preview --service studio-intake --customer retailer-a --cores 1 --memory-mb 1024
 * poplarhead fate --entry 127.0.0.1:7000 r1
 * ```
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { Command, Option, UsageError } from "clipanion";
import { parse } from "yaml";
import { createRpcClient } from "../rpc/mod.ts";
import { FindingsError, formatFindings } from "../settings/findings.ts";
import {
    explainRequest,
    formatCallRows,
    formatCauses,
    formatEvent,
    formatStages,
    listCallRows,
    listCauseRows,
    listStageRows,
    mergeTimeline,
} from "../telemetry/mod.ts";
import { loadSettingsFiles } from "./settings_files.ts";

abstract class EntryClientCommand extends Command {
    entry = Option.String("--entry", {
        required: true,
        description: "host:port of an entry instance",
    });

    /** Calls a method of the entry instance and prints the result as JSON. */
    async sendCall(method: string, params: object): Promise<number> {
        const result = await createRpcClient(this.entry).call(method, params);
        this.context.stdout.write(`${JSON.stringify(result, null, 2)}\n`);
        return 0;
    }
}

/** `poplarhead check`: validates settings files and prints every finding. */
export class CheckCommand extends Command {
    static override paths = [["check"]];
    static override usage = Command.Usage({
        description: "Validate the inventory, rules and deployment files and print every finding.",
    });
    inventory = Option.String("--inventory", { required: true });
    rules = Option.String("--rules", { required: true });
    deployment = Option.String("--deployment");

    /** @returns 0 if all files are valid, 1 if there are findings. */
    async execute(): Promise<number> {
        try {
            const { inventory, rules, deployment } = loadSettingsFiles(
                this.inventory,
                this.rules,
                this.deployment,
            );
            const members = deployment?.members.length;
            this.context.stdout.write(
                `ok: ${inventory.instances.length} instances, ${inventory.executors.length} executors, ${rules.kinds.size} kinds, rules version ${rules.version}${members === undefined ? "" : `, ${members} entry instances`}\n`,
            );
            return 0;
        } catch (error) {
            if (error instanceof FindingsError) {
                this.context.stderr.write(
                    `${formatFindings(error.findings)}\n${error.findings.length} finding(s); nothing loaded\n`,
                );
                return 1;
            }
            throw error;
        }
    }
}

/** `poplarhead submit`: submits a request. */
export class SubmitCommand extends EntryClientCommand {
    static override paths = [["submit"]];
    static override usage = Command.Usage({
        description: "Submit a request. Idempotent: the same key returns the same request.",
    });
    caller = Option.String("--caller", "operator");
    key = Option.String("--key", { required: true });
    kind = Option.String("--kind", { required: true });
    service = Option.String("--service", { required: true });
    customer = Option.String("--customer", { required: true });
    cores = Option.String("--cores", "1");
    memoryMb = Option.String("--memory-mb", "1024");
    count = Option.String("--count", "1");
    runMs = Option.String("--run-ms", "500");

    /** @returns The exit code. */
    async execute(): Promise<number> {
        return this.sendCall("request.submit", {
            spec: {
                caller: this.caller,
                key: this.key,
                kind: this.kind,
                service: this.service,
                customer: this.customer,
                demand: { cores: Number(this.cores), memoryMb: Number(this.memoryMb) },
                count: Number(this.count),
                declaredRunMs: Number(this.runMs),
                work: { runMs: Number(this.runMs) },
            },
        });
    }
}

/** `poplarhead fate`: prints a request's state and events. */
export class FateCommand extends EntryClientCommand {
    static override paths = [["fate"]];
    static override usage = Command.Usage({
        description: "Print a request's state and its timeline of events.",
    });
    requestId = Option.String();
    waitMs = Option.String("--wait-ms", "0");

    /** @returns The exit code. */
    async execute(): Promise<number> {
        return this.sendCall("request.wait", {
            requestId: this.requestId,
            timeoutMs: Number(this.waitMs),
        });
    }
}

/** `poplarhead cancel`: cancels a request. */
export class CancelCommand extends EntryClientCommand {
    static override paths = [["cancel"]];
    static override usage = Command.Usage({ description: "Cancel a request." });
    requestId = Option.String();

    /** @returns The exit code. */
    async execute(): Promise<number> {
        return this.sendCall("request.cancel", { requestId: this.requestId });
    }
}

/** `poplarhead drain`: starts or ends the drain of an instance. */
export class DrainCommand extends EntryClientCommand {
    static override paths = [["drain"]];
    static override usage = Command.Usage({
        description: "Drain an instance: it keeps its tasks and gets no new ones.",
    });
    instance = Option.String();
    undo = Option.Boolean("--undo", false, { description: "end the drain" });

    /** @returns The exit code. */
    async execute(): Promise<number> {
        const method = this.undo ? "instance.undrain" : "instance.drain";
        return this.sendCall(method, { instance: this.instance });
    }
}

/** `poplarhead rules set`: replaces the rules. */
export class RulesSetCommand extends EntryClientCommand {
    static override paths = [["rules", "set"]];
    static override usage = Command.Usage({
        description:
            "Replace the rules if their version is the expected one; the change id makes retries idempotent.",
    });
    file = Option.String("--file", { required: true });
    expectedVersion = Option.String("--expected-version", { required: true });
    changeId = Option.String("--change-id", { required: true });

    /** @returns The exit code. */
    async execute(): Promise<number> {
        const rules = parse(readFileSync(this.file, "utf8")) as object;
        return this.sendCall("rules.set", {
            change: {
                changeId: this.changeId,
                expectedVersion: Number(this.expectedVersion),
                rules,
            },
        });
    }
}

/** `poplarhead status`: prints the cell's status. */
export class StatusCommand extends EntryClientCommand {
    static override paths = [["status"]];
    static override usage = Command.Usage({
        description: "Print the requests per state, the live workers and the packing.",
    });

    /** @returns The exit code. */
    async execute(): Promise<number> {
        return this.sendCall("cell.status", {});
    }
}

/** `poplarhead logs merge`: merges the logs of several processes by time. */
export class LogsMergeCommand extends Command {
    static override paths = [["logs", "merge"]];
    static override usage = Command.Usage({
        description: "Merge the JSON logs of several processes into one timeline.",
    });
    request = Option.String("--request");
    since = Option.String("--since", { description: "ISO 8601 time or Unix time in ms" });
    until = Option.String("--until", { description: "ISO 8601 time or Unix time in ms" });
    files = Option.Rest({ required: 1 });

    /** @returns The exit code. */
    async execute(): Promise<number> {
        const texts = this.files.map((file) => readFileSync(file, "utf8"));
        const sinceMs = parseTimeMs(this.since, Number.NEGATIVE_INFINITY);
        const untilMs = parseTimeMs(this.until, Number.POSITIVE_INFINITY);
        for (const event of mergeTimeline(texts, { request: this.request })) {
            if (event.t >= sinceMs && event.t <= untilMs) {
                this.context.stdout.write(`${formatEvent(event)}\n`);
            }
        }
        return 0;
    }
}

/** `poplarhead logs explain`: prints a request's events and why it was delayed or failed. */
export class LogsExplainCommand extends Command {
    static override paths = [["logs", "explain"]];
    static override usage = Command.Usage({
        description:
            "Print a request's events and the causes of its delay or failure, from the JSON logs.",
    });
    request = Option.String("--request", { required: true });
    files = Option.Rest({ required: 1 });

    /** @returns 0 if the logs mention the request, 1 otherwise. */
    async execute(): Promise<number> {
        const texts = this.files.map((file) => readFileSync(file, "utf8"));
        const { events, causes } = explainRequest(mergeTimeline(texts), this.request);
        events.forEach((event) => this.context.stdout.write(`${formatEvent(event)}\n`));
        this.context.stdout.write(
            causes.length === 0 ? "no causes of delay or failure found\n" : "causes:\n",
        );
        causes.forEach((cause) => this.context.stdout.write(`- ${cause}\n`));
        return events.length === 0 ? 1 : 0;
    }
}

/** `poplarhead logs causes`: tabulates the causes of delays and failures. */
export class LogsCausesCommand extends Command {
    static override paths = [["logs", "causes"]];
    static override usage = Command.Usage({
        description:
            "Tabulate the causes of delays and failures per time span, from the JSON logs.",
    });
    span = Option.String("--span", "2", { description: "length of a time span in seconds" });
    files = Option.Rest({ required: 1 });

    /** @returns The exit code. */
    async execute(): Promise<number> {
        const spanMs = parseSpanMs(this.span);
        const texts = this.files.map((file) => readFileSync(file, "utf8"));
        const rows = listCauseRows(mergeTimeline(texts), { spanMs });
        this.context.stdout.write(`${formatCauses(rows)}\n`);
        return 0;
    }
}

/** `poplarhead logs calls`: tabulates the outcomes of calls by kind. */
export class LogsCallsCommand extends Command {
    static override paths = [["logs", "calls"]];
    static override usage = Command.Usage({
        description:
            "Tabulate how many calls of each kind were answered, late, refused or failed per time span.",
    });
    span = Option.String("--span", "1", { description: "length of a time span in seconds" });
    files = Option.Rest({ required: 1 });

    /** @returns The exit code. */
    async execute(): Promise<number> {
        const spanMs = parseSpanMs(this.span);
        const texts = this.files.map((file) => readFileSync(file, "utf8"));
        const rows = listCallRows(mergeTimeline(texts), { spanMs });
        this.context.stdout.write(`${formatCallRows(rows)}\n`);
        return 0;
    }
}

/** `poplarhead logs stages`: tabulates the waiting time of jobs per stage. */
export class LogsStagesCommand extends Command {
    static override paths = [["logs", "stages"]];
    static override usage = Command.Usage({
        description:
            "Tabulate the waiting time of each queue's jobs per stage, from the JSON logs.",
    });
    span = Option.String("--span", {
        description: "length of a time span in seconds; by default, one span covers all",
    });
    files = Option.Rest({ required: 1 });

    /** @returns The exit code. */
    async execute(): Promise<number> {
        const spanMs = this.span === undefined ? undefined : parseSpanMs(this.span);
        const texts = this.files.map((file) => readFileSync(file, "utf8"));
        const rows = listStageRows(mergeTimeline(texts), { spanMs });
        this.context.stdout.write(`${formatStages(rows)}\n`);
        return 0;
    }
}

function parseSpanMs(text: string): number {
    const spanMs = Number(text) * 1_000;
    if (!(spanMs > 0)) {
        throw new UsageError(`--span must be a positive number of seconds: ${text}`);
    }
    return spanMs;
}

function parseTimeMs(text: string | undefined, defaultMs: number): number {
    if (text === undefined) {
        return defaultMs;
    }
    const ms = /^\d+$/.test(text) ? Number(text) : Date.parse(text);
    if (Number.isNaN(ms)) {
        throw new UsageError(`not an ISO 8601 time or Unix time in ms: ${text}`);
    }
    return ms;
}
