/* global URL, process */
// A wide gang that waits beside a lasting task, and small jobs of a less urgent queue after it.
import { Cell, createConfiguration, HOST, runCase, sleep } from "../lib-2/harness.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const EXECUTORS = 8;
const FINISH_MS = 14_000;
const IDLE_MS = 3_000;
const REINDEX = "/lohu930/";
const GALLERY = "/pufi791/";
const LASTING = "1a0e7a21d94b36f8";
const GANG = "2b0e7a21d94b36f8";
const SMALL = ["3c0e7a21d94b36f8", "4d0e7a21d94b36f8", "5e0e7a21d94b36f8"];
const cell = new Cell({ recordFile: new URL("./record.txt", import.meta.url).pathname, octet: 66 });

async function submit(path, spec, step) {
    const { status } = await cell.ask("POST", path, HOST, {
        Spec: JSON.stringify(spec),
        Steps: [step],
    });
    if (status !== 200) {
        throw new Error(`${path} was not accepted`);
    }
}

function listUnstarted() {
    return SMALL.filter(
        (job) => !cell.events.some(({ event, task }) => event === "start" && task.startsWith(job)),
    );
}

await runCase(cell, async () => {
    const isConfigured = await cell.configure(
        createConfiguration([
            { name: "r-3hwrr6x", prefix: REINDEX, priority: 1, maxAttempts: 3 },
            { name: "r-73d3zji", prefix: GALLERY, priority: 2, maxAttempts: 2 },
        ]),
    );
    if (!isConfigured) {
        throw new Error("the configuration was not acknowledged");
    }
    for (let i = 1; i <= EXECUTORS; i++) {
        cell.startExecutor(i);
    }
    await sleep(4000);
    await submit(
        GALLERY + LASTING,
        { perpetual: true },
        { Count: 1, Cpu: 1700, MemMb: 3600, EstMs: 1000, Perpetual: true },
    );
    await sleep(2000);
    if (HAS_TROUBLE) {
        await submit(
            REINDEX + GANG,
            { ms: 4200 },
            { Count: 16, Cpu: 7600, MemMb: 9100, EstMs: 4200, Gang: true },
        );
        await sleep(1000);
    }
    for (const job of SMALL) {
        await submit(
            GALLERY + job,
            { ms: 1000 },
            { Count: 2, Cpu: 1700, MemMb: 3600, EstMs: 1000 },
        );
    }
    await sleep(FINISH_MS + IDLE_MS);
    const unstarted = listUnstarted();
    const states = [];
    for (const job of SMALL) {
        states.push((await cell.ask("GET", GALLERY + job, HOST)).body?.State);
    }
    let afterwards = "";
    if (HAS_TROUBLE) {
        // Shows that they don't only start late, and what held them up.
        await sleep(20_000);
        const later = listUnstarted().length;
        await cell.ask("DELETE", REINDEX + GANG, HOST);
        await sleep(4000);
        const started = SMALL.length - listUnstarted().length;
        afterwards = `; ${later} had not started 20 s later, ${started} had 4 s after the gang was cancelled`;
    }
    const broken = unstarted.length > 0;
    return {
        broken,
        text: [
            `${broken ? "LOST broken" : "held"}: ${(FINISH_MS + IDLE_MS) / 1000} s after the traffic`,
            `${unstarted.length} of ${SMALL.length} small jobs had never started, shown as ${states.join(", ")},`,
            `with 1.7 of ${EXECUTORS * 16} cores in use${afterwards}`,
        ].join(" "),
    };
});
