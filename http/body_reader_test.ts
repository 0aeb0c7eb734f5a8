import { createServer, type IncomingMessage } from "node:http";
import test, { type ExecutionContext } from "ava";
import { RawClient, startServer, waitUntil } from "./_fixtures.ts";
import { BodyReader, type BodyReaderOptions } from "./body_reader.ts";

const MAX_BODY_BYTES = 100_000;

type Handler = (text: string, request: IncomingMessage) => string | Promise<string>;

interface Service {
    readonly reader: BodyReader;
    readonly port: number;
}

/** Starts a server that answers with the handler's result, or with 500 and the error's name. */
async function startService(
    t: ExecutionContext,
    options: BodyReaderOptions,
    handle: Handler = (text) => text,
): Promise<Service> {
    const reader = new BodyReader(options);
    const server = createServer((req, res) => {
        reader
            .handleBody(req, MAX_BODY_BYTES, (text) => handle(text, req))
            .then(
                (answer) => res.writeHead(200).end(answer),
                (error: Error) => res.writeHead(500).end(error.name),
            );
    });
    return { reader, port: await startServer(t, server) };
}

function buildHead(headers: string): string {
    return `POST / HTTP/1.1\r\nHost: a\r\n${headers}\r\n\r\n`;
}

function buildRequest(body: string): string {
    return buildHead(`Content-Length: ${Buffer.byteLength(body)}`) + body;
}

/** A handler whose calls last until they are released. */
class HeldHandler {
    readonly started: string[] = [];
    readonly #releases: (() => void)[] = [];

