import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Agent, request as sendRequest } from "node:http";
import test, { type ExecutionContext } from "ava";
import { RawClient, startServer, waitUntil } from "./_fixtures.ts";
import { BodyReader } from "./body_reader.ts";
import { createBoundedServer, type BoundedServerOptions } from "./bounded_server.ts";

/** A server whose answers wait until they are released. */
class HeldServer {
    readonly server: Server;
    /** The paths of all requests, in the order in which they were handled. */
    readonly paths: string[] = [];
    readonly #responses: ServerResponse[] = [];

    constructor(options: BoundedServerOptions) {
        this.server = createBoundedServer(options, (req, res) => {
            this.paths.push(req.url ?? "");
            this.#responses.push(res);
        });
    }

    /** Answers the requests that are open, the newest first. */
    answerAll(): void {
        this.#responses
            .splice(0)
            .reverse()
            .forEach((res) => res.end(res.req.url));
    }
}

function buildRequests(count: number): string {
    return Array.from({ length: count }, (_, i) => `GET /${i} HTTP/1.1\r\nHost: a\r\n\r\n`).join(
        "",
    );
}

function listNumbers(text: string): number[] {
    return [...text.matchAll(/\r\n\r\n\/(\d+)/g)].map((match) => Number(match[1]));
}

async function startEcho(t: ExecutionContext, options: BoundedServerOptions = {}): Promise<number> {
    const reader = new BodyReader();
    const server = createBoundedServer(options, (req: IncomingMessage, res) => {
        reader
            .handleBody(req, 300_000, (text) => res.end(`${req.url}${text}`))
            .catch(() => res.destroy());
    });
    return startServer(t, server);
}

test("pipelined requests are answered in order, however many", async (t) => {
    // Guards against a client that sends ahead, reads its answers and loses some of them.
    const port = await startEcho(t);
    const client = await RawClient.open(t, port);
    client.send(buildRequests(3_000));
    await waitUntil(() => listNumbers(client.received).length === 3_000);
    t.deepEqual(
        listNumbers(client.received),
        Array.from({ length: 3_000 }, (_, i) => i),
    );
    t.false(client.isClosed);
});

test("a connection with enough open requests is read again once some are answered", async (t) => {
    const held = new HeldServer({ maxOpenRequests: 4 });
    const port = await startServer(t, held.server);
    const client = await RawClient.open(t, port);
    const path = `/${"x".repeat(2_000)}`;
    client.send(`GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`.repeat(40));
    await waitUntil(() => held.paths.length >= 4);
    await new Promise((resolve) => setTimeout(resolve, 100));
    // The last slice may complete two requests.
    t.true(held.paths.length <= 5);
    await waitUntil(() => {
        held.answerAll();
        return held.paths.length === 40 && client.listStatuses().length === 40;
    });
    t.false(client.isClosed);
});

test("requests whose answers aren't read are not taken in", async (t) => {
    // Guards against answers and requests that pile up for a client that doesn't read.
    let handled = 0;
    const server = createBoundedServer({}, (_req, res) => {
        handled += 1;
        res.end("x".repeat(100_000));
    });
    const port = await startServer(t, server);
    const client = await RawClient.open(t, port);
    client.socket.pause();
    client.send(buildRequests(300));
    await waitUntil(() => handled > 0);
    let before = 0;
    await waitUntil(() => {
        const isSteady = handled === before;
        before = handled;
        return isSteady;
    });
    t.true(handled < 250);
    client.socket.resume();
    await waitUntil(() => client.received.length > 300 * 100_000);
    t.is(client.listStatuses().length, 300);
});

test("beyond the bound over all connections, those that send ahead are closed and others served", async (t) => {
    const held = new HeldServer({ maxOpenRequests: 10, maxPipelinedRequests: 15 });
    const port = await startServer(t, held.server);
    const clients: RawClient[] = [];
    for (let i = 0; i < 3; i++) {
        const client = await RawClient.open(t, port);
        client.send(buildRequests(10));
        clients.push(client);
        await waitUntil(() => client.isClosed || held.paths.length === (i + 1) * 10);
    }
    t.deepEqual(
        clients.map(({ isClosed }) => isClosed),
        [false, true, true],
    );
    const ordinary = await RawClient.open(t, port);
    ordinary.send(buildRequests(1));
    await waitUntil(() => {
        held.answerAll();
        return ordinary.listStatuses().length === 1;
    });
    t.is(clients[0]?.listStatuses().length, 10);
});

