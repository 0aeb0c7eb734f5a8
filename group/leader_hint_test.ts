import test from "ava";
import type { EntryId } from "../membership/mod.ts";
import { LeaderHint } from "./leader_hint.ts";

const OLD = "10.0.0.1:7720" as EntryId;
const NEW = "10.0.0.2:7720" as EntryId;

test("the hint with the higher term wins, in either order", (t) => {
    // Guards against a replaced leader that hides its successor.
    const hint = new LeaderHint();
    t.true(hint.record(OLD, 1, 0));
    t.true(hint.record(NEW, 2, 10));
    t.is(hint.find(10), NEW);
    t.false(hint.record(OLD, 1, 20));
    t.is(hint.find(20), NEW);
});

test("a hint that is not repeated expires, and then a lower term is accepted", (t) => {
    // Guards against following a leader that is gone for good.
    const hint = new LeaderHint();
    hint.record(OLD, 9, 0);
    t.is(hint.find(3_001), undefined);
    t.true(hint.record(NEW, 1, 3_001));
    t.is(hint.find(3_001), NEW);
});
