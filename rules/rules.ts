/**
 * Scheduling rules that operators define: precedence classes, request kinds with their placement
 * policy and idempotency, and quotas per customer.
 *
 * @example
 * ```ts
 * import { getKindRule } from "./rules.ts";
 * const rule = getKindRule(rules, "reel"); // { idempotent: false, placement: "packing", ... }
 * ```
 *
 * @module
 */

import type { CustomerId } from "../inventory/mod.ts";

/** A strategy for the selection of workers. */
export type PlacementPolicy = "latency" | "packing" | "gang" | "spread";

/** All placement policies. */
export const PLACEMENT_POLICIES: readonly PlacementPolicy[] = [
    "latency",
    "packing",
    "gang",
    "spread",
];

/** A class of request kinds that are scheduled and preempted with the same precedence. */
export interface PrecedenceClass {
    readonly name: string;
    /** Requests of higher precedence are placed first and may preempt those of lower precedence. */
    readonly precedence: number;
    /** Whether idempotent tasks of this class may be preempted. */
    readonly preemptible: boolean;
}

/** The rule for one kind of request. */
export interface KindRule {
    readonly name: string;
    readonly className: string;
    readonly placement: PlacementPolicy;
    /**
     * Whether tasks may run more than once. Other tasks run at most once: they are not preempted,
     * and not retried once they may have started.
     */
    readonly idempotent: boolean;
}

/** The maximum number of cores that a customer may hold at a time. */
export interface Quota {
    readonly customer: CustomerId;
    readonly cores: number;
}

/** The rules in force. */
export interface Rules {
    /** Incremented by each applied change; a change names the version that it replaces. */
    readonly version: number;
    readonly classes: ReadonlyMap<string, PrecedenceClass>;
    readonly kinds: ReadonlyMap<string, KindRule>;
    readonly quotas: ReadonlyMap<CustomerId, Quota>;
}

/**
 * Returns the rule for a kind of request.
 *
 * @param rules The rules in force.
 * @param kind The name of the kind.
 * @returns The rule, or `undefined` for an unknown kind.
 */
export function getKindRule(rules: Rules, kind: string): KindRule | undefined {
    return rules.kinds.get(kind);
}

/**
 * Returns the precedence class of a kind.
 *
 * @param rules The rules in force.
 * @param rule The rule of the kind.
 * @returns The class.
 * @throws {Error} When the class is unknown, which the validation of the rules file prevents.
 */
export function getKindClass(rules: Rules, rule: KindRule): PrecedenceClass {
    const precedenceClass = rules.classes.get(rule.className);
    if (precedenceClass === undefined) {
        throw new Error(`kind ${rule.name} names unknown class ${rule.className}`);
    }
    return precedenceClass;
}