test("more requests at once than one turn takes are all answered", async (t) => {
    const port = await startEcho(t);
    const clients = await Promise.all(Array.from({ length: 60 }, () => RawClient.open(t, port)));
    clients.forEach((client) => client.send(buildRequests(30)));
    await waitUntil(() => clients.every(({ received }) => listNumbers(received).length === 30));
    t.pass();
});

test("an HTTP/1.1 request without a host is answered with 400 and the connection closed", async (t) => {
    const port = await startEcho(t);
    const client = await RawClient.open(t, port);
    client.send("GET /0 HTTP/1.1\r\n\r\n".repeat(2_000));
    await waitUntil(() => client.isClosed);
    t.deepEqual(client.listStatuses(), [400]);
});

test("an HTTP/1.0 request needs no host", async (t) => {
    const client = await RawClient.open(t, await startEcho(t));
    client.send("GET /0 HTTP/1.0\r\n\r\n");
    await waitUntil(() => client.received.includes("/0"));
    t.deepEqual(client.listStatuses(), [200]);
});

test("an unknown expectation is answered with 417, a known one with 100", async (t) => {
    const client = await RawClient.open(t, await startEcho(t));
    client.send("GET /0 HTTP/1.1\r\nHost: a\r\nExpect: x\r\n\r\n");
    await waitUntil(() => client.listStatuses()[0] === 417);
    client.send("POST /0 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n");
    await waitUntil(() => client.listStatuses()[1] === 100);
    client.send("x");
    await waitUntil(() => client.received.includes("/0x"));
    t.pass();
});

test("a keep-alive connection serves one request after the other", async (t) => {
    const port = await startEcho(t);
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    t.teardown(() => agent.destroy());
    const ports = new Set<number | undefined>();
    for (let i = 0; i < 50; i++) {
        const body = "y".repeat(i * 1_000);
        const text = await new Promise<string>((resolve, reject) => {
            const req = sendRequest({ port, agent, method: "POST", path: "/p" }, (res) => {
                ports.add(req.socket?.localPort);
                let received = "";
                res.on("data", (chunk: Buffer) => (received += chunk.toString("utf8")));
                res.on("end", () => resolve(received));
            });
            req.on("error", reject);
            req.end(body);
        });
        t.is(text, `/p${body}`);
    }
    t.is(ports.size, 1);
});

test("a request that arrives byte by byte is served", async (t) => {
    const client = await RawClient.open(t, await startEcho(t));
    client.socket.setNoDelay(true);
    for (const byte of "POST /0 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab") {
        client.send(byte);
        await new Promise((resolve) => setTimeout(resolve, 2));
    }
    await waitUntil(() => client.received.includes("/0ab"));
    t.pass();
});

test("one connection too many closes the one that was idle for longest", async (t) => {
    const port = await startEcho(t, { maxConnections: 3 });
    const clients: RawClient[] = [];
    for (let i = 0; i < 3; i++) {
        clients.push(await RawClient.open(t, port));
        clients[i]?.send(buildRequests(1));
        await waitUntil(() => clients[i]?.listStatuses().length === 1);
    }
    clients[0]?.send(buildRequests(1));
    await waitUntil(() => clients[0]?.listStatuses().length === 2);
    const last = await RawClient.open(t, port);
    last.send(buildRequests(1));
    await waitUntil(() => last.listStatuses().length === 1);
    await waitUntil(() => clients.some(({ isClosed }) => isClosed));
    t.deepEqual(
        clients.map(({ isClosed }) => isClosed),
        [false, true, false],
    );
});

