import test from "ava";
import { checkResults, parseKnownRed, parseTapLine } from "./test_results.ts";

test("TAP lines give titles and outcomes", (t) => {
    t.deepEqual(parseTapLine("ok 1 - log › one"), { title: "log › one", isPassed: true });
    t.deepEqual(parseTapLine("not ok 2 - two # TODO"), { title: "two", isPassed: false });
    t.is(parseTapLine("# comment"), undefined);
});

test("a listed failure passes, an unlisted one and a run without tests do not", (t) => {
    const known = parseKnownRed("# note\n\ntwo | npx ava x, seed 3: seen twice | issue 9\n");
    const red = { title: "two", isPassed: false };
    t.true(checkResults([red, { title: "one", isPassed: true }], known, 1).isGood);
    t.false(checkResults([{ title: "one", isPassed: false }], known, 1).isGood);
    t.false(checkResults([], [], 0).isGood);
    t.false(checkResults([{ title: "one", isPassed: true }], [], 1).isGood);
});

test("a listed test that passes again is reported", (t) => {
    const known = parseKnownRed("two | cause | issue 9");
    const verdict = checkResults([{ title: "two", isPassed: true }], known, 0);
    t.true(verdict.isGood);
    t.regex(verdict.notes[0] ?? "", /passes again/);
});
