import test from "ava";
import type { QueueName } from "../configuration/mod.ts";
import type { WorkspaceName } from "../workspace/mod.ts";
import type { Fact } from "./facts.ts";
import { StateStore } from "./state_store.ts";
import { Tombstones, type Tombstone } from "./tombstones.ts";
import type { JobId } from "./types.ts";

const JOB = "00000000000000a1" as JobId;
const OTHER_JOB = "00000000000000a2" as JobId;
const ACME = "acme" as WorkspaceName;
const OTHER = "other" as WorkspaceName;

function buildTombstone(overrides: Partial<Tombstone> = {}): Tombstone {
    return { queue: "previews" as QueueName, workspace: ACME, cancelledAt: 10, ...overrides };
}

function buildFact(job: JobId, workspace?: WorkspaceName): Fact {
    return { type: "tombstoneAdded", job, queue: "previews" as QueueName, workspace };
}

test("a repeated cancellation replaces the first and is kept from then on", (t) => {
    const tombstones = new Tombstones();
    tombstones.add(JOB, buildTombstone());
    tombstones.add(JOB, buildTombstone({ cancelledAt: 20 }));
    t.is(tombstones.size, 1);
    t.false(tombstones.hasBefore(20));
    tombstones.removeBefore(20);
    t.true(tombstones.has(JOB, () => true));
    t.true(tombstones.hasBefore(21));
    tombstones.removeBefore(21);
    t.false(tombstones.has(JOB, () => true));
    t.is(tombstones.size, 0);
});

// Guards against a bound that is never reached again, or reached too early, after some have expired.
test("counts by workspace follow additions and removals", (t) => {
    const tombstones = new Tombstones();
    tombstones.add(JOB, buildTombstone());
    tombstones.add(JOB, buildTombstone({ workspace: OTHER, cancelledAt: 20 }));
    tombstones.add(JOB, buildTombstone({ queue: "reels" as QueueName }));
    tombstones.add(OTHER_JOB, buildTombstone({ workspace: undefined }));
    t.deepEqual(
        [ACME, OTHER, undefined].map((name) => tombstones.count(name)),
        [2, 1, 1],
    );
    tombstones.removeBefore(20);
    t.deepEqual(
        [ACME, OTHER, undefined].map((name) => tombstones.count(name)),
        [0, 1, 0],
    );
    t.is(tombstones.size, 1);
});

// Guards against a restarted or new leader that lacks cancellations.
test("tombstones survive a copy and a snapshot of the state", (t) => {
    const store = new StateStore();
    store.apply({ at: 10, facts: [buildFact(JOB, ACME), buildFact(JOB), buildFact(OTHER_JOB)] });
    const restored = new StateStore();
    restored.restore(store.encode());
    for (const other of [restored, store.copy()]) {
        t.is(other.encode(), store.encode());
        t.is(other.tombstones.count(ACME), 1);
        t.is(other.tombstones.count(undefined), 2);
        t.true(other.tombstones.has(JOB, ({ workspace }) => workspace === ACME));
        other.apply({ at: 20, facts: [{ type: "jobsForgotten", before: 11 }] });
        t.is(other.tombstones.size, 0);
    }
    t.is(store.tombstones.size, 3);
});

test("a snapshot of an earlier release has no tombstones", (t) => {
    const store = new StateStore();
    store.apply({ at: 10, facts: [buildFact(JOB)] });
    const { tombstones, ...earlier } = JSON.parse(store.encode()) as Record<string, unknown>;
    t.truthy(tombstones);
    store.restore(JSON.stringify(earlier));
    t.is(store.tombstones.size, 0);
});
