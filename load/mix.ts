/**
 * Generates reproducible request mixes for the example deployments, with declared run times that
 * differ from the actual ones.
 *
 * @example
 * ```ts
 * import { buildMix } from "./mix.ts";
 * const specs = buildMix("umhlanga", 200, 7);
 * ```
 *
 * @module
 */

import type { RequestSpec } from "../cell/mod.ts";
import { createId, type CustomerId, type ServiceId } from "../inventory/mod.ts";

/** The size of one request kind and its share of the mix. */
interface KindProfile {
    readonly kind: string;
    readonly share: number;
    readonly cores: number;
    readonly memoryMb: number;
    readonly runMs: number;
    readonly count: number;
    readonly customer: string;
}

/** The number of callers that send the requests of a deployment, in round-robin order. */
const CALLER_COUNT = 24;

const MIXES: Record<string, { service: string; kinds: readonly KindProfile[] }> = {
    umhlanga: {
        service: "studio-intake",
        kinds: [
            {
                kind: "preview",
                share: 0.5,
                cores: 1,
                memoryMb: 1_024,
                runMs: 150,
                count: 1,
                customer: "retailer-a",
            },
            {
                kind: "batch",
                share: 0.2,
                cores: 4,
                memoryMb: 4_096,
                runMs: 600,
                count: 1,
                customer: "retailer-b",
            },
            {
                kind: "hero",
                share: 0.15,
                cores: 8,
                memoryMb: 8_192,
                runMs: 800,
                count: 1,
                customer: "retailer-a",
            },
            {
                kind: "gang",
                share: 0.05,
                cores: 4,
                memoryMb: 4_096,
                runMs: 500,
                count: 4,
                customer: "retailer-b",
            },
            {
                kind: "variants",
                share: 0.1,
                cores: 2,
                memoryMb: 2_048,
                runMs: 400,
                count: 1,
                customer: "retailer-b",
            },
        ],
    },
    caruaru: {
        service: "cerimonia",
        kinds: [
            {
                kind: "join_check",
                share: 0.5,
                cores: 0.5,
                memoryMb: 256,
                runMs: 60,
                count: 1,
                customer: "chapels",
            },
            {
                kind: "reel",
                share: 0.2,
                cores: 4,
                memoryMb: 4_096,
                runMs: 700,
                count: 1,
                customer: "chapels",
            },
            {
                kind: "archive",
                share: 0.2,
                cores: 2,
                memoryMb: 2_048,
                runMs: 500,
                count: 1,
                customer: "chapels",
            },
            {
                kind: "service",
                share: 0.05,
                cores: 1,
                memoryMb: 1_024,
                runMs: 900,
                count: 3,
                customer: "chapels",
            },
            {
                kind: "transcode",
                share: 0.05,
                cores: 6,
                memoryMb: 6_144,
                runMs: 600,
                count: 1,
                customer: "chapels",
            },
        ],
    },
};

/**
 * Builds the requests of a deployment's mix; the same seed gives the same requests.
 *
 * @param deployment "umhlanga" or "caruaru".
 * @param count The number of requests.
 * @param seed The random seed.
 * @returns The requests; declared run times differ from actual ones by a factor of up to 3.
 * @throws {Error} When the deployment has no mix.
 */
export function buildMix(deployment: string, count: number, seed = 1): RequestSpec[] {
    const mix = MIXES[deployment];
    if (mix === undefined) {
        throw new Error(`deployment "${deployment}" has no request mix`);
    }
    let state = seed;
    const random = (): number => {
        state = (state * 1_103_515_245 + 12_345) % 2 ** 31;
        return state / 2 ** 31;
    };
    return Array.from({ length: count }, (_, i) => {
        let remainder = random();
        const kind =
            mix.kinds.find((k) => (remainder -= k.share) < 0) ?? (mix.kinds[0] as KindProfile);
        const declaredFactor = 1 / 3 + random() * (3 - 1 / 3);
        return {
            caller: `${deployment}-console-${i % CALLER_COUNT}`,
            key: `${deployment}-${seed}-${i}`,
            kind: kind.kind,
            service: createId<ServiceId>(mix.service),
            customer: createId<CustomerId>(kind.customer),
            demand: { cores: kind.cores, memoryMb: kind.memoryMb, accelerators: 0 },
            count: kind.count,
            declaredRunMs: Math.round(kind.runMs * declaredFactor),
            maxWaitMs: 0,
            work: { runMs: kind.runMs, usageFactor: 0.8 + random() * 0.4, fail: false },
        };
    });
}
