/**
 * YAML text parsed with the place of every node, so that findings can name a line.
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

/** A parsed YAML file that knows where each of its values stands. */
export class YamlSource {
    /** The file's path, as given. */
    readonly file: string;
    /** The plain data, or `undefined` when the text did not parse. */
    readonly data: unknown;
    /** Syntax findings; when any exist, `data` is not to be used. */
    readonly syntaxFindings: readonly Finding[];
    readonly #document: Document;
    readonly #lineCounter: LineCounter;

    /**
     * @param file The file's path, used in findings.
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
     * Creates a finding at the node of `path`, or at the nearest parent that exists.
     *
     * @param path Keys and indexes from the root, as zod reports them.
     * @param message What is wrong.
     * @returns The finding with file, line and column.
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
 * Parses YAML text, keeping places.
 *
 * @param file The file's path, used in findings.
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
