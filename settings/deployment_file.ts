/**
 * The deployment file: the entry instances of a cell with their zones, addresses and disks, and
 * optionally the groups that own zones and the home zones of callers.
 *
 * @example
 * ```ts
 * import { loadDeploymentText } from "./deployment_file.ts";
 * const deployment = loadDeploymentText("deployment.yaml", text);
 * ```
 *
 * @module
 */

import { z } from "zod";
import type { ZoneId } from "../inventory/mod.ts";
import type { Deployment, EntryId, GroupSpec } from "../membership/mod.ts";
import { checkSource, checkUnique, type ReportFinding } from "./check_source.ts";
import { parseYamlSource } from "./yaml_source.ts";

const nameSchema = z
    .string()
    .regex(
        /^[a-z0-9][a-z0-9_.-]*$/,
        "must start with a lower-case letter or digit and contain only those and '.', '_' or '-'",
    );
const addressSchema = z.string().regex(/^[^\s:]+:\d+$/, "must have the form host:port");

/** Schema of the deployment file. */
export const deploymentSchema = z
    .object({
        members: z
            .array(
                z
                    .object({
                        id: nameSchema,
                        zone: nameSchema,
                        address: addressSchema,
                        disk: z.boolean().default(true),
                    })
                    .strict(),
            )
            .min(1),
        groups: z
            .array(
                z
                    .object({
                        id: nameSchema,
                        zones: z.array(nameSchema).min(1),
                        voters: z.array(nameSchema).min(1).optional(),
                    })
                    .strict(),
            )
            .default([]),
        callers: z
            .array(z.object({ caller: z.string().min(1), zone: nameSchema }).strict())
            .default([]),
        heartbeatMs: z.number().int().min(20).default(250),
        electionMs: z.number().int().min(100).default(1_000),
    })
    .strict();

/**
 * Parses and validates a deployment file.
 *
 * @param file The path of the file, used in findings.
 * @param text The YAML text.
 * @returns The deployment.
 * @throws {FindingsError} With all findings of the first stage that fails; see `checkSource`.
 */
export function loadDeploymentText(file: string, text: string): Deployment {
    const value = checkSource(parseYamlSource(file, text), deploymentSchema, checkDeployment);
    return {
        members: value.members.map((m) => ({
            id: m.id as EntryId,
            zone: m.zone as ZoneId,
            address: m.address,
            hasDisk: m.disk,
        })),
        groups: value.groups as unknown as GroupSpec[],
        callers: new Map(value.callers.map((c) => [c.caller, c.zone as ZoneId])),
        timings: { heartbeatMs: value.heartbeatMs, electionMs: value.electionMs },
    };
}

function checkDeployment(value: z.infer<typeof deploymentSchema>, report: ReportFinding): void {
    checkUnique(value.members, (m) => m.id, ["members"], report);
    checkUnique(value.members, (m) => m.address, ["members"], report);
    checkUnique(value.groups, (group) => group.id, ["groups"], report);
    checkUnique(value.callers, (c) => c.caller, ["callers"], report);
    if (!value.members.some((m) => m.disk)) {
        report(["members"], "no member has a disk; accepted requests would be lost on a restart");
    }
    if (value.electionMs < 3 * value.heartbeatMs) {
        report(["electionMs"], `must be at least 3 times heartbeatMs (${value.heartbeatMs})`);
    }
    const members = new Map(value.members.map((m) => [m.id, m]));
    const zoneOwners = new Map<string, string>();
    value.groups.forEach((group, groupIndex) => {
        group.zones.forEach((zone, zoneIndex) => {
            const owner = zoneOwners.get(zone);
            if (owner !== undefined) {
                report(
                    ["groups", groupIndex, "zones", zoneIndex],
                    `zone "${zone}" is already owned by group "${owner}"`,
                );
            }
            zoneOwners.set(zone, group.id);
        });
        (group.voters ?? []).forEach((voter, voterIndex) => {
            const member = members.get(voter);
            if (member === undefined) {
                report(["groups", groupIndex, "voters", voterIndex], `unknown member "${voter}"`);
            } else if (!member.disk) {
                report(
                    ["groups", groupIndex, "voters", voterIndex],
                    `voter "${voter}" has no disk; its votes would be lost on a restart`,
                );
            }
        });
    });
}
