/**
 * Builders of test and benchmark data: a small inventory, rules, request specs and cells.
 *
 * @example
 * ```ts
 * import { buildCell, buildSpec } from "./_fixtures.ts";
 * const cell = buildCell({ workers: 4 });
 * cell.submit(buildSpec({ kind: "preview" }), 0);
 * ```
 *
 * @module
 */

import {
    createId,
    type CustomerId,
    type InstanceId,
    type Inventory,
    type RackId,
    type ServiceId,
    type ZoneId,
} from "../inventory/mod.ts";
import { createRules } from "../rules/rules_file.ts";
import type { Rules } from "../rules/mod.ts";
import { Cell, type CellOptions } from "./cell.ts";
import type { RequestSpec } from "./types.ts";

/** The only service in the inventory fixture. */
export const FIXTURE_SERVICE = createId<ServiceId>("studio-intake");

/** Options of {@link buildInventoryFixture}. */
export interface InventoryFixtureOptions {
    readonly workers?: number;
    readonly cores?: number;
    readonly memoryMb?: number;
    readonly slots?: number;
    readonly zones?: number;
    readonly workersPerRack?: number;
}

/**
 * Builds an inventory of equal workers spread over availability zones and racks.
 *
 * @param options Sizes; defaults to 4 workers with 16 cores, 32 GiB and 8 slots each, in 3 zones
 * with up to 8 workers a rack.
 * @returns The inventory.
 */
export function buildInventoryFixture(options: InventoryFixtureOptions = {}): Inventory {
    const {
        workers = 4,
        cores = 16,
        memoryMb = 32_768,
        slots = 8,
        zones = 3,
        workersPerRack = 8,
    } = options;
    const zoneIds = Array.from({ length: zones }, (_, i) => createId<ZoneId>(`zone-${i + 1}`));
    const instances = Array.from({ length: workers }, (_, i) => {
        const zone = zoneIds[i % zones] as ZoneId;
        const indexInZone = Math.floor(i / zones);
        return {
            id: createId<InstanceId>(`w${i + 1}`),
            zone,
            rack: createId<RackId>(`${zone}-r${Math.floor(indexInZone / workersPerRack) + 1}`),
            capacity: { cores, memoryMb, accelerators: 0 },
        };
    });
    return {
        cell: "fixture",
        zones: zoneIds,
        instances,
        services: [{ id: FIXTURE_SERVICE, zones: zoneIds }],
        executors: instances.map((instance) => ({
            id: createId(`${FIXTURE_SERVICE}@${instance.id}`),
            service: FIXTURE_SERVICE,
            instance: instance.id,
            slots,
            connections: 60,
        })),
    };
}

/**
 * Builds rules with the kinds preview (latency), batch and reel (packing, at most once), hero
 * (packing, preemptible), gang (gang, preemptible) and service (spread).
 *
 * @param quotaCores The quota of customer `acme` in cores; no quota if omitted.
 * @returns The rules.
 */
export function buildRulesFixture(quotaCores?: number): Rules {
    return createRules({
        version: 1,
        classes: [
            { name: "interactive", precedence: 100, preemptible: false },
            { name: "service", precedence: 80, preemptible: false },
            { name: "deferred", precedence: 50, preemptible: false },
            { name: "overnight", precedence: 10, preemptible: true },
        ],
        kinds: [
            { name: "preview", class: "interactive", placement: "latency", idempotent: true },
            { name: "batch", class: "deferred", placement: "packing", idempotent: false },
            { name: "reel", class: "deferred", placement: "packing", idempotent: false },
            { name: "hero", class: "overnight", placement: "packing", idempotent: true },
            { name: "gang", class: "overnight", placement: "gang", idempotent: true },
            { name: "service", class: "service", placement: "spread", idempotent: true },
        ],
        quotas: quotaCores === undefined ? [] : [{ customer: "acme", cores: quotaCores }],
    });
}

let keySeq = 0;

/**
 * Builds a request spec with a new idempotency key unless one is given.
 *
 * @param overrides The fields to override.
 * @returns The spec.
 */
export function buildSpec(overrides: Partial<RequestSpec> = {}): RequestSpec {
    keySeq += 1;
    return {
        caller: "console-1",
        key: `k${keySeq}`,
        kind: "preview",
        service: FIXTURE_SERVICE,
        customer: createId<CustomerId>("acme"),
        demand: { cores: 2, memoryMb: 2_048, accelerators: 0 },
        count: 1,
        declaredRunMs: 1_000,
        maxWaitMs: 0,
        work: { runMs: 1_000, usageFactor: 1, fail: false },
        ...overrides,
    };
}

/**
 * Builds a cell whose workers are all announced at time 0.
 *
 * @param options Inventory sizes and cell options.
 * @returns The cell.
 */
export function buildCell(
    options: InventoryFixtureOptions & Partial<CellOptions> & { quotaCores?: number } = {},
): Cell {
    const inventory = options.inventory ?? buildInventoryFixture(options);
    const cell = new Cell({
        ...options,
        inventory,
        rules: options.rules ?? buildRulesFixture(options.quotaCores),
    });
    for (const instance of inventory.instances) {
        cell.announceWorker(instance.id, `addr-${instance.id}`, 0);
    }
    return cell;
}
