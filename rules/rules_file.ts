/**
 * Parses and validates rules files, and converts rules to and from the format of the file.
 *
 * @example
 * ```ts
 * import { loadRulesText } from "./rules_file.ts";
 * const rules = loadRulesText("rules.yaml", text);
 * ```
 *
 * @module
 */

import { z } from "zod";
import { createId, type CustomerId } from "../inventory/mod.ts";
import { PLACEMENT_POLICIES, type PlacementPolicy, type Rules } from "./rules.ts";
import { checkSource, checkUnique, type ReportFinding } from "../settings/check_source.ts";
import { parseYamlSource } from "../settings/yaml_source.ts";

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9_-]*$/, "use lower-case letters, digits, _ -");

/** The schema of a rules file. */
export const rulesSchema = z
    .object({
        version: z.number().int().nonnegative(),
        classes: z
            .array(
                z
                    .object({
                        name: nameSchema,
                        precedence: z.number().int(),
                        preemptible: z.boolean().default(false),
                    })
                    .strict(),
            )
            .min(1),
        kinds: z
            .array(
                z
                    .object({
                        name: nameSchema,
                        class: nameSchema,
                        placement: z.enum(PLACEMENT_POLICIES as [string, ...string[]]),
                        idempotent: z.boolean(),
                    })
                    .strict(),
            )
            .min(1),
        quotas: z
            .array(z.object({ customer: nameSchema, cores: z.number().positive() }).strict())
            .default([]),
    })
    .strict();

/** The contents of a rules file. */
export type RulesFile = z.infer<typeof rulesSchema>;

/**
 * Parses and validates a rules file.
 *
 * @param file The path of the file, which is included in findings.
 * @param text The YAML text.
 * @returns The rules.
 * @throws {FindingsError} With all findings of the stage that failed.
 */
export function loadRulesText(file: string, text: string): Rules {
    return createRules(checkSource(parseYamlSource(file, text), rulesSchema, checkReferences));
}

/**
 * Creates rules from the contents of a rules file.
 *
 * @param file The validated contents.
 * @returns The rules.
 */
export function createRules(file: RulesFile): Rules {
    return {
        version: file.version,
        classes: new Map(file.classes.map((c) => [c.name, c])),
        kinds: new Map(
            file.kinds.map((k) => [
                k.name,
                {
                    name: k.name,
                    className: k.class,
                    placement: k.placement as PlacementPolicy,
                    idempotent: k.idempotent,
                },
            ]),
        ),
        quotas: new Map(
            file.quotas.map((q) => [
                createId<CustomerId>(q.customer),
                { customer: createId<CustomerId>(q.customer), cores: q.cores },
            ]),
        ),
    };
}

/**
 * Creates the contents of a rules file from rules; the inverse of {@link createRules}.
 *
 * @param rules The rules.
 * @returns The contents.
 */
export function createRulesFile(rules: Rules): RulesFile {
    return {
        version: rules.version,
        classes: [...rules.classes.values()].map((c) => ({ ...c })),
        kinds: [...rules.kinds.values()].map((k) => ({
            name: k.name,
            class: k.className,
            placement: k.placement,
            idempotent: k.idempotent,
        })),
        quotas: [...rules.quotas.values()].map((q) => ({ ...q })),
    };
}

/**
 * Lists duplicate names and references to unknown classes in rules that match the schema but were
 * not read from a file, such as the rules of an operator's `rules.set` call.
 *
 * @param file The rules.
 * @returns One line per problem, with its path; empty for valid rules.
 */
export function listRulesProblems(file: RulesFile): string[] {
    const problems: string[] = [];
    checkReferences(file, (path, message) => problems.push(`${path.join(".")}: ${message}`));
    return problems;
}

function checkReferences(file: RulesFile, report: ReportFinding): void {
    checkUnique(file.classes, (c) => c.name, ["classes"], report);
    checkUnique(file.kinds, (k) => k.name, ["kinds"], report);
    checkUnique(file.quotas, (q) => q.customer, ["quotas"], report);
    const classes = new Set(file.classes.map((c) => c.name));
    file.kinds.forEach((kind, k) => {
        if (!classes.has(kind.class)) {
            report(["kinds", k, "class"], `unknown class "${kind.class}"`);
        }
    });
}
