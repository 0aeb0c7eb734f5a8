/* global URL, process */
// A heartbeat of another writer whose address is no address, beside sound executors.
import { call, Cell, createConfiguration, HOST, runCase, sleep } from "../lib-2/harness.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const EXECUTORS = 4;
const FINISH_MS = 14_000;
const PREFIX = "/lohu930/";
const FIRST = "1a0e7a21d94b36f8";
const LATER = ["2b0e7a21d94b36f8", "3c0e7a21d94b36f8"];
const cell = new Cell({ recordFile: new URL("./record.txt", import.meta.url).pathname, octet: 64 });

function createBeat() {
    return {
        Service: "listings",
        Address: `127.${cell.octet}.3.99:80800`,
        Zone: "litoral-a",
        Version: "v1",
        Slots: 8,
        State: "ready",
        ColdLeftMs: 0,
        Capacity: { Cpu: 16000, MemMb: 65536, Gpu: 0 },
        Labels: ["a", "r-0"],
        ClockMs: 482113,
        Seq: 4,
    };
}

await runCase(cell, async () => {
    const route = { name: "r-3hwrr6x", prefix: PREFIX, priority: 1, maxAttempts: 3 };
    if (!(await cell.configure(createConfiguration([route])))) {
        throw new Error("the configuration was not acknowledged");
    }
    for (let i = 1; i <= EXECUTORS; i++) {
        cell.startExecutor(i);
    }
    await sleep(4000);
    const accepted = [];
    const submit = async (job, ms, seconds) => {
        const { status } = await cell.ask(
            "POST",
            PREFIX + job,
            HOST,
            {
                Spec: JSON.stringify({ ms }),
                Steps: [{ Count: 9, Cpu: 4500, MemMb: 9100, EstMs: ms }],
            },
            { seconds },
        );
        if (status === 200) {
            accepted.push(job);
        }
    };
    await submit(FIRST, 4000, 15);
    if (accepted.length === 0) {
        throw new Error("the first job was not accepted");
    }
    await sleep(1000);
    if (HAS_TROUBLE) {
        const body = createBeat();
        const { status } = await call(
            cell.controlAddresses[0],
            "PUT",
            "/poplarhead/instances/i-7f3a91c2",
            { body },
        );
        cell.record(`heartbeat of another writer: ${status} to ${JSON.stringify(body)}`);
    }
    for (const job of LATER) {
        await submit(job, 1000, 10);
    }
    await sleep(FINISH_MS);
    const states = [];
    for (const job of accepted) {
        const { body, status, error } = await cell.ask("GET", PREFIX + job, HOST, undefined, {
            seconds: 9,
        });
        states.push(body?.State ?? `no answer (${status || error})`);
    }
    const ownEnds = [...cell.daemons.values()].filter(({ ownEnds }) => ownEnds > 0);
    const broken = states.some((state) => state !== "complete");
    return {
        broken,
        text: [
            `${broken ? "LOST broken" : "held"}: ${accepted.length} of ${1 + LATER.length} jobs were accepted,`,
            `${FINISH_MS / 1000} s after the traffic they are shown as ${states.join(", ")};`,
            `processes that ended by themselves: ${ownEnds.map((d) => `${d.name} ${d.ownEnds} times`).join(", ") || "none"}`,
        ].join(" "),
    };
});
