/**
 * Parses test results from TAP output and checks them against the list of known failures.
 *
 * @example
 * ```ts
 * import { parseTapLine } from "./test_results.ts";
 * parseTapLine("not ok 3 - log › a test"); // { title: "log › a test", isPassed: false }
 * ```
 *
 * @module
 */

/** Outcome of one test. */
export interface TestResult {
    readonly title: string;
    readonly isPassed: boolean;
}

/** Entry in the list of known failures. */
export interface KnownFailure {
    /** Full title of the test. */
    readonly title: string;
    /** The entry's line as written, for printing. */
    readonly line: string;
}

/** Outcome of a test run. */
export interface RunResult {
    readonly passed: number;
    readonly failed: number;
    readonly isSuccessful: boolean;
    readonly notes: readonly string[];
}

/**
 * Parses a line of TAP output.
 *
 * @param line The line.
 * @returns The test's result, or `undefined` for any other line.
 */
export function parseTapLine(line: string): TestResult | undefined {
    const match = /^(not )?ok \d+ - (.*)$/.exec(line);
    if (match === null) {
        return undefined;
    }
    const title = (match[2] ?? "").replace(/ # .*$/, "");
    return { title, isPassed: match[1] === undefined };
}

/**
 * Parses the list of known failures. Each line has a test's title, ` | ` and a description; empty
 * lines and lines that begin with `#` are skipped.
 *
 * @param text The file's text.
 * @returns The entries.
 */
export function parseKnownFailures(text: string): KnownFailure[] {
    return text
        .split("\n")
        .map((line) => line.trim())
        .filter((line) => line !== "" && !line.startsWith("#"))
        .map((line) => ({ title: (line.split(" | ")[0] ?? "").trim(), line }));
}

/**
 * Checks test results against the list of known failures.
 *
 * @param results The outcome of each test.
 * @param knownFailures The known failures.
 * @param exitCode The test runner's exit code.
 * @returns The outcome of the run. It is not successful if an unlisted test failed, if no test ran,
 * or if the runner failed without a failing test.
 */
export function checkResults(
    results: readonly TestResult[],
    knownFailures: readonly KnownFailure[],
    exitCode: number,
): RunResult {
    const notes: string[] = [];
    const failures = results.filter((result) => !result.isPassed);
    for (const known of knownFailures) {
        const result = results.find((r) => r.title === known.title);
        if (result === undefined) {
            notes.push(`known failure, did not run: ${known.line}`);
        } else {
            const state = result.isPassed ? "passes again, remove its entry" : "still fails";
            notes.push(`known failure, ${state}: ${known.line}`);
        }
    }
    const listed = new Set(knownFailures.map((known) => known.title));
    const unlisted = failures.filter((failure) => !listed.has(failure.title));
    unlisted.forEach((failure) => notes.push(`failed: ${failure.title}`));
    const hasRunnerFailed = exitCode !== 0 && failures.length === 0;
    if (hasRunnerFailed) {
        notes.push(`the test runner exited with code ${exitCode}`);
    }
    return {
        passed: results.length - failures.length,
        failed: failures.length,
        isSuccessful: results.length > 0 && unlisted.length === 0 && !hasRunnerFailed,
        notes,
    };
}
