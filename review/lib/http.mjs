// HTTP helpers of the stand-ins.

import { Buffer } from "node:buffer";
import { Agent, request } from "node:http";

export const agent = new Agent({ keepAlive: true });

/** Sends a request; the status is 0 if there was no whole answer in time. */
export function send({ address, method, path, headers = {}, body, timeoutMs = 1_000 }) {
    const separator = address.lastIndexOf(":");
    const text = body === undefined ? "" : JSON.stringify(body);
    return new Promise((resolve) => {
        const req = request({
            host: address.slice(0, separator),
            port: Number(address.slice(separator + 1)),
            method,
            path,
            agent,
            headers: {
                ...(body === undefined ? {} : { "content-type": "application/json" }),
                "content-length": Buffer.byteLength(text),
                ...headers,
            },
            timeout: timeoutMs,
        });
        const timer = globalThis.setTimeout(
            () => req.destroy(new Error("no answer in time")),
            timeoutMs,
        );
        const finish = (reply) => {
            globalThis.clearTimeout(timer);
            resolve(reply);
        };
        req.on("response", (res) => {
            const chunks = [];
            res.on("data", (chunk) => chunks.push(chunk));
            res.on("error", (error) => finish({ status: 0, error: error.message }));
            res.on("end", () => {
                const received = Buffer.concat(chunks).toString("utf8");
                try {
                    finish({
                        status: res.statusCode,
                        body: received === "" ? {} : JSON.parse(received),
                    });
                } catch {
                    finish({ status: 0, error: "malformed answer" });
                }
            });
        });
        req.on("error", (error) => finish({ status: 0, error: error.message }));
        req.end(text);
    });
}

export async function readJson(req) {
    const chunks = [];
    for await (const chunk of req) {
        chunks.push(chunk);
    }
    const text = Buffer.concat(chunks).toString("utf8");
    return text === "" ? {} : JSON.parse(text);
}

export function writeJson(res, status, body) {
    if (!res.destroyed) {
        res.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
    }
}
