/**
 * Validates a YAML source against a zod schema and additional rules, and collects all findings.
 *
 * @example
 * ```ts
 * import { checkSource } from "./check_source.ts";
 * const value = checkSource(source, schema, (value, report) => { ... });
 * ```
 *
 * @module
 */

import type { z } from "zod";
import { FindingsError, type Finding } from "./findings.ts";
import type { YamlSource } from "./yaml_source.ts";

/** Reports a finding at a path in the data. */
export type ReportFinding = (path: readonly (string | number)[], message: string) => void;

/**
 * Validates a source in three stages: syntax, schema and `checkSemantics`. The first stage that
 * fails throws all of its findings.
 *
 * @param source The parsed file.
 * @param schema The zod schema of the file.
 * @param checkSemantics Checks what the schema can't express, such as references and duplicates.
 * @returns The validated value.
 * @throws {FindingsError} With all findings of the failed stage.
 */
export function checkSource<S extends z.ZodTypeAny>(
    source: YamlSource,
    schema: S,
    checkSemantics: (value: z.infer<S>, report: ReportFinding) => void = () => {},
): z.infer<S> {
    if (source.syntaxFindings.length > 0) {
        throw new FindingsError(source.syntaxFindings);
    }
    const parsed = schema.safeParse(source.data);
    if (!parsed.success) {
        throw new FindingsError(
            parsed.error.issues.map((issue) => source.createFinding(issue.path, issue.message)),
        );
    }
    const findings: Finding[] = [];
    checkSemantics(parsed.data, (path, message) =>
        findings.push(source.createFinding(path, message)),
    );
    if (findings.length > 0) {
        throw new FindingsError(findings);
    }
    return parsed.data;
}

/**
 * Reports every item whose key has appeared earlier in the list.
 *
 * @param items The items to check.
 * @param getKey Returns the key of an item, such as its id.
 * @param basePath The path of the list in the data.
 * @param report Called with each duplicate.
 */
export function checkUnique<T>(
    items: readonly T[],
    getKey: (item: T) => string,
    basePath: readonly (string | number)[],
    report: ReportFinding,
): void {
    const seen = new Map<string, number>();
    items.forEach((item, index) => {
        const key = getKey(item);
        const first = seen.get(key);
        if (first !== undefined) {
            report([...basePath, index], `duplicate "${key}" (first at index ${first})`);
        } else {
            seen.set(key, index);
        }
    });
}
