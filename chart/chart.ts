/**
 * State charts kept in YAML data files and interpreted here: a request's life and a lease's
 * life are data that a reviewer reads in one place, and the code can only move along their edges.
 *
 * @example
 * ```ts
 * import { loadChart, applyChartEvent } from "./chart.ts";
 * const chart = loadChart(new URL("./request_chart.yaml", import.meta.url));
 * const next = applyChartEvent(chart, "queued", "grant", new Set());
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
    /** `from` and `event` to the edges leaving with that event, in file order. */
    readonly transitions: ReadonlyMap<string, readonly ChartTransition[]>;
}

/** One edge of a chart. */
export interface ChartTransition {
    readonly to: string;
    /** A guard the caller must hold for the edge to be taken. */
    readonly guard: string | undefined;
}

/** Thrown when an event has no edge from the current state: a bug or a message out of order. */
export class ChartError extends Error {
    /**
     * @param chart The chart's name.
     * @param state The current state.
     * @param event The event that has no edge.
     */
    constructor(chart: string, state: string, event: string) {
        super(`${chart}: no edge for event "${event}" from state "${state}"`);
        this.name = "ChartError";
    }
}

/**
 * Loads and checks a chart file.
 *
 * @param url The YAML file.
 * @returns The chart.
 * @throws {Error} When the file does not match the chart schema or names unknown states.
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
 * Finds the state that `event` leads to from `state`.
 *
 * @param chart The chart.
 * @param state The current state.
 * @param event The event.
 * @param guards The guards that hold now; the first edge whose guard holds (or has none) wins.
 * @returns The next state.
 * @throws {ChartError} When no edge fits.
 */
export function getNextState(
    chart: StateChart,
    state: string,
    event: string,
    guards: ReadonlySet<string>,
): string {
    const transitions = chart.transitions.get(`${state}\u0000${event}`) ?? [];
    const transition = transitions.find((e) => e.guard === undefined || guards.has(e.guard));
    if (transition === undefined) {
        throw new ChartError(chart.name, state, event);
    }
    return transition.to;
}

/**
 * Tells whether an event has an edge from a state.
 *
 * @param chart The chart.
 * @param state The current state.
 * @param event The event.
 * @returns True when at least one edge leaves `state` on `event`.
 */
export function hasTransition(chart: StateChart, state: string, event: string): boolean {
    return chart.transitions.has(`${state}\u0000${event}`);
}