test("a connection whose whole request was read is never closed for another", async (t) => {
    // Guards against accepted requests that lose their answers to a crowd.
    const held = new HeldServer({ maxConnections: 2 });
    const port = await startServer(t, held.server);
    const served = await RawClient.open(t, port);
    served.send(buildRequests(1));
    await waitUntil(() => held.paths.length === 1);
    const unfinished = await RawClient.open(t, port);
    unfinished.send("POST /u HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx");
    await waitUntil(() => held.paths.length === 2);
    const second = await RawClient.open(t, port);
    second.send(buildRequests(1));
    await waitUntil(() => held.paths.length === 3);
    t.true(unfinished.isClosed);
    const refused = await RawClient.open(t, port);
    await waitUntil(() => refused.isClosed);
    held.answerAll();
    await waitUntil(() => served.listStatuses().length + second.listStatuses().length === 2);
    t.deepEqual([served.isClosed, second.isClosed], [false, false]);
});

test("a front's share of connections may stay idle and all are served again", async (t) => {
    // Guards against ordinary keep-alive connections that are closed below the bound.
    const port = await startEcho(t, { maxConnections: 800 });
    const clients: RawClient[] = [];
    for (let i = 0; i < 800; i++) {
        clients.push(await RawClient.open(t, port));
    }
    for (let round = 1; round <= 2; round++) {
        clients.forEach((client) => client.send(buildRequests(1)));
        await waitUntil(() => clients.every((client) => client.listStatuses().length === round));
    }
    t.false(clients.some(({ isClosed }) => isClosed));
});

test("without traffic, a connection is closed unless its request is being served", async (t) => {
    const held = new HeldServer({ stallTimeoutMs: 200 });
    const port = await startServer(t, held.server);
    const served = await RawClient.open(t, port);
    served.send(buildRequests(1));
    await waitUntil(() => held.paths.length === 1);
    const unfinished = await RawClient.open(t, port);
    unfinished.send("POST /u HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx");
    const idle = await RawClient.open(t, port);
    await waitUntil(() => unfinished.isClosed && idle.isClosed);
    t.false(served.isClosed);
    held.answerAll();
    await waitUntil(() => served.listStatuses()[0] === 200);
});

for (const [name, text] of [
    ["header", "GET /0 HTTP/1.1\r\nHost: a\r\nX: "],
    ["body", "POST /0 HTTP/1.1\r\nHost: a\r\nContent-Length: 9999\r\n\r\n"],
] as const) {
    test(`a ${name} that arrives byte by byte for too long is answered with 408`, async (t) => {
        // Guards against traffic that keeps an unfinished request alive.
        const port = await startEcho(t, { headersTimeoutMs: 300, requestTimeoutMs: 400 });
        const client = await RawClient.open(t, port);
        client.send(text);
        const timer = setInterval(() => client.send("x"), 20);
        t.teardown(() => clearInterval(timer));
        await waitUntil(() => client.isClosed);
        t.deepEqual(client.listStatuses(), [408]);
    });
}

test("a slow client within the time limits is served", async (t) => {
    const port = await startEcho(t, { headersTimeoutMs: 10_000, requestTimeoutMs: 20_000 });
    const client = await RawClient.open(t, port);
    for (const part of [
        "POST /0 HTTP/1.1\r\nHost: a\r\n",
        "Content-Length: 4\r\n\r\n",
        "ab",
        "cd",
    ]) {
        client.send(part);
        await new Promise((resolve) => setTimeout(resolve, 500));
    }
    await waitUntil(() => client.received.includes("/0abcd"));
    t.pass();
});

test("beyond the bound on unsent answers, the reader that has waited longest is closed", async (t) => {
    // Guards against large answers that pile up for clients that don't read them.
    const size = 20_000_000;
    const server = createBoundedServer({ maxUnsentBytes: 2.5 * size }, (_req, res) => {
        res.end("x".repeat(size));
    });
    const port = await startServer(t, server);
    const readers: RawClient[] = [];
    for (let i = 0; i < 3; i++) {
        const reader = await RawClient.open(t, port);
        readers.push(reader);
        reader.send(buildRequests(1));
        await waitUntil(() => reader.received.length > 0);
        reader.socket.pause();
    }
    readers.forEach(({ socket }) => socket.resume());
    await waitUntil(() =>
        readers.every(({ isClosed, received }) => isClosed || received.length > size),
    );
    t.deepEqual(
        readers.map(({ received }) => received.length > size),
        [false, true, true],
    );
});
