// The operator adds and removes routes while clients hand jobs in. A job that was accepted (200) has
// to run, also if its route is removed at the same moment.

import { performance } from "node:perf_hooks";
import process from "node:process";
import { callFront, createConfiguration, createRoute, putConfiguration } from "../lib/client.mjs";
import { CaseNotRunError, runCase } from "../lib/case.mjs";
import { sleep } from "../lib/cluster.mjs";
import { ExecutorPool } from "../lib/executors.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const SERVICE = "cerimonia";
const EXECUTORS = 33;
/** Each change replaces the routes of one generation by those of the next. */
const GENERATIONS = 50;
const ROUTES = 40;
const CHANGE_INTERVAL_MS = 1_000;
/** 37 jobs a second, as in the sheet; a client learns of a removed route this long after the change. */
const JOB_INTERVAL_MS = 27;
const CLIENT_LAG_MS = 200;
const TASKS = 2;
const TASK_MS = 300;
const TASK_CPU = 980;
const FINISH_MS = 14_000;

let record = () => {};

function createPrefix(generation, index) {
    return `/g${generation}-${index}/`;
}

function createRoutes(generation) {
    return Array.from({ length: ROUTES }, (_none, i) =>
        createRoute(`r-${generation}-${i}`, createPrefix(generation, i), SERVICE),
    );
}

async function submitJob(cluster, id, prefix, accepted) {
    const body = {
        Spec: JSON.stringify({ ms: TASK_MS }),
        Steps: [{ Count: TASKS, Cpu: TASK_CPU, MemMb: 500, EstMs: TASK_MS }],
    };
    const address = cluster.frontAddresses[Number.parseInt(id, 16) % cluster.frontAddresses.length];
    record(`POST ${prefix}${id} sent`);
    const { status } = await callFront(address, "POST", `${prefix}${id}`, body);
    record(`POST ${prefix}${id} answered ${status}`);
    if (status === 200) {
        accepted.set(id, { prefix, atMs: performance.now() });
    }
}

/** Sends jobs, each to the next route of the generation that the clients know. */
async function sendJobs(cluster, known, accepted, endAtMs) {
    const pending = [];
    for (let i = 0; performance.now() < endAtMs; i++) {
        const id = (0xc000 + i).toString(16).padStart(16, "0");
        const prefix = createPrefix(known.generation, known.next++ % ROUTES);
        pending.push(submitJob(cluster, id, prefix, accepted));
        await sleep(JOB_INTERVAL_MS);
    }
    await Promise.all(pending);
}

async function changeRoutes(cluster, known) {
    for (let generation = 1; generation <= GENERATIONS; generation++) {
        const version = 10 * generation + (generation % 3);
        const configuration = createConfiguration(version, createRoutes(generation), SERVICE);
        record(`version ${version} sent: generation ${generation} replaces ${generation - 1}`);
        const put = putConfiguration(cluster.controlAddresses, configuration);
        await sleep(CLIENT_LAG_MS);
        const isAcknowledged = await put;
        record(`version ${version} ${isAcknowledged ? "acknowledged" : "not acknowledged"}`);
        Object.assign(known, { generation, next: 0 });
        await sleep(CHANGE_INTERVAL_MS - CLIENT_LAG_MS);
    }
}

async function run(cluster, recordLine) {
    record = recordLine;
    await cluster.start();
    const started = new Set();
    const pool = new ExecutorPool({
        service: SERVICE,
        count: EXECUTORS,
        capacity: { Cpu: 16_000, MemMb: 32_768, Gpu: 0 },
        taskCpu: TASK_CPU,
        controlAddresses: cluster.controlAddresses,
    });
    pool.onStart = ({ id }, task, attempt) => {
        record(`${task} run ${attempt} starts on ${id}`);
        started.add(task);
    };
    pool.onEnd = ({ id }, task, attempt, how) =>
        record(`${task} run ${attempt} ends ${how} on ${id}`);
    try {
        const configuration = createConfiguration(1, createRoutes(0), SERVICE);
        if (!(await putConfiguration(cluster.controlAddresses, configuration))) {
            throw new CaseNotRunError("the configuration was not acknowledged");
        }
        await pool.start();
        await sleep(3_000);
        const known = { generation: 0, next: 0 };
        const accepted = new Map();
        const endAtMs = performance.now() + GENERATIONS * CHANGE_INTERVAL_MS;
        const changes = HAS_TROUBLE ? changeRoutes(cluster, known) : Promise.resolve();
        await sendJobs(cluster, known, accepted, endAtMs);
        await changes;
        await sleep(FINISH_MS);
        return await judge(cluster, pool, accepted, started);
    } finally {
        pool.stop();
    }
}

async function judge(cluster, pool, accepted, started) {
    const runs = pool.executors.reduce((sum, executor) => sum + executor.runs.size, 0);
    record(
        `${accepted.size} jobs accepted; ${runs} tasks at work on ${pool.executors.length} executors`,
    );
    const lost = [...accepted].filter(([id]) => {
        const tasks = Array.from({ length: TASKS }, (_none, i) => `${id}.0.0.${i}`);
        return tasks.some((task) => !started.has(task));
    });
    if (lost.length === 0) {
        return false;
    }
    // The routes come back under other names, so that the state of these jobs can be read.
    const prefixes = [...new Set(lost.map(([, { prefix }]) => prefix))];
    const routes = prefixes.map((prefix, i) => createRoute(`r-again-${i}`, prefix, SERVICE));
    await putConfiguration(cluster.controlAddresses, createConfiguration(100_000, routes, SERVICE));
    for (const [id, { prefix, atMs }] of lost) {
        const { status, body } = await callFront(
            cluster.frontAddresses[0],
            "GET",
            `${prefix}${id}`,
        );
        const state = status === 200 ? body.State : `status ${status}`;
        const seconds = ((performance.now() - atMs) / 1_000).toFixed(1);
        record(`LOST: ${id}, accepted ${seconds} s ago, has never run; its state is ${state}`);
    }
    return true;
}

await runCase(import.meta.url, run);
