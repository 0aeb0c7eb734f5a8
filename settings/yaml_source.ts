/**
 * YAML text parsed with source positions, so that findings can name a line and a column.
 *
 * @example
 * ```ts
 * import { parseYamlSource } from "./yaml_source.ts";
 * const source = parseYamlSource("rules.yaml", text);
 * const finding = source.createFinding(["kinds", 2, "class"], "unknown class");
 * ```
 *
 * @module
 */

import { isNode, LineCounter, parseDocument, type Document } from "yaml";
import type { Finding } from "./findings.ts";

/** A parsed YAML file with the source position of each node. */
export class YamlSource {
    /** Path of the file, as given. */
    readonly file: string;
    /** The parsed value, or `undefined` after a syntax error. */
    readonly data: unknown;
    /** Syntax errors; `data` is valid only when there are none. */
    readonly syntaxFindings: readonly Finding[];
    readonly #document: Document;
    readonly #lineCounter: LineCounter;

    /**
     * @param file The path of the file, used in findings.
     * @param text The YAML text.
     */
    constructor(file: string, text: string) {
        this.file = file;
        this.#lineCounter = new LineCounter();
        this.#document = parseDocument(text, {
            lineCounter: this.#lineCounter,
            prettyErrors: false,
        });
        this.syntaxFindings = this.#document.errors.map((error) => {
            const position = this.#lineCounter.linePos(error.pos[0]);
            return {
                file,
                line: position.line,
                column: position.col,
                path: "",
                message: error.message.split("\n")[0] ?? error.code,
            };
        });
        this.data = this.syntaxFindings.length === 0 ? this.#document.toJS() : undefined;
    }

    /**
     * Creates a finding at the node at `path`, or at its nearest existing ancestor.
     *
     * @param path Keys and indexes from the root, as zod reports them.
     * @param message Description of the problem.
     * @returns The finding, with its file, line and column.
     */
    createFinding(path: readonly (string | number)[], message: string): Finding {
        let line = 0;
        let column = 0;
        for (let depth = path.length; depth >= 0; depth--) {
            const node = this.#document.getIn(path.slice(0, depth), true);
            if (isNode(node) && node.range !== undefined && node.range !== null) {
                const position = this.#lineCounter.linePos(node.range[0]);
                line = position.line;
                column = position.col;
                break;
            }
        }
        return { file: this.file, line, column, path: formatPath(path), message };
    }
}

/**
 * Parses YAML text and keeps the source positions.
 *
 * @param file The path of the file, used in findings.
 * @param text The YAML text.
 * @returns The source; check `syntaxFindings` before using `data`.
 */
export function parseYamlSource(file: string, text: string): YamlSource {
    return new YamlSource(file, text);
}

function formatPath(path: readonly (string | number)[]): string {
    return path
        .map((segment, i) =>
            typeof segment === "number" ? `[${segment}]` : i === 0 ? segment : `.${segment}`,
        )
        .join("");
}
