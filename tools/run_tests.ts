/**
 * Runs all tests and prints the counts of passed and failed ones. Failures that `KNOWN-RED.txt`
 * lists do not fail the run; a listed test that passes is reported.
 *
 * @example
 * ```sh
 * node --import=tsx tools/run_tests.ts
 * ```
 *
 * @module
 */

import { spawn } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";
import { createInterface } from "node:readline";
import { checkResults, parseKnownFailures, parseTapLine, type TestResult } from "./test_results.ts";

const KNOWN_FAILURES_FILE = "KNOWN-RED.txt";
const knownFailures = existsSync(KNOWN_FAILURES_FILE)
    ? parseKnownFailures(readFileSync(KNOWN_FAILURES_FILE, "utf8"))
    : [];
const results: TestResult[] = [];
const child = spawn("npx", ["ava", "--tap", ...process.argv.slice(2)], {
    stdio: ["ignore", "pipe", "inherit"],
});
for await (const line of createInterface({ input: child.stdout })) {
    const result = parseTapLine(line);
    if (result === undefined) {
        process.stdout.write(`${line}\n`);
    } else {
        results.push(result);
        process.stdout.write(`${result.isPassed ? "passed" : "FAILED"}: ${result.title}\n`);
    }
}
const exitCode = await new Promise<number>((resolve) => {
    if (child.exitCode === null) {
        child.once("close", (code) => resolve(code ?? 1));
    } else {
        resolve(child.exitCode);
    }
});
const runResult = checkResults(results, knownFailures, exitCode);
runResult.notes.forEach((note) => process.stdout.write(`${note}\n`));
process.stdout.write(`${runResult.passed} passed, ${runResult.failed} failed\n`);
process.exitCode = runResult.isSuccessful ? 0 : 1;
