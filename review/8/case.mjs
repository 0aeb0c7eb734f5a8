/* global performance */
import {
    BOUNDS,
    CannotRunError,
    createJobId,
    HAS_TROUBLE,
    PREFIX,
    runCase,
    sleep,
    startDeployment,
} from "../lib-3/harness.mjs";

const TASK_MS = 15_000;
const FREEZE_MS = 4_000;
/** Clients that give up early; with `give_up`, within half of their objective. */
const CLIENTS = 3;
const PATIENCE_MS = 200;

await runCase(import.meta.url, async ({ record, onEnd }) => {
    const { deployment, executors, client } = await startDeployment({
        record,
        onEnd,
        net: 81,
        frontCount: 9,
        executor: { taskMs: () => TASK_MS },
    });
    const [first, second] = deployment.fronts;
    const ids = Array.from({ length: CLIENTS }, () => createJobId());
    const job = {
        Spec: "composite",
        Steps: [{ Count: 2, Cpu: 1_000, MemMb: 256, EstMs: TASK_MS }],
    };
    const frozenAtMs = performance.now();
    if (HAS_TROUBLE) {
        deployment.signal("front-1", "SIGSTOP");
        await sleep(50);
    }
    const acknowledgedAtMs = new Map();
    for (const id of ids) {
        const path = `${PREFIX}${id}`;
        await client.call("POST", path, job, { address: first, timeoutMs: PATIENCE_MS });
        record.add("client: gives up, and cancels");
        const { status } = await client.call("DELETE", path, undefined, { address: second });
        if (status !== 200 && status !== 410) {
            throw new CannotRunError(`the cancelling was not acknowledged: ${status}`);
        }
        acknowledgedAtMs.set(id, performance.now());
    }
    if (HAS_TROUBLE) {
        await sleep(FREEZE_MS - (performance.now() - frozenAtMs));
        deployment.signal("front-1", "SIGCONT");
    }
    // Long after the freeze, so that no disruption is near.
    await sleep(8_000);
    for (const id of ids) {
        await client.readState(id, { address: second });
    }
    const late = executors
        .flatMap((executor) => executor.starts)
        .filter(({ task, atMs }) => {
            const acknowledged = acknowledgedAtMs.get(task.split(".")[0]);
            return acknowledged !== undefined && atMs > acknowledged + BOUNDS.cancel_ms;
        });
    const running = executors.flatMap((executor) => [...executor.runs.keys()]);
    record.add(
        `starts later than cancel_ms after the acknowledgement: ${late.length}; ` +
            `tasks at work now: ${running.length}`,
    );
    return late.length > 0 || running.length > 0
        ? `${late.length} tasks of cancelled jobs started later than cancel_ms, ${running.length} run on`
        : undefined;
});
