/**
 * The client's side of one multiplexed connection.
 *
 * @module
 */

import type { Socket } from "node:net";
import type { JSONRPCRequest, JSONRPCResponse } from "json-rpc-2.0";
import { connectionTracker } from "./connection_tracker.ts";
import { LineDecoder } from "./_line_decoder.ts";
import { RpcError } from "./rpc_error.ts";
import { startTimeout } from "./timeout.ts";
import { CANCEL_METHOD, CLOSE_METHOD, MAX_MESSAGE_LENGTH, PING_LINE } from "./_upgrade.ts";
import type { OutgoingCall, ReceivedResponse } from "./transport.ts";

/** Options of {@link Connection}. */
export interface ConnectionOptions {
    readonly address: string;
    /** Called when nothing is heard from the server although it was pinged. */
    readonly onSilent: () => void;
    /** Called when the server is heard again. */
    readonly onHeard: () => void;
    /** Called when no further calls may be sent. */
    readonly onClosed: () => void;
}

interface PendingCall {
    readonly sentAtMs: number;
    readonly resolve: (response: ReceivedResponse) => void;
    readonly reject: (error: RpcError) => void;
    readonly cancelTimeout: () => void;
}

/** How often the server is checked for silence, in ms. */
const CHECK_INTERVAL_MS = 50;
/** The silence after a call was sent after which the server is pinged, in ms. */
const PING_AFTER_MS = 100;
/** The time without an answer to a ping after which the server counts as silent, in ms. */
const PING_TIMEOUT_MS = 200;
/** How long a silent connection that was replaced may still be heard again, in ms. */
const SILENT_GRACE_MS = 250;
/** The time without any call after which a connection is closed, in ms. */
const IDLE_TIMEOUT_MS = 30_000;

/**
 * Sends calls over one connection and matches the responses to them. A call that is given up is
 * cancelled, which costs neither the connection nor the calls beside it.
 */
export class Connection {
    readonly #socket: Socket;
    readonly #options: ConnectionOptions;
    readonly #decoder = new LineDecoder(MAX_MESSAGE_LENGTH);
    readonly #pending = new Map<number, PendingCall>();
    #checkTimer: NodeJS.Timeout | undefined;
    /**
     * Since when something is expected from the server, which may be the answer to a ping after the
     * calls were given up.
     */
    #expectingSinceMs: number | undefined;
    #pingedAtMs: number | undefined;
    /** Why the connection was lost. */
    #failure = "connection closed";
    #isSilent = false;
    #isDraining = false;

    /**
     * @param socket The upgraded socket.
     * @param head What was received after the upgrade.
     * @param options The server's address and the callbacks.
     */
    constructor(socket: Socket, head: Buffer, options: ConnectionOptions) {
        this.#socket = socket;
        this.#options = options;
        socket.setNoDelay(true);
        socket.setTimeout(IDLE_TIMEOUT_MS, () => this.drain());
        if (head.length > 0) {
            socket.unshift(head);
        }
        socket.on("data", (chunk: Buffer) => this.#receive(chunk));
        socket.on("error", (error) => this.drop(error.message));
        socket.on("close", () => this.#handleClose());
        socket.unref();
    }

    /** Whether the server has left a ping without an answer. */
    get isSilent(): boolean {
        return this.#isSilent;
    }

    /**
     * Sends a call.
     *
     * @param call The call.
     * @returns The response.
     * @throws {RpcError} On a timeout or if the connection is lost.
     */
    send(call: OutgoingCall): Promise<ReceivedResponse> {
        return new Promise((resolve, reject) => {
            const cancelTimeout = startTimeout(call.timeoutMs, () => this.#cancel(call));
            const sentAtMs = performance.now();
            this.#pending.set(call.id, { sentAtMs, resolve, reject, cancelTimeout });
            this.#socket.write(`${call.body}\n`);
            this.#watchServer();
        });
    }

    /**
     * Sends no further calls and closes the connection once the pending ones have ended, or soon if
     * it stays silent.
     */
    drain(): void {
        if (this.#isDraining) {
            return;
        }
        this.#isDraining = true;
        this.#options.onClosed();
        this.#closeIfUnused();
        if (this.#isSilent) {
            setTimeout(() => this.#dropIfSilent(), SILENT_GRACE_MS);
        }
    }

    /**
     * Closes the connection now; its pending calls fail.
     *
     * @param reason Why, for the errors of the calls.
     */
    drop(reason = "connection closed"): void {
        this.#failure = reason;
        this.#socket.destroy();
    }

    #dropIfSilent(): void {
        if (this.#isSilent) {
            this.drop();
        }
    }

    #cancel({ id, timeoutMs }: OutgoingCall): void {
        const call = this.#takePending(id);
        if (call !== undefined) {
            connectionTracker.recordAbandoned();
            this.#sendNotification(CANCEL_METHOD, { id });
            const text = `timeout after ${timeoutMs} ms calling ${this.#options.address}`;
            call.reject(new RpcError(text, 0));
            this.#closeIfUnused();
        }
    }

    #sendNotification(method: string, params: object): void {
        if (!this.#socket.destroyed) {
            this.#socket.write(`${JSON.stringify({ jsonrpc: "2.0", method, params })}\n`);
        }
    }

    #takePending(id: number): PendingCall | undefined {
        const call = this.#pending.get(id);
        this.#pending.delete(id);
        call?.cancelTimeout();
        return call;
    }

