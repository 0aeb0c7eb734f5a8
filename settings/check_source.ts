/**
 * Checks a YAML source against a zod schema and further rules, collecting every finding.
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

/** Reports one finding at a path of the data. */
export type ReportFinding = (path: readonly (string | number)[], message: string) => void;

/**
 * Checks the source: syntax, then the schema, then `checkMore` on the typed value.
 * Every finding of the stage that failed is reported at once; nothing is returned then.
 *
 * @param source The parsed file.
 * @param schema The zod schema of the file.
 * @param checkSemantics Rules the schema cannot say (references, duplicates).
 * @returns The typed value.
 * @throws {FindingsError} With every finding, when there is at least one.
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
 * Reports every id that appears more than once in a list.
 *
 * @param items The list.
 * @param getKey Gives an item's id.
 * @param basePath The list's path in the data.
 * @param report Where findings go.
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
            report([...basePath, index], `duplicate id "${key}" (first at index ${first})`);
        } else {
            seen.set(key, index);
        }
    });
}
