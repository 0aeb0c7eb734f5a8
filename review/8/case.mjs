/* global performance */
import {
    HAS_TROUBLE,
    CannotRunError,
    createJobId,
    runCase,
    sleep,
    startDeployment,
    waitFor,
} from "../lib-3/harness.mjs";

const TASK_MS = 6_000;
const CRASHES = 4;

await runCase(import.meta.url, async ({ record, onEnd }) => {
    const { executors, client } = await startDeployment({
        record,
        onEnd,
        net: 71,
        executorCount: 8,
        executor: { taskMs: () => TASK_MS },
    });
    const id = createJobId();
    const job = { Spec: "preview", Steps: [{ Count: 1, Cpu: 1_000, MemMb: 256, EstMs: TASK_MS }] };
    const statuses = await client.submit(id, job);
    if (!statuses.some((status) => status >= 200 && status < 300)) {
        throw new CannotRunError(`the job was not accepted: ${statuses}`);
    }
    for (let crash = 1; HAS_TROUBLE && crash <= CRASHES; crash++) {
        const findHost = () => executors.find((e) => e.isUp && e.runs.size > 0);
        if (!(await waitFor(findHost, 20_000))) {
            break;
        }
        await sleep(2_000);
        const host = findHost();
        if (host === undefined) {
            break;
        }
        host.crash();
        await sleep(2_000);
        await host.start();
    }
    const deadlineMs = performance.now() + 40_000;
    let state;
    while (performance.now() < deadlineMs) {
        state = await client.readState(id);
        if (state === "failed" || state === "complete") {
            break;
        }
        await sleep(500);
    }
    const failedRuns = executors
        .flatMap((e) => e.ends ?? [])
        .filter(([, , , how]) => how === "failed");
    record.add(`job ${id}: ${state}; runs that ended failed: ${failedRuns.length}`);
    return state === "failed"
        ? `job ${id} is shown as failed, and no run of it ended failed`
        : undefined;
});
