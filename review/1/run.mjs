// One client hands in a job that can never be done: a step of 2^64 - 1 tasks. Then the control
// machines are restarted in turn, as planned work. The other clients' accepted jobs must still be
// known, and their states must be told.

import { performance } from "node:perf_hooks";
import process from "node:process";
import { callFront, createConfiguration, createRoute, putConfiguration } from "../lib/client.mjs";
import { CaseNotRunError, runCase } from "../lib/case.mjs";
import { sleep } from "../lib/cluster.mjs";
import { ExecutorPool } from "../lib/executors.mjs";

/** `0`: no disruption; `restart`: the planned restarts without the job that can't be done. */
const TROUBLE = process.env.TROUBLE ?? "1";
const SERVICE = "cerimonia";
const PREFIX = "/arquivo/";
const EXECUTORS = 33;
/** Ordinary jobs; with one job that can't be done beside them, its share is 0.04. */
const JOBS = 24;
const TASKS = 8;
const TASK_MS = 4_000;
const TASK_CPU = 2_000;
const ENDLESS_JOB = "00000000000bad00";
/** What an unsigned 64-bit counter holds that was decremented below 0. */
const ENDLESS_TASKS = 2 ** 64 - 1;
/** The first try and the four retries that the sheet gives to clients. */
const TRIES = 5;
const RESTART_GAP_MS = 2_000;
const RECOVERY_MS = 12_000;
const FINISH_MS = 14_000;

let record = () => {};

function createJob(count) {
    return {
        Spec: JSON.stringify({ ms: TASK_MS }),
        Steps: [{ Count: count, Cpu: TASK_CPU, MemMb: 500, EstMs: TASK_MS }],
    };
}

/** Hands a job in; a request without a clear answer is sent again to another front. */
async function submitJob(cluster, id, count) {
    for (let i = 0; i < TRIES; i++) {
        const address = cluster.frontAddresses[i % cluster.frontAddresses.length];
        const { status } = await callFront(address, "POST", `${PREFIX}${id}`, createJob(count));
        record(`POST ${id} (${count} tasks) answered ${status || "with nothing"}`);
        if (status === 200) {
            return true;
        }
        await sleep(500);
    }
    return false;
}

async function restartInTurn(cluster) {
    for (const name of cluster.names("control")) {
        cluster.signal(name, "SIGTERM");
        await sleep(RESTART_GAP_MS);
    }
}

/** Asks for a job's state until there is an answer, for `FINISH_MS` at most. */
async function readState(cluster, id) {
    const deadlineMs = performance.now() + FINISH_MS;
    let last = "nothing";
    for (let i = 0; performance.now() < deadlineMs; i++) {
        const address = cluster.frontAddresses[i % cluster.frontAddresses.length];
        const { status, body } = await callFront(address, "GET", `${PREFIX}${id}`);
        last = status === 200 ? body.State : `status ${status}`;
        record(`GET ${id} answered ${last}`);
        if (status === 200) {
            return { isKnown: true, last };
        }
        await sleep(1_000);
    }
    return { isKnown: false, last };
}

async function run(cluster, recordLine) {
    record = recordLine;
    await cluster.start();
    const pool = new ExecutorPool({
        service: SERVICE,
        count: EXECUTORS,
        capacity: { Cpu: 16_000, MemMb: 32_768, Gpu: 0 },
        taskCpu: TASK_CPU,
        controlAddresses: cluster.controlAddresses,
    });
    pool.onStart = ({ id }, task, attempt) => record(`${task} run ${attempt} starts on ${id}`);
    pool.onEnd = ({ id }, task, attempt, how) =>
        record(`${task} run ${attempt} ends ${how} on ${id}`);
    try {
        const route = createRoute("r-arquivo", PREFIX, SERVICE, { MaxAttempts: 4, Priority: 1 });
        const configuration = createConfiguration(1, [route], SERVICE);
        if (!(await putConfiguration(cluster.controlAddresses, configuration))) {
            throw new CaseNotRunError("the configuration was not acknowledged");
        }
        await pool.start();
        await sleep(3_000);
        const ids = Array.from({ length: JOBS }, (_none, i) =>
            (0xa000 + i).toString(16).padStart(16, "0"),
        );
        const accepted = await Promise.all(ids.map((id) => submitJob(cluster, id, TASKS)));
        if (accepted.includes(false)) {
            throw new CaseNotRunError("an ordinary job was not accepted");
        }
        if (TROUBLE === "1") {
            await submitJob(cluster, ENDLESS_JOB, ENDLESS_TASKS);
        }
        if (TROUBLE !== "0") {
            await restartInTurn(cluster);
        }
        await sleep(RECOVERY_MS);
        const answers = await Promise.all(ids.map((id) => readState(cluster, id)));
        return judge(cluster, ids, answers);
    } finally {
        pool.stop();
    }
}

function judge(cluster, ids, answers) {
    let isBroken = false;
    answers.forEach(({ isKnown, last }, i) => {
        if (!isKnown) {
            record(
                `LOST: ${ids[i]} was accepted, and its state is not told (last answer: ${last})`,
            );
            isBroken = true;
        }
    });
    for (const name of cluster.names("control")) {
        const count = cluster.exits.filter((exit) => exit.name === name).length;
        record(`${name} ended by itself ${count} times`);
    }
    return isBroken;
}

await runCase(import.meta.url, run);