    readonly handle = async (text: string): Promise<string> => {
        this.started.push(text);
        await new Promise<void>((resolve) => this.#releases.push(resolve));
        return text;
    };

    releaseAll(): void {
        this.#releases.splice(0).forEach((release) => release());
    }
}

for (const [name, chunkSize] of [
    ["tiny", 1],
    ["odd", 777],
    ["large", 70_000],
] as const) {
    // Guards against bytes lost or characters split where a body is put together.
    test(`a body at the limit in ${name} chunks is read in full`, async (t) => {
        const { port, reader } = await startService(t, {}, (text) => String(text === body));
        const body = "äß€x".repeat(MAX_BODY_BYTES / 8);
        const bytes = Buffer.from(body);
        t.is(bytes.length, MAX_BODY_BYTES);
        const client = await RawClient.open(t, port);
        client.send(buildHead("Transfer-Encoding: chunked"));
        for (let i = 0; i < bytes.length; i += chunkSize) {
            const chunk = bytes.subarray(i, i + chunkSize);
            client.send(Buffer.concat([Buffer.from(`${chunk.length.toString(16)}\r\n`), chunk]));
            client.send("\r\n");
        }
        client.send("0\r\n\r\n");
        await waitUntil(() => client.received.includes("true"));
        t.is(reader.bufferedBytes, 0);
    });
}

test("a body over the limit is refused, and the connection serves the next request", async (t) => {
    const { port, reader } = await startService(t, {});
    const client = await RawClient.open(t, port);
    client.send(buildRequest("x".repeat(MAX_BODY_BYTES + 1)));
    client.send(buildRequest("next"));
    await waitUntil(() => client.received.includes("next"));
    t.deepEqual(client.listStatuses(), [500, 200]);
    t.regex(client.received, /BodyTooLargeError/);
    t.is(reader.bufferedBytes, 0);
});

test("without memory, the body that began first is refused and later ones are read", async (t) => {
    // Guards against clients that leave bodies unfinished and so keep others out.
    const { port, reader } = await startService(t, { maxBufferedBytes: 100_000 });
    const unfinished: RawClient[] = [];
    for (let i = 0; i < 3; i++) {
        const client = await RawClient.open(t, port);
        client.send(buildHead("Content-Length: 50001") + "x".repeat(50_000));
        unfinished.push(client);
        const expectedBytes = Math.min(i + 1, 2) * 50_000;
        await waitUntil(() => reader.bufferedBytes >= expectedBytes);
    }
    const ordinary = await RawClient.open(t, port);
    ordinary.send(buildRequest("ordinary"));
    await waitUntil(() => ordinary.received.includes("ordinary"));
    t.true(unfinished[0]?.received.includes("BodyRefusedError"));
    t.true(reader.bufferedBytes <= 100_000);
    unfinished[2]?.send("x");
    await waitUntil(() => unfinished[2]?.listStatuses()[0] === 200);
});

test("an announced size alone reserves no memory", async (t) => {
    const { port, reader } = await startService(t, {});
    const client = await RawClient.open(t, port);
    client.send(`${buildHead(`Content-Length: ${MAX_BODY_BYTES}`)}x`);
    await waitUntil(() => reader.bufferedBytes > 0);
    t.true(reader.bufferedBytes < 1_000);
});

test("the memory of a body whose connection breaks is free again", async (t) => {
    const reader = new BodyReader();
    const errors: string[] = [];
    const server = createServer((req) => {
        reader
            .handleBody(req, MAX_BODY_BYTES, () => {})
            .catch((error: Error) => {
                errors.push(error.name);
            });
    });
    const port = await startServer(t, server);
    const client = await RawClient.open(t, port);
    client.send(buildHead("Content-Length: 50001") + "x".repeat(50_000));
    await waitUntil(() => reader.bufferedBytes >= 50_000);
    client.socket.destroy();
    await waitUntil(() => reader.bufferedBytes === 0 && errors.length > 0);
    t.deepEqual(errors, ["BodyAbortedError"]);
});

test("bodies beyond the bound wait, the smallest goes first, and small ones aren't held up", async (t) => {
    // Guards against any number of bodies that are decoded at the same time.
    const handler = new HeldHandler();
    const { port, reader } = await startService(t, { maxHandledBytes: 45_000 }, handler.handle);
    const send = async (sizeBytes: number): Promise<void> => {
        const client = await RawClient.open(t, port);
        client.send(buildRequest("x".repeat(sizeBytes)));
    };
    await send(40_000);
    await waitUntil(() => handler.started.length === 1);
    await send(30_000);
    await waitUntil(() => reader.bufferedBytes >= 30_000);
    await send(20_000);
    await waitUntil(() => reader.bufferedBytes >= 50_000);
    await send(100);
    await waitUntil(() => handler.started.length === 2);
    const listStarted = (): number[] => handler.started.map(({ length }) => length);
    t.deepEqual(listStarted(), [40_000, 100]);
    handler.releaseAll();
    await waitUntil(() => handler.started.length === 3);
    t.deepEqual(listStarted(), [40_000, 100, 20_000]);
    handler.releaseAll();
    await waitUntil(() => handler.started.length === 4);
    handler.releaseAll();
});

test("a body larger than what is handled at the same time is handled alone", async (t) => {
    const { port } = await startService(t, { maxHandledBytes: 1_000 });
    const client = await RawClient.open(t, port);
    client.send(buildRequest("x".repeat(MAX_BODY_BYTES)));
    await waitUntil(() => client.listStatuses()[0] === 200);
    t.pass();
});

test("a body whose connection breaks while it waits is not handled", async (t) => {
    const handler = new HeldHandler();
    const { port, reader } = await startService(t, { maxHandledBytes: 1_000 }, handler.handle);
    const [first, second] = [await RawClient.open(t, port), await RawClient.open(t, port)];
    first.send(buildRequest("a".repeat(20_000)));
    await waitUntil(() => handler.started.length === 1);
    second.send(buildRequest("b".repeat(20_000)));
    await waitUntil(() => reader.bufferedBytes >= 20_000);
    second.socket.destroy();
    await new Promise((resolve) => setTimeout(resolve, 100));
    handler.releaseAll();
    await waitUntil(() => reader.bufferedBytes === 0);
    t.is(handler.started.length, 1);
});
