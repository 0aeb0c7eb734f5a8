import test from "ava";
import { EntryLog } from "./entry_log.ts";
import type { LogEntry, MemberId } from "./types.ts";

const THREE_VOTERS = ["a", "b", "c"] as MemberId[];
const TWO_VOTERS = ["a", "b"] as MemberId[];

function buildEntry(index: number, term: number): LogEntry {
    return { index, term, type: "noop" };
}

function buildLog(): EntryLog {
    const entries: LogEntry[] = [
        buildEntry(11, 2),
        { index: 12, term: 3, type: "voters", voters: TWO_VOTERS },
        buildEntry(13, 3),
    ];
    return new EntryLog({ index: 10, term: 2, voters: THREE_VOTERS, entries });
}

test("getTermAt() returns the terms of the base and the kept entries only", (t) => {
    const log = buildLog();
    t.deepEqual(
        [9, 10, 11, 13, 14].map((index) => log.getTermAt(index)),
        [undefined, 2, 2, 3, undefined],
    );
});

test("findVotersAt() returns the voters set by the latest entry up to the index", (t) => {
    const log = buildLog();
    t.deepEqual(log.findVotersAt(11), { voters: THREE_VOTERS, index: 10 });
    t.deepEqual(log.findVotersAt(13), { voters: TWO_VOTERS, index: 12 });
});

test("listBetween() returns the kept entries in a range of indexes", (t) => {
    const log = buildLog();
    t.deepEqual(
        log.listBetween(11, 13).map((entry) => entry.index),
        [12, 13],
    );
    t.deepEqual(log.listBetween(3, 11), [buildEntry(11, 2)]);
    t.deepEqual(log.listBetween(13, 13), []);
});

test("removeFrom() reverts the voters that a removed entry set", (t) => {
    // Members that still counted a removed configuration could elect two leaders.
    const log = buildLog();
    log.removeFrom(12);
    t.is(log.lastIndex, 11);
    t.deepEqual(log.findVotersAt(log.lastIndex), { voters: THREE_VOTERS, index: 10 });
});

test("compact() keeps the term and the voters of the new base", (t) => {
    const log = buildLog();
    log.compact(12);
    t.deepEqual([log.baseIndex, log.lastIndex, log.getTermAt(12)], [12, 13, 3]);
    t.deepEqual(log.findVotersAt(13), { voters: TWO_VOTERS, index: 12 });
    log.compact(5);
    t.is(log.baseIndex, 12);
    log.replace({ index: 40, term: 9, voters: THREE_VOTERS });
    t.deepEqual([log.baseIndex, log.lastIndex, log.getTermAt(40)], [40, 40, 9]);
});
