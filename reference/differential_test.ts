import test from "ava";
import fc from "fast-check";
import {
    buildCell,
    buildInventoryFixture,
    buildRulesFixture,
    buildSpec,
} from "../cell/_fixtures.ts";
import { listInvariantViolations } from "../cell/_invariants.ts";
import type { Effect } from "../cell/mod.ts";
import type { LeaseId } from "../inventory/mod.ts";
import { ReferenceScheduler } from "./reference_scheduler.ts";

const KINDS = ["preview", "batch", "reel", "hero", "gang", "service", "unknown"] as const;

const operationArbitrary = fc.oneof(
    fc.record({
        op: fc.constant("submit" as const),
        kind: fc.constantFrom(...KINDS),
        cores: fc.integer({ min: 1, max: 20 }),
        count: fc.integer({ min: 1, max: 4 }),
    }),
    fc.record({
        op: fc.constantFrom(
            "tick" as const,
            "start" as const,
            "complete" as const,
            "fail" as const,
            "decline" as const,
            "silence" as const,
            "cancel" as const,
        ),
        pick: fc.nat(),
    }),
);

test("the cell maintains its invariants under random requests and worker faults", (t) => {
    // Guards against overcommitment, duplicate live leases, second starts of at-most-once tasks,
    // false "did not run" results, and live leases of requests in a final state.
    fc.assert(
        fc.property(fc.array(operationArbitrary, { minLength: 5, maxLength: 80 }), (ops) => {
            const cell = buildCell({ workers: 3, leaseTtlMs: 100, leaseGraceMs: 50 });
            const started = new Set<LeaseId>();
            const grants: Extract<Effect, { type: "grant" }>[] = [];
            let nowMs = 0;
            for (const op of ops) {
                nowMs += 10;
                const liveGrants = grants.filter((g) =>
                    cell.listLiveLeases().some((l) => l.id === g.lease.lease),
                );
                const grant =
                    "pick" in op ? liveGrants[op.pick % Math.max(1, liveGrants.length)] : undefined;
                if (op.op === "submit") {
                    cell.submit(
                        buildSpec({
                            kind: op.kind,
                            demand: { cores: op.cores, memoryMb: 1_024, accelerators: 0 },
                            count: op.kind === "gang" || op.kind === "service" ? op.count : 1,
                        }),
                        nowMs,
                    );
                } else if (op.op === "tick") {
                    cell.tick(nowMs);
                } else if (op.op === "silence") {
                    nowMs += 200;
                    cell.tick(nowMs);
                } else if (op.op === "cancel") {
                    const ids = cell.listRequestIds();
                    const id = ids[op.pick % Math.max(1, ids.length)];
                    if (id !== undefined) {
                        cell.cancel(id, nowMs);
                    }
                } else if (grant !== undefined) {
                    const { lease, epoch } = grant.lease;
                    if (op.op === "decline") {
                        if (!started.has(lease)) {
                            cell.handleGrantReply(lease, false, "full", nowMs);
                        }
                    } else if (op.op === "start") {
                        started.add(lease);
                        cell.handleReport(lease, epoch, "started", "", nowMs);
                    } else if (started.has(lease)) {
                        cell.handleReport(
                            lease,
                            epoch,
                            op.op === "complete" ? "completed" : "failed",
                            "",
                            nowMs,
                        );
                    }
                }
                for (const effect of cell.takeEffects()) {
                    if (effect.type === "grant") {
                        grants.push(effect);
                    }
                }
                const violations = listInvariantViolations(cell, started);
                if (violations.length > 0) {
                    t.log(violations);
                    return false;
                }
            }
            return true;
        }),
        { numRuns: 200, seed: 42 },
    );
    t.pass();
});

test("the cell refuses the same requests as the reference scheduler and does not overcommit", (t) => {
    // Requests are refused when no rule names their kind or when they fit on no instance.
    fc.assert(
        fc.property(
            fc.array(
                fc.record({
                    kind: fc.constantFrom(...KINDS),
                    cores: fc.integer({ min: 1, max: 24 }),
                }),
                { minLength: 1, maxLength: 60 },
            ),
            (items) => {
                const inventory = buildInventoryFixture({ workers: 3 });
                const rules = buildRulesFixture();
                const reference = new ReferenceScheduler(inventory, rules);
                const cell = buildCell({ inventory, rules });
                const specs = items.map((item) =>
                    buildSpec({
                        kind: item.kind,
                        demand: { cores: item.cores, memoryMb: 1_024, accelerators: 0 },
                    }),
                );
                const answers = specs.map((spec, i) => {
                    reference.submit(spec);
                    return cell.submit(spec, i);
                });
                reference.placeAll();
                cell.tick(1_000);
                const cellRefused = new Set(
                    answers.flatMap((a, i) => (a.state === "refused" ? [i] : [])),
                );
                const violations = listInvariantViolations(cell, new Set());
                return (
                    violations.length === 0 &&
                    [...reference.refused].every((i) => cellRefused.has(i)) &&
                    [...cellRefused].every((i) => reference.refused.has(i))
                );
            },
        ),
        { numRuns: 200, seed: 7 },
    );
    t.pass();
});
