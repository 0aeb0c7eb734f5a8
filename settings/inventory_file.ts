/**
 * The inventory file: the zones, services, racks, instances and executors of a cell. Operators
 * export it from their asset register.
 *
 * @example
 * ```ts
 * import { loadInventoryText } from "./inventory_file.ts";
 * const inventory = loadInventoryText("inventory.yaml", text);
 * ```
 *
 * @module
 */

import { z } from "zod";
import {
    createId,
    type ExecutorId,
    type Instance,
    type InstanceId,
    type Inventory,
    type RackId,
    type ServiceId,
    type ZoneId,
} from "../inventory/mod.ts";
import { checkSource, checkUnique, type ReportFinding } from "./check_source.ts";
import { parseYamlSource } from "./yaml_source.ts";

const nameSchema = z
    .string()
    .regex(
        /^[a-z0-9][a-z0-9_.-]*$/,
        "must start with a lower-case letter or digit and contain only those and '.', '_' or '-'",
    );

const instanceSchema = z
    .object({
        id: nameSchema,
        cores: z.number().positive(),
        memoryMb: z.number().int().positive(),
        accelerators: z.number().int().nonnegative().default(0),
    })
    .strict();

/** Schema of the inventory file. */
export const inventorySchema = z
    .object({
        cell: nameSchema,
        zones: z.array(nameSchema).min(1),
        services: z
            .array(z.object({ id: nameSchema, zones: z.array(nameSchema).min(1) }).strict())
            .min(1),
        racks: z
            .array(
                z
                    .object({
                        id: nameSchema,
                        zone: nameSchema,
                        instances: z.array(instanceSchema).min(1),
                    })
                    .strict(),
            )
            .min(1),
        executors: z.array(
            z
                .object({
                    service: nameSchema,
                    instance: nameSchema,
                    slots: z.number().int().positive(),
                    connections: z.number().int().nonnegative(),
                })
                .strict(),
        ),
    })
    .strict();

/** Contents of an inventory file that match the schema. */
export type InventoryFile = z.infer<typeof inventorySchema>;

/**
 * Parses and validates an inventory file.
 *
 * @param file The path of the file, used in findings.
 * @param text The YAML text.
 * @returns The inventory.
 * @throws {FindingsError} With all findings of the first stage that fails; see `checkSource`.
 */
export function loadInventoryText(file: string, text: string): Inventory {
    const value = checkSource(parseYamlSource(file, text), inventorySchema, checkReferences);
    return createInventory(value);
}

function checkReferences(value: InventoryFile, report: ReportFinding): void {
    const zones = new Set(value.zones);
    checkUnique(value.zones, (zone) => zone, ["zones"], report);
    checkUnique(value.services, (service) => service.id, ["services"], report);
    checkUnique(value.racks, (rack) => rack.id, ["racks"], report);
    const instanceIds = new Set<string>();
    value.racks.forEach((rack, rackIndex) => {
        if (!zones.has(rack.zone)) {
            report(["racks", rackIndex, "zone"], `unknown availability zone "${rack.zone}"`);
        }
        rack.instances.forEach((instance, instanceIndex) => {
            if (instanceIds.has(instance.id)) {
                report(
                    ["racks", rackIndex, "instances", instanceIndex, "id"],
                    `duplicate instance "${instance.id}"`,
                );
            }
            instanceIds.add(instance.id);
        });
    });
    value.services.forEach((service, serviceIndex) => {
        service.zones.forEach((zone, zoneIndex) => {
            if (!zones.has(zone)) {
                report(
                    ["services", serviceIndex, "zones", zoneIndex],
                    `unknown availability zone "${zone}"`,
                );
            }
        });
    });
    const services = new Set(value.services.map((s) => s.id));
    const pairs = new Set<string>();
    value.executors.forEach((executor, executorIndex) => {
        if (!services.has(executor.service)) {
            report(
                ["executors", executorIndex, "service"],
                `unknown service "${executor.service}"`,
            );
        }
        if (!instanceIds.has(executor.instance)) {
            report(
                ["executors", executorIndex, "instance"],
                `unknown instance "${executor.instance}"`,
            );
        }
        const pair = `${executor.service}@${executor.instance}`;
        if (pairs.has(pair)) {
            report(
                ["executors", executorIndex],
                `duplicate executor of service "${executor.service}" on instance "${executor.instance}"`,
            );
        }
        pairs.add(pair);
    });
}

function createInventory(value: InventoryFile): Inventory {
    const instances: Instance[] = value.racks.flatMap((rack) =>
        rack.instances.map((instance) => ({
            id: createId<InstanceId>(instance.id),
            rack: createId<RackId>(rack.id),
            zone: createId<ZoneId>(rack.zone),
            capacity: {
                cores: instance.cores,
                memoryMb: instance.memoryMb,
                accelerators: instance.accelerators,
            },
        })),
    );
    return {
        cell: value.cell,
        zones: value.zones.map((zone) => createId<ZoneId>(zone)),
        instances,
        services: value.services.map((service) => ({
            id: createId<ServiceId>(service.id),
            zones: service.zones.map((zone) => createId<ZoneId>(zone)),
        })),
        executors: value.executors.map((executor) => ({
            id: createId<ExecutorId>(`${executor.service}@${executor.instance}`),
            service: createId<ServiceId>(executor.service),
            instance: createId<InstanceId>(executor.instance),
            slots: executor.slots,
            connections: executor.connections,
        })),
    };
}
