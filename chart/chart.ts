/**
 * State charts that are defined in YAML files and interpreted at run time. They restrict requests,
 * leases and other objects to the declared transitions.
 *
 * @example
 * ```ts
 * import { loadChart, getNextState } from "./chart.ts";
 * const chart = loadChart(new URL("../request/request_chart.yaml", import.meta.url));
 * const next = getNextState(chart, "queued", "grant", new Set());
 * ```
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { z } from "zod";
import { parseYaml } from "../settings/parse_yaml.ts";

const chartSchema = z
    .object({
        name: z.string(),
        initial: z.string(),
        states: z.record(
            z.string(),
            z.object({ final: z.boolean().default(false), about: z.string() }),
        ),
        transitions: z.array(
            z
                .object({
                    from: z.union([z.string(), z.array(z.string())]),
                    event: z.string(),
                    when: z.string().optional(),
                    to: z.string(),
                })
                .strict(),
        ),
    })
    .strict();

/** A loaded state chart. */
export interface StateChart {
    readonly name: string;
    readonly initial: string;
    readonly finalStates: ReadonlySet<string>;
    /** Transitions by source state and event, joined by a NUL character, in file order. */
    readonly transitions: ReadonlyMap<string, readonly ChartTransition[]>;
}

/** A transition of a state chart. */
export interface ChartTransition {
    readonly to: string;
    /** The guard that must hold for the transition to be taken, if any. */
    readonly guard: string | undefined;
}

/** Thrown when the current state has no transition for an event. */
export class ChartError extends Error {
    /**
     * @param chart The name of the chart.
     * @param state The current state.
     * @param event The event without a transition.
     */
    constructor(chart: string, state: string, event: string) {
        super(`${chart}: no transition for event "${event}" from state "${state}"`);
        this.name = "ChartError";
    }
}

/**
 * Loads and validates a chart file.
 *
 * @param url The URL of the YAML file.
 * @returns The state chart.
 * @throws {Error} When the file doesn't match the schema or a transition names an unknown state.
 */
export function loadChart(url: URL): StateChart {
    const value = chartSchema.parse(parseYaml(readFileSync(url, "utf8")));
    const states = new Set(Object.keys(value.states));
    const transitions = new Map<string, ChartTransition[]>();
    for (const transition of value.transitions) {
        const sources = Array.isArray(transition.from) ? transition.from : [transition.from];
        for (const from of [...sources, transition.to]) {
            if (!states.has(from)) {
                throw new Error(`${value.name}: unknown state "${from}"`);
            }
        }
        for (const from of sources) {
            const key = `${from}\u0000${transition.event}`;
            transitions.set(key, [
                ...(transitions.get(key) ?? []),
                { to: transition.to, guard: transition.when },
            ]);
        }
    }
    const finalStates = new Set(
        Object.entries(value.states)
            .filter(([, state]) => state.final)
            .map(([name]) => name),
    );
    return { name: value.name, initial: value.initial, finalStates, transitions };
}

/**
 * Returns the state that an event leads to: the target of the first transition that has no guard or
 * whose guard holds.
 *
 * @param chart The state chart.
 * @param state The current state.
 * @param event The event to look up.
 * @param guards The guards that currently hold.
 * @returns The next state.
 * @throws {ChartError} When no transition applies.
 */
export function getNextState(
    chart: StateChart,
    state: string,
    event: string,
    guards: ReadonlySet<string>,
): string {
    const transitions = chart.transitions.get(`${state}\u0000${event}`) ?? [];
    const transition = transitions.find(
        (candidate) => candidate.guard === undefined || guards.has(candidate.guard),
    );
    if (transition === undefined) {
        throw new ChartError(chart.name, state, event);
    }
    return transition.to;
}

/**
 * Checks whether a state has a transition for an event, with or without a guard.
 *
 * @param chart The state chart.
 * @param state The current state.
 * @param event The event to look up.
 * @returns True when at least one transition leaves `state` on `event`.
 */
export function hasTransition(chart: StateChart, state: string, event: string): boolean {
    return chart.transitions.has(`${state}\u0000${event}`);
}
