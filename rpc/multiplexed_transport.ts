/**
 * Carries all RPC calls to one server over one long-lived connection.
 *
 * @example
 * ```ts
 * import { MultiplexedTransport } from "./multiplexed_transport.ts";
 * const transport = new MultiplexedTransport("10.1.0.16:7720");
 * await transport.send({ id: 1, body, timeoutMs: 400 });
 * ```
 *
 * @module
 */

import { request as sendHttp, type ClientRequest } from "node:http";
import type { Socket } from "node:net";
import { parseAddress } from "./address.ts";
import { Connection } from "./_connection.ts";
import { connectionTracker } from "./connection_tracker.ts";
import { CONNECT_TIMEOUT_MS, HttpTransport, toRpcError } from "./http_transport.ts";
import { RpcError } from "./rpc_error.ts";
import { startTimeout } from "./timeout.ts";
import { RPC_PATH, UPGRADE_PROTOCOL } from "./_upgrade.ts";
import type { OutgoingCall, ReceivedResponse, Transport } from "./transport.ts";

/** A message from this size on would hold up the calls behind it, in characters. */
const MAX_MULTIPLEXED_LENGTH = 256 * 1024;
/** The longest time that one attempt to open a connection takes, in ms. */
const MAX_OPEN_TIMEOUT_MS = 1_000;
/** The share by which the time of an attempt varies at random. */
const OPEN_TIMEOUT_JITTER = 0.25;
/** How long a server that refused the upgrade is taken to be of an earlier release, in ms. */
const REFUSED_UPGRADE_MS = 5_000;

/** A call that waits for a connection. */
interface WaitingCall {
    readonly start: (transport: Pick<Transport, "send">) => void;
    readonly fail: (error: RpcError) => void;
}

/**
 * Opens at most one connection at a time and keeps it as long as the server is heard. While the
 * server is silent, calls are not sent but wait, and a connection that may replace the silent one
 * is opened.
 */
export class MultiplexedTransport implements Transport {
    readonly #address: string;
    readonly #httpTransport: HttpTransport;
    readonly #waiting = new Set<WaitingCall>();
    #connection: Connection | undefined;
    #attempt: ClientRequest | undefined;
    #failedAttempts = 0;
    #refusedUpgradeAtMs = Number.NEGATIVE_INFINITY;

    /**
     * @param address The server's `host:port`.
     */
    constructor(address: string) {
        this.#address = address;
        this.#httpTransport = new HttpTransport(address);
    }

    /** Sends a call; see {@link Transport.send}. */
    send(call: OutgoingCall): Promise<ReceivedResponse> {
        const isRefused = performance.now() - this.#refusedUpgradeAtMs < REFUSED_UPGRADE_MS;
        if (isRefused || call.body.length > MAX_MULTIPLEXED_LENGTH) {
            return this.#httpTransport.send(call);
        }
        if (this.#connection !== undefined && !this.#connection.isSilent) {
            return this.#connection.send(call);
        }
        return this.#waitForConnection(call);
    }

    #waitForConnection(call: OutgoingCall): Promise<ReceivedResponse> {
        return new Promise((resolve, reject) => {
            const waitMs = Math.min(CONNECT_TIMEOUT_MS, call.timeoutMs);
            const startedAtMs = performance.now();
            const finish = (): void => {
                cancelTimeout();
                this.#waiting.delete(waiting);
            };
            const waiting: WaitingCall = {
                start: (transport) => {
                    finish();
                    const waitedMs = performance.now() - startedAtMs;
                    const timeoutMs = Math.max(1, call.timeoutMs - waitedMs);
                    transport.send({ ...call, timeoutMs }).then(resolve, reject);
                },
                fail: (error) => {
                    finish();
                    reject(error);
                },
            };
            const cancelTimeout = startTimeout(waitMs, () => {
                const error = new RpcError(
                    `${this.#address}: no connection within ${waitMs} ms`,
                    0,
                );
                error.isUndelivered = true;
                waiting.fail(error);
            });
            this.#waiting.add(waiting);
            this.#openConnection();
        });
    }

    /** Starts an attempt to open a connection, unless one is in progress. */
    #openConnection(): void {
        if (this.#attempt !== undefined) {
            return;
        }
        const startedAtMs = performance.now();
        const [host, port] = parseAddress(this.#address);
        const attempt = sendHttp({
            host,
            port,
            path: RPC_PATH,
            agent: false,
            headers: { connection: "Upgrade", upgrade: UPGRADE_PROTOCOL },
        });
        this.#attempt = attempt;
        const cancelTimeout = startTimeout(this.#computeOpenTimeoutMs(), () =>
            attempt.destroy(new Error("no connection in time")),
        );
        const finish = (): void => {
            cancelTimeout();
            this.#attempt = undefined;
        };
        attempt.on("upgrade", (_response, socket, head) => {
            finish();
            connectionTracker.recordOpened(performance.now() - startedAtMs);
            this.#handleOpened(socket as Socket, head);
        });
        attempt.on("response", (response) => {
            finish();
            response.resume();
            this.#refusedUpgradeAtMs = performance.now();
            this.#startWaiting(this.#httpTransport);
        });
        attempt.on("error", (error) => {
            finish();
            this.#handleOpenFailed(error);
        });
        attempt.end();
    }

    /** Later attempts take longer: a busy server accepts connections late. */
    #computeOpenTimeoutMs(): number {
        const timeoutMs = Math.min(
            CONNECT_TIMEOUT_MS * 2 ** this.#failedAttempts,
            MAX_OPEN_TIMEOUT_MS,
        );
        return timeoutMs * (1 + OPEN_TIMEOUT_JITTER * Math.random());
    }

    #handleOpened(socket: Socket, head: Buffer): void {
        this.#failedAttempts = 0;
        if (this.#connection !== undefined && !this.#connection.isSilent) {
            // The connection to be replaced was heard again meanwhile.
            socket.destroy();
            return;
        }
        this.#connection?.drain();
        const connection: Connection = new Connection(socket, head, {
            address: this.#address,
            onSilent: () => this.#openConnection(),
            onHeard: () => this.#startWaiting(connection),
            onClosed: () => {
                if (this.#connection === connection) {
                    this.#connection = undefined;
                }
            },
        });
        this.#connection = connection;
        this.#startWaiting(connection);
    }

    #handleOpenFailed(error: NodeJS.ErrnoException): void {
        this.#failedAttempts += 1;
        connectionTracker.recordOpenFailed();
        if (error.code !== undefined) {
            // The calls that wait were not sent, whatever ended the attempt.
            const failure = toRpcError(error, this.#address);
            failure.isUndelivered = true;
            if (this.#connection?.isSilent === true) {
                this.#connection.drop();
            }
            [...this.#waiting].forEach((waiting) => waiting.fail(failure));
        } else if (this.#waiting.size > 0) {
            this.#openConnection();
        }
    }

    #startWaiting(transport: Pick<Transport, "send">): void {
        [...this.#waiting].forEach((waiting) => waiting.start(transport));
    }
}
