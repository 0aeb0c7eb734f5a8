import test from "ava";
import { checkResults, parseKnownFailures, parseTapLine } from "./test_results.ts";

test("parses titles and outcomes from TAP lines", (t) => {
    t.deepEqual(parseTapLine("ok 1 - log › one"), { title: "log › one", isPassed: true });
    t.deepEqual(parseTapLine("not ok 2 - two # TODO"), { title: "two", isPassed: false });
    t.is(parseTapLine("# comment"), undefined);
});

test("a run succeeds with listed failures, but not with unlisted ones, without tests or if the runner fails", (t) => {
    const known = parseKnownFailures("# note\n\ntwo | npx ava x, seed 3: seen twice | issue 9\n");
    const failure = { title: "two", isPassed: false };
    t.true(checkResults([failure, { title: "one", isPassed: true }], known, 1).isSuccessful);
    t.false(checkResults([{ title: "one", isPassed: false }], known, 1).isSuccessful);
    t.false(checkResults([], [], 0).isSuccessful);
    t.false(checkResults([{ title: "one", isPassed: true }], [], 1).isSuccessful);
});

test("a listed test that passes again is reported", (t) => {
    const known = parseKnownFailures("two | cause | issue 9");
    const runResult = checkResults([{ title: "two", isPassed: true }], known, 0);
    t.true(runResult.isSuccessful);
    t.regex(runResult.notes[0] ?? "", /passes again/);
});
