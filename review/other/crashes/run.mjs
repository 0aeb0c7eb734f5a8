// Executors crash and come back while healthy tasks run. A job of which no task ever ended `failed`
// must not be shown as `failed`.

import { performance } from "node:perf_hooks";
import process from "node:process";
import {
    callFront,
    createConfiguration,
    createRoute,
    putConfiguration,
} from "../../lib/client.mjs";
import { CaseNotRunError, runCase } from "../../lib/case.mjs";
import { sleep } from "../../lib/cluster.mjs";
import { ExecutorPool } from "../../lib/executors.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const SERVICE = "cerimonia";
const PREFIX = "/homenagem/";
/** As in the sheet of smcc-luto: 33 executors of 16 cores, jobs of 10 tasks of at most 8.4 s. */
const EXECUTORS = 33;
/** Jobs come in waves, so that tasks are at work at each crash. */
const WAVES = 4;
const JOBS_PER_WAVE = 25;
const WAVE_INTERVAL_MS = 12_000;
const TASKS = 10;
const TASK_MS = 8_400;
const TASK_CPU = 980;
/** Higher than the runs that any task loses to a crash before its job is given up. */
const MAX_ATTEMPTS = 6;
/** Each crash takes 4 of 33 executors (share 0.12; the site file names 0.14) for 1 s. */
const CRASHED_EXECUTORS = 4;
const DOWN_MS = 1_000;
const CRASH_INTERVAL_MS = 2_000;
const CRASH_COUNT = 26;
const SETTLE_MS = 90_000;
const FINAL_STATES = new Set(["complete", "failed", "cancelled"]);

let record = () => {};

/** A small generator, so that each run crashes the same executors. */
let seed = 7;
function draw(limit) {
    seed = (Math.imul(seed, 1_103_515_245) + 12_345) >>> 0;
    return Math.floor((seed / 2 ** 32) * limit);
}

async function crashExecutors(pool) {
    for (let i = 0; i < CRASH_COUNT; i++) {
        const up = pool.executors.filter(({ isUp }) => isUp);
        const chosen = [];
        while (chosen.length < CRASHED_EXECUTORS) {
            chosen.push(...up.splice(draw(up.length), 1));
        }
        for (const executor of chosen) {
            record(
                `executor ${executor.id} at ${executor.address} crashes with ${executor.runs.size} runs`,
            );
            executor.crash();
        }
        await sleep(DOWN_MS);
        await Promise.all(chosen.map((executor) => executor.start()));
        await sleep(CRASH_INTERVAL_MS - DOWN_MS);
    }
}

async function submitJob(cluster, id) {
    const body = {
        Spec: JSON.stringify({ ms: TASK_MS }),
        Steps: [{ Count: TASKS, Cpu: TASK_CPU, MemMb: 500, EstMs: TASK_MS }],
    };
    for (let i = 0; i < 10; i++) {
        const address = cluster.frontAddresses[i % cluster.frontAddresses.length];
        const { status } = await callFront(address, "POST", `${PREFIX}${id}`, body);
        record(`POST ${id} answered ${status}`);
        if (status === 200) {
            return true;
        }
        await sleep(500);
    }
    return false;
}

/** Hands the jobs in; the ids of those that are accepted are added to `ids`. */
async function submitWaves(cluster, ids) {
    for (let wave = 0; wave < WAVES; wave++) {
        for (let i = 0; i < JOBS_PER_WAVE; i++) {
            const id = (0xa000 + 0x100 * wave + i).toString(16).padStart(16, "0");
            if (await submitJob(cluster, id)) {
                ids.push(id);
            }
        }
        await sleep(WAVE_INTERVAL_MS);
    }
}

async function readState(cluster, id, i) {
    const address = cluster.frontAddresses[i % cluster.frontAddresses.length];
    const { status, body } = await callFront(address, "GET", `${PREFIX}${id}`);
    return status === 200 ? body.State : `status ${status}`;
}

async function run(cluster, recordLine) {
    record = recordLine;
    await cluster.start();
    const failedEnds = new Map();
    const goneRuns = new Map();
    const pool = new ExecutorPool({
        service: SERVICE,
        count: EXECUTORS,
        capacity: { Cpu: 16_000, MemMb: 32_768, Gpu: 0 },
        taskCpu: TASK_CPU,
        controlAddresses: cluster.controlAddresses,
    });
    pool.onStart = ({ id }, task, attempt) => record(`${task} run ${attempt} starts on ${id}`);
    pool.onGone = ({ id }, task, attempt) => {
        record(`${task} run ${attempt} is gone with ${id}`);
        goneRuns.set(task, (goneRuns.get(task) ?? 0) + 1);
    };
    pool.onEnd = ({ id }, task, attempt, how) => {
        record(`${task} run ${attempt} ends ${how} on ${id}`);
        if (how === "failed") {
            failedEnds.set(task, (failedEnds.get(task) ?? 0) + 1);
        }
    };
    try {
        const route = createRoute("r-homenagem", PREFIX, SERVICE, { MaxAttempts: MAX_ATTEMPTS });
        const configuration = createConfiguration(1, [route], SERVICE);
        if (!(await putConfiguration(cluster.controlAddresses, configuration))) {
            throw new CaseNotRunError("the configuration was not acknowledged");
        }
        await pool.start();
        await sleep(3_000);
        const ids = [];
        const waves = submitWaves(cluster, ids);
        const crashes = HAS_TROUBLE ? crashExecutors(pool) : Promise.resolve();
        const states = new Map();
        const deadlineMs = performance.now() + SETTLE_MS;
        for (let i = 0; performance.now() < deadlineMs; i++) {
            const open = ids.filter((id) => !FINAL_STATES.has(states.get(id)));
            if (open.length === 0 && ids.length === WAVES * JOBS_PER_WAVE) {
                break;
            }
            for (const id of open) {
                const state = await readState(cluster, id, i);
                if (state !== states.get(id)) {
                    record(`GET ${id} answered ${state}`);
                    states.set(id, state);
                }
            }
            await sleep(500);
        }
        await waves;
        await crashes;
        return judge(ids, states, failedEnds, goneRuns);
    } finally {
        pool.stop();
    }
}

function judge(ids, states, failedEnds, goneRuns) {
    let isBroken = false;
    for (const id of ids) {
        const failures = [...failedEnds].filter(([task]) => task.startsWith(id)).length;
        if (states.get(id) === "failed" && failures === 0) {
            const gone = [...goneRuns]
                .filter(([task]) => task.startsWith(id))
                .map(([, count]) => count);
            const most = Math.max(0, ...gone);
            record(
                `LOST: ${id} is shown as failed; no run of it ended failed (most gone runs of a task: ${most})`,
            );
            isBroken = true;
        }
    }
    const counts = {};
    states.forEach((state) => (counts[state] = (counts[state] ?? 0) + 1));
    record(`states at the end: ${JSON.stringify(counts)}`);
    return isBroken;
}

await runCase(import.meta.url, run);
