/**
 * Reads test results from TAP lines and weighs them against the list of known failures.
 *
 * @example
 * ```ts
 * import { parseTapLine } from "./test_results.ts";
 * parseTapLine("not ok 3 - log › a test"); // { title: "log › a test", isPassed: false }
 * ```
 *
 * @module
 */

/** One test's outcome. */
export interface TestResult {
    readonly title: string;
    readonly isPassed: boolean;
}

/** One line of the list of known failures. */
export interface KnownFailure {
    /** The test's whole title. */
    readonly title: string;
    /** The whole line, for printing. */
    readonly line: string;
}

/** The outcome of a whole run. */
export interface RunResult {
    readonly passed: number;
    readonly failed: number;
    readonly isSuccessful: boolean;
    readonly notes: readonly string[];
}

/**
 * Parses a TAP line.
 *
 * @param line The line.
 * @returns The result, or `undefined` for any other line and for a file-level entry.
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
 * Parses the list of known failures: the test's title, then ` | ` and what is known of it. Lines
 * that begin with `#` and empty ones are passed over.
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
 * Weighs results against the list.
 *
 * @param results Every test's outcome.
 * @param knownFailures The known failures.
 * @param exitCode The test runner's exit code.
 * @returns Counts, what to print, and whether the run is good. A failure that is not listed, a run
 * without tests, and a runner that failed without a failing test are not.
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
            notes.push(`known red, but did not run: ${known.line}`);
        } else {
            const state = result.isPassed ? "passes again, take its line out" : "still red";
            notes.push(`known red, ${state}: ${known.line}`);
        }
    }
    const listed = new Set(knownFailures.map((known) => known.title));
    const unlisted = failures.filter((failure) => !listed.has(failure.title));
    unlisted.forEach((failure) => notes.push(`failed: ${failure.title}`));
    const hasRunnerFailed = exitCode !== 0 && failures.length === 0;
    if (hasRunnerFailed) {
        notes.push(`the test runner ended with code ${exitCode}`);
    }
    return {
        passed: results.length - failures.length,
        failed: failures.length,
        isSuccessful: results.length > 0 && unlisted.length === 0 && !hasRunnerFailed,
        notes,
    };
}
