/**
 * Validation findings with their positions in the input, collected and reported together.
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

/** A problem at one position of an input file. */
export interface Finding {
    /** Path of the file, as the caller gave it. */
    readonly file: string;
    /** Line, counted from 1; 0 when the finding concerns the whole file. */
    readonly line: number;
    /** Column, counted from 1; 0 when unknown. */
    readonly column: number;
    /** Path in the data, such as `instances[3].cores`. */
    readonly path: string;
    /** Description of the problem. */
    readonly message: string;
}

/** Thrown when an input has findings; no part of the input is applied. */
export class FindingsError extends Error {
    /** All findings, in the order of their detection. */
    readonly findings: readonly Finding[];

    /**
     * @param findings One or more findings.
     */
    constructor(findings: readonly Finding[]) {
        super(formatFindings(findings));
        this.name = "FindingsError";
        this.findings = findings;
    }
}

/**
 * Formats findings as lines of `file:line:column: path: message`, sorted by position.
 *
 * @param findings The findings to format.
 * @returns The text, with one finding per line.
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
