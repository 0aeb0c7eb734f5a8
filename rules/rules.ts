/**
 * Rules that operators put on top of the inventory: precedence classes, the kinds of request
 * with their placement policy and whether they may run twice, and quotas per customer.
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

/** How a kind of work is placed. */
export type PlacementPolicy = "latency" | "packing" | "gang" | "spread";

/** The placement policies, in the order the docs describe them. */
export const PLACEMENT_POLICIES: readonly PlacementPolicy[] = [
    "latency",
    "packing",
    "gang",
    "spread",
];

/** A precedence class. */
export interface PrecedenceClass {
    readonly name: string;
    /** Higher goes first; a higher class may preempt a lower, preemptible one. */
    readonly precedence: number;
    /** Whether its running tasks may be stopped for higher work (idempotent tasks only). */
    readonly preemptible: boolean;
}

/** What the rules say of one kind of request. */
export interface KindRule {
    readonly name: string;
    readonly className: string;
    readonly placement: PlacementPolicy;
    /**
     * False for work that must run at most once (billed batches, tribute reels): it is never
     * retried after it may have started, and never preempted.
     */
    readonly idempotent: boolean;
}

/** A customer's quota: the most it may hold leased at once. */
export interface Quota {
    readonly customer: CustomerId;
    readonly cores: number;
}

/** The rules in force. */
export interface Rules {
    /** Raised by one on every accepted change; a change names the version it replaces. */
    readonly version: number;
    readonly classes: ReadonlyMap<string, PrecedenceClass>;
    readonly kinds: ReadonlyMap<string, KindRule>;
    readonly quotas: ReadonlyMap<CustomerId, Quota>;
}

/**
 * Looks up a kind's rule.
 *
 * @param rules The rules in force.
 * @param kind The request's kind.
 * @returns The rule, or `undefined` for a kind the rules do not name.
 */
export function getKindRule(rules: Rules, kind: string): KindRule | undefined {
    return rules.kinds.get(kind);
}

/**
 * Gives the precedence class of a kind.
 *
 * @param rules The rules in force.
 * @param rule A kind that the rules name.
 * @returns Its class.
 * @throws {Error} When the kind or its class is unknown (the rules file check prevents it).
 */
export function getKindClass(rules: Rules, rule: KindRule): PrecedenceClass {
    const precedenceClass = rules.classes.get(rule.className);
    if (precedenceClass === undefined) {
        throw new Error(`kind ${rule.name} names unknown class ${rule.className}`);
    }
    return precedenceClass;
}
