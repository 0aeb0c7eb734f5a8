/**
 * Parses YAML, with a fast path for text that is JSON.
 *
 * @example
 * ```ts
 * import { parseYaml } from "./parse_yaml.ts";
 * parseYaml("a: 1"); // { a: 1 }
 * parseYaml('{ "a": 1 }'); // { a: 1 }
 * ```
 *
 * @module
 */

import { parse } from "yaml";

/**
 * Parses a YAML document. Text that starts with a brace is first tried as JSON, whose parser is
 * faster.
 *
 * @param text YAML or JSON text.
 * @returns The parsed value.
 * @throws {Error} When the text is neither valid YAML nor JSON.
 */
export function parseYaml(text: string): unknown {
    if (text.trimStart().startsWith("{")) {
        try {
            return JSON.parse(text);
        } catch {
            // Not JSON, but possibly a YAML flow mapping.
        }
    }
    return parse(text);
}
