/**
 * A TCP relay on loopback that injects network faults: it can drop all bytes while connections
 * stay open, as a partition does, or refuse connections. One relay carries the calls of one
 * process to another.
 *
 * @example
 * ```ts
 * import { FaultRelay } from "./fault_relay.ts";
 * const relay = await FaultRelay.start();
 * relay.setTarget("127.0.0.1:7001");
 * relay.setMode("silent");
 * ```
 *
 * @module
 */

import { createServer, Socket, type AddressInfo, type Server } from "node:net";

/** How a relay treats traffic: `silent` drops all bytes, `refuse` closes all connections. */
export type RelayMode = "open" | "silent" | "refuse";

/** Relays TCP connections to one target, with injected faults. */
export class FaultRelay {
    readonly #server: Server;
    readonly #sockets = new Set<Socket>();
    readonly #frozenSockets = new WeakSet<Socket>();
    #target: { host: string; port: number } | undefined;
    #mode: RelayMode = "open";
    #bytes = 0;

    private constructor() {
        this.#server = createServer((socket) => this.#handleConnection(socket));
    }

    /**
     * Starts a relay on a free port of 127.0.0.1.
     *
     * @returns The relay, which refuses connections until a target is set.
     */
    static async start(): Promise<FaultRelay> {
        const relay = new FaultRelay();
        await new Promise<void>((resolve) => relay.#server.listen(0, "127.0.0.1", resolve));
        return relay;
    }

    /** The listening address, as `host:port`. */
    get address(): string {
        const { address, port } = this.#server.address() as AddressInfo;
        return `${address}:${port}`;
    }

    /** The bytes relayed in both directions. */
    get bytes(): number {
        return this.#bytes;
    }

    /**
     * Sets the target of new connections.
     *
     * @param address The target, as `host:port`.
     */
    setTarget(address: string): void {
        const separatorIndex = address.lastIndexOf(":");
        this.#target = {
            host: address.slice(0, separatorIndex),
            port: Number(address.slice(separatorIndex + 1)),
        };
    }

    /**
     * Sets the fault mode. Connections that lost bytes are closed when a silent fault ends.
     *
     * @param mode The mode for all current and new connections.
     */
    setMode(mode: RelayMode): void {
        const shouldClose = mode === "refuse" || (mode === "open" && this.#mode === "silent");
        this.#mode = mode;
        if (shouldClose) {
            this.#closeSockets();
        }
    }

    /** Drops all further bytes of the present connections; new connections are not affected. */
    killSilently(): void {
        this.#sockets.forEach((socket) => this.#frozenSockets.add(socket));
    }

    /** Closes the relay and all its connections. */
    close(): void {
        this.#server.close();
        this.#closeSockets();
    }

    #handleConnection(client: Socket): void {
        this.#addSocket(client);
        if (this.#mode === "refuse" || this.#target === undefined) {
            client.destroy();
            return;
        }
        const upstream = new Socket();
        this.#addSocket(upstream);
        upstream.connect(this.#target);
        this.#relayBytes(client, upstream);
        this.#relayBytes(upstream, client);
    }

    #relayBytes(from: Socket, to: Socket): void {
        from.on("data", (chunk: Buffer) => {
            if (this.#mode === "open" && !this.#frozenSockets.has(from)) {
                this.#bytes += chunk.length;
                to.write(chunk);
            }
        });
        from.on("close", () => {
            if (this.#mode !== "silent") {
                to.destroy();
            }
        });
    }

    #addSocket(socket: Socket): void {
        this.#sockets.add(socket);
        socket.setNoDelay(true);
        socket.on("error", () => socket.destroy());
        socket.on("close", () => this.#sockets.delete(socket));
    }

    #closeSockets(): void {
        for (const socket of this.#sockets) {
            socket.destroy();
        }
    }
}
