// The operator and the clients.

import { performance } from "node:perf_hooks";
import { sleep } from "./cluster.mjs";
import { send } from "./http.mjs";

export const HOST = "review.example";

/** A route in the form of the operator's API. */
export function createRoute(name, prefix, service, fields = {}) {
    return {
        Name: name,
        Host: HOST,
        PathPrefix: prefix,
        Kind: "non_idempotent",
        TimeoutMs: 3_000,
        TargetLatencyMs: 3_000,
        Priority: 2,
        Service: service,
        MaxAttempts: 3,
        Stretch: 4,
        ...fields,
    };
}

export function createConfiguration(version, routes, service) {
    return {
        Version: version,
        Routes: routes,
        Services: [
            {
                Name: service,
                HealthPath: "/health",
                MaxConns: 64,
                Protocol: "h1",
                Tls: false,
                AdmissionCheck: false,
                Standby: false,
            },
        ],
        Limits: {
            MaxHeaderBytes: 16_384,
            MaxBodyBytes: 262_144,
            HeaderTimeoutMs: 3_000,
            IdleTimeoutMs: 15_000,
        },
    };
}

/** Sends a configuration to one control instance after the other until it is acknowledged. */
export async function putConfiguration(addresses, configuration, limitMs = 20_000) {
    const startedAtMs = performance.now();
    for (let i = 0; performance.now() - startedAtMs < limitMs; i++) {
        const address = addresses[i % addresses.length];
        const reply = await send({
            address,
            method: "PUT",
            path: "/poplarhead/config",
            body: configuration,
        });
        if (reply.status === 200) {
            return true;
        }
        await sleep(100);
    }
    return false;
}

/** One call of a client to a front. */
export function callFront(address, method, path, body, timeoutMs = 3_000) {
    const headers = { host: HOST, "x-poplarhead-deadline-ms": String(timeoutMs) };
    return send({ address, method, path, headers, body, timeoutMs });
}
