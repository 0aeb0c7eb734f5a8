/**
 * Writes the inventories of the two example deployments, each with 3 zones and 30 workers. The
 * output is committed.
 *
 * @example
 * ```sh
 * npx tsx examples/build_examples.ts
 * ```
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import { stringify } from "yaml";

interface Deployment {
    readonly cell: string;
    readonly zones: readonly string[];
    readonly service: string;
    readonly workers: number;
}

const DEPLOYMENTS: readonly Deployment[] = [
    {
        cell: "umhlanga",
        zones: ["hall-a", "hall-b", "hall-c"],
        service: "studio-intake",
        workers: 30,
    },
    {
        cell: "caruaru",
        zones: ["capela-norte", "capela-sul", "sede"],
        service: "cerimonia",
        workers: 30,
    },
];
const WORKERS_PER_RACK = 8;

/**
 * Builds the inventory of a deployment, with one executor on each worker.
 *
 * @param deployment The deployment to build for.
 * @param workers Number of workers (instances).
 * @returns The inventory as plain data, in the layout of the inventory file.
 */
export function buildInventory(deployment: Deployment, workers = deployment.workers): object {
    const racks: { id: string; zone: string; instances: object[] }[] = [];
    const executors: object[] = [];
    const workersPerZone = Math.ceil(workers / deployment.zones.length);
    let createdCount = 0;
    deployment.zones.forEach((zone) => {
        for (let i = 0; i < workersPerZone && createdCount < workers; i++, createdCount++) {
            const rackIndex = Math.floor(i / WORKERS_PER_RACK) + 1;
            const rackId = `${zone}-r${rackIndex}`;
            let rack = racks.find((r) => r.id === rackId);
            if (rack === undefined) {
                rack = { id: rackId, zone, instances: [] };
                racks.push(rack);
            }
            const id = `${rackId}-w${(i % WORKERS_PER_RACK) + 1}`;
            rack.instances.push({ id, cores: 16, memoryMb: 32768, accelerators: 0 });
            executors.push({
                service: deployment.service,
                instance: id,
                slots: 8,
                connections: 60,
            });
        }
    });
    return {
        cell: deployment.cell,
        zones: deployment.zones,
        services: [{ id: deployment.service, zones: deployment.zones }],
        racks,
        executors,
    };
}

/** Writes each deployment's inventory to `examples/<cell>/inventory.yaml`. */
export function writeExamples(): void {
    for (const deployment of DEPLOYMENTS) {
        const url = new URL(`./${deployment.cell}/inventory.yaml`, import.meta.url);
        const header = `# ${deployment.cell}: written by examples/build_examples.ts; edit that, not this.\n`;
        writeFileSync(
            url,
            header + stringify(buildInventory(deployment), { aliasDuplicateObjects: false }),
        );
    }
}

if (import.meta.url === `file://${process.argv[1]}`) {
    writeExamples();
}
