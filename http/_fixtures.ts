/**
 * Test fixtures: servers on loopback and clients that send raw bytes.
 *
 * @module
 */

import type { Server } from "node:http";
import { connect, type AddressInfo, type Socket } from "node:net";
import type { ExecutionContext } from "ava";

const CONDITION_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 5;

/**
 * Has a server listen on a free port until the test ends.
 *
 * @param t The test.
 * @param server The server.
 * @returns The port.
 */
export async function startServer(t: ExecutionContext, server: Server): Promise<number> {
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    t.teardown(() => {
        server.close();
        server.closeAllConnections();
    });
    return (server.address() as AddressInfo).port;
}

/** A connection that collects what it receives as text. */
export class RawClient {
    readonly socket: Socket;
    received = "";
    isClosed = false;

    private constructor(port: number) {
        this.socket = connect(port, "127.0.0.1");
        this.socket.on("data", (bytes: Buffer) => (this.received += bytes.toString("utf8")));
        this.socket.on("error", () => {});
        this.socket.on("close", () => (this.isClosed = true));
    }

    /**
     * Opens a connection until the test ends.
     *
     * @param t The test.
     * @param port The server's port.
     * @returns The client, once it is connected.
     */
    static async open(t: ExecutionContext, port: number): Promise<RawClient> {
        const client = new RawClient(port);
        t.teardown(() => client.socket.destroy());
        await new Promise((resolve) => client.socket.once("connect", resolve));
        return client;
    }

    /**
     * Sends bytes.
     *
     * @param data The bytes.
     */
    send(data: string | Buffer): void {
        this.socket.write(data);
    }

    /** Returns the status codes of the answers received. */
    listStatuses(): number[] {
        return [...this.received.matchAll(/HTTP\/1\.1 (\d+) /g)].map((match) => Number(match[1]));
    }
}

/**
 * Waits until a condition holds.
 *
 * @param isMet The condition.
 * @throws {Error} If it doesn't hold in time.
 */
export async function waitUntil(isMet: () => boolean): Promise<void> {
    const deadlineMs = performance.now() + CONDITION_TIMEOUT_MS;
    while (!isMet()) {
        if (performance.now() > deadlineMs) {
            throw new Error(`condition not met within ${CONDITION_TIMEOUT_MS} ms`);
        }
        await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
}
