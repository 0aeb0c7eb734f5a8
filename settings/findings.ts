/**
 * Findings: problems found in an input, each with its place, collected and reported together.
 *
 * @example
 * ```ts
 * import { FindingsError, formatFindings } from "./findings.ts";
 * try { load(); } catch (error) {
 *     if (error instanceof FindingsError) console.error(formatFindings(error.findings));
 * }
 * ```
 *
 * @module
 */

/** One problem in one place of a file. */
export interface Finding {
    /** Path of the file, as given by the caller. */
    readonly file: string;
    /** Line, counted from 1; 0 where the place is the whole file. */
    readonly line: number;
    /** Column, counted from 1; 0 where unknown. */
    readonly column: number;
    /** Where inside the data, such as `instances[3].cores`. */
    readonly path: string;
    /** What is wrong, in a sentence. */
    readonly message: string;
}

/** Thrown when an input has one or more findings; nothing from the input was taken. */
export class FindingsError extends Error {
    /** Every finding, in file order. */
    readonly findings: readonly Finding[];

    /**
     * @param findings The findings, at least one.
     */
    constructor(findings: readonly Finding[]) {
        super(formatFindings(findings));
        this.name = "FindingsError";
        this.findings = findings;
    }
}

/**
 * Formats findings as `file:line:column: path: message`, one a line, sorted by place.
 *
 * @param findings The findings.
 * @returns The text, one finding a line.
 */
export function formatFindings(findings: readonly Finding[]): string {
    return [...findings]
        .sort((a, b) => a.file.localeCompare(b.file) || a.line - b.line || a.column - b.column)
        .map(
            (f) =>
                `${f.file}:${f.line}:${f.column}: ${f.path === "" ? "" : `${f.path}: `}${f.message}`,
        )
        .join("\n");
}
