/**
 * Schemas for the JSON-RPC params that callers, operators, workers and peers send to an entry
 * instance. Invalid params are rejected with a list of all issues.
 *
 * @example
 * ```ts
 * import { parseParams, submitSchema } from "./api_schema.ts";
 * const { spec } = parseParams(submitSchema, params);
 * ```
 *
 * @module
 */

import { z } from "zod";
import { MethodError } from "../rpc/mod.ts";
import { rulesSchema } from "../rules/rules_file.ts";

const resourcesSchema = z.object({
    cores: z.number().nonnegative(),
    memoryMb: z.number().int().nonnegative(),
    accelerators: z.number().int().nonnegative().default(0),
});

/** `request.submit`. */
export const submitSchema = z.object({
    spec: z.object({
        caller: z.string().min(1),
        key: z.string().min(1).max(200),
        kind: z.string().min(1),
        service: z.string().min(1),
        customer: z.string().min(1),
        demand: resourcesSchema,
        count: z.number().int().positive().max(1_000).default(1),
        declaredRunMs: z.number().nonnegative().default(1_000),
        maxWaitMs: z.number().nonnegative().default(0),
        work: z
            .object({
                runMs: z.number().nonnegative().default(100),
                usageFactor: z.number().positive().default(1),
                fail: z.boolean().default(false),
            })
            .default({}),
    }),
});

/** `request.fate`, `request.cancel`, `request.wait`. */
export const requestRefSchema = z.object({
    requestId: z.string().optional(),
    caller: z.string().optional(),
    key: z.string().optional(),
    timeoutMs: z.number().nonnegative().max(60_000).default(0),
});

/** `instance.drain`, `instance.undrain`. */
export const drainSchema = z.object({ instance: z.string().min(1) });

/** `rules.check`: validates rules against the requests of a zone's group. */
export const rulesCheckSchema = z.object({ rules: rulesSchema });

/** `rules.set`. */
export const rulesChangeSchema = z.object({
    change: z.object({
        changeId: z.string().min(1),
        expectedVersion: z.number().int(),
        rules: rulesSchema,
    }),
});

const heldLeaseSchema = z.object({
    lease: z.string(),
    epoch: z.number().int(),
    usage: resourcesSchema.optional(),
});

/** `workers.announce`. */
export const announceSchema = z.object({
    workers: z
        .array(
            z.object({
                instance: z.string(),
                address: z.string(),
                incarnation: z.string().default(""),
                sentAt: z.number(),
            }),
        )
        .min(1),
});

/** `workers.heartbeat`. */
export const heartbeatSchema = z.object({
    beats: z
        .array(
            z.object({
                instance: z.string(),
                incarnation: z.string().default(""),
                sentAt: z.number(),
                leases: z.array(heldLeaseSchema),
            }),
        )
        .min(1),
});

/** `workers.report`. */
export const reportSchema = z.object({
    reports: z
        .array(
            z.object({
                lease: z.string(),
                epoch: z.number().int(),
                report: z.enum(["started", "completed", "failed", "stopped", "declined"]),
                detail: z.string().default(""),
            }),
        )
        .min(1),
});

/** `workers.leave`. */
export const leaveSchema = z.object({ instances: z.array(z.string()).min(1) });

/** `zone.adopt`: requests that another zone's group hands over, or whose state it polls. */
export const adoptSchema = z.object({
    from: z.string(),
    items: z
        .array(
            z.object({
                key: z.string(),
                isCancelled: z.boolean(),
                /** Omitted when only polling the request's state. */
                spec: submitSchema.shape.spec.optional(),
            }),
        )
        .max(1_000),
});

const memberIdSchema = z.string().regex(/^[^#]+#[^#]+$/);

/** `peer.group`: only the envelope is validated; messages come from trusted peers. */
export const envelopeSchema = z.object({
    group: z.string(),
    from: memberIdSchema,
    to: memberIdSchema,
    message: z.object({ type: z.string() }).passthrough(),
});

/** `peer.subscribe`. */
export const subscribeSchema = z.object({ group: z.string(), member: memberIdSchema });

/** `peer.forward`. */
export const forwardSchema = z.object({
    group: z.string(),
    method: z.string(),
    params: z.unknown(),
});

/** `peer.gossip`. */
export const gossipSchema = z.object({
    table: z.array(
        z.object({
            id: z.string(),
            startedAt: z.number(),
            counter: z.number(),
            leads: z.array(
                z.object({ group: z.string(), term: z.number(), freeCores: z.number() }),
            ),
            stopping: z.boolean(),
        }),
    ),
});

/**
 * Validates params against a schema.
 *
 * @param schema The method's schema.
 * @param params The params as received.
 * @returns The typed params, with defaults filled in.
 * @throws {MethodError} With code -32602 (invalid params), listing every issue.
 */
export function parseParams<S extends z.ZodTypeAny>(schema: S, params: unknown): z.infer<S> {
    const parsed = schema.safeParse(params ?? {});
    if (!parsed.success) {
        const issues = parsed.error.issues.map(
            (i) => `${i.path.join(".") || "(params)"}: ${i.message}`,
        );
        throw new MethodError(`invalid params: ${issues.join("; ")}`, -32602);
    }
    return parsed.data;
}