    #receive(chunk: Buffer): void {
        this.#expectingSinceMs = undefined;
        this.#pingedAtMs = undefined;
        if (this.#isSilent) {
            this.#isSilent = false;
            this.#options.onHeard();
        }
        try {
            this.#decoder.decode(chunk).forEach((line) => this.#handleLine(line));
        } catch (error) {
            // The stream is unusable after a malformed message.
            this.drop((error as Error).message);
            return;
        }
        if (this.#pending.size > 0) {
            this.#watchServer();
        } else {
            this.#stopChecking();
        }
        this.#closeIfUnused();
    }

    #handleLine(line: string): void {
        if (line === "") {
            return;
        }
        const message = JSON.parse(line) as JSONRPCResponse | JSONRPCRequest;
        if ("method" in message) {
            if (message.method === CLOSE_METHOD) {
                this.drain();
            }
            return;
        }
        if (message.id === null) {
            // The server could not read a message.
            this.drop(message.error?.message ?? "message without an id");
            return;
        }
        const call = this.#takePending(Number(message.id));
        if (call !== undefined) {
            connectionTracker.recordAnswered(performance.now() - call.sentAtMs);
            call.resolve({ response: message, bytes: Buffer.byteLength(line) });
        }
    }

    /** Checks from now on whether the server is silent, and keeps the process running. */
    #watchServer(): void {
        this.#expectingSinceMs ??= performance.now();
        if (this.#checkTimer === undefined) {
            this.#socket.ref();
            // Lets a busy event loop process what has arrived before it checks for silence.
            this.#checkTimer = setInterval(
                () => setImmediate(() => this.#checkSilence()),
                CHECK_INTERVAL_MS,
            );
        }
    }

    #stopChecking(): void {
        clearInterval(this.#checkTimer);
        this.#checkTimer = undefined;
        this.#socket.unref();
    }

    #checkSilence(): void {
        if (this.#isSilent && this.#pending.size === 0) {
            this.#stopChecking();
        }
        if (this.#expectingSinceMs === undefined || this.#isSilent) {
            return;
        }
        const nowMs = performance.now();
        if (this.#pingedAtMs === undefined) {
            if (nowMs - this.#expectingSinceMs >= PING_AFTER_MS) {
                this.#pingedAtMs = nowMs;
                this.#socket.write(PING_LINE);
            }
        } else if (nowMs - this.#pingedAtMs >= PING_TIMEOUT_MS) {
            this.#handleSilence();
        }
    }

    #handleSilence(): void {
        this.#isSilent = true;
        if (this.#isDraining) {
            this.drop();
        } else {
            this.#options.onSilent();
        }
    }

    #closeIfUnused(): void {
        if (this.#isDraining && this.#pending.size === 0) {
            this.#socket.end();
        }
    }

    #handleClose(): void {
        this.#stopChecking();
        const ids = [...this.#pending.keys()];
        ids.forEach((id) =>
            this.#takePending(id)?.reject(
                new RpcError(`${this.#options.address}: ${this.#failure}`, 0),
            ),
        );
        this.#isDraining = true;
        this.#options.onClosed();
    }
}
