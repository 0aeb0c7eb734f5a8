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
/** A client that gives up early; with `give_up`, within half of its objective. */
const PATIENCE_MS = 300;

await runCase(import.meta.url, async ({ record, onEnd }) => {
    const { deployment, executors, client } = await startDeployment({
        record,
        onEnd,
        net: 81,
        frontCount: 9,
        executor: { taskMs: () => TASK_MS },
    });
    const [first, second] = deployment.fronts;
    const id = createJobId();
    const job = {
        Spec: "composite",
        Steps: [{ Count: 2, Cpu: 1_000, MemMb: 256, EstMs: TASK_MS }],
    };
    const frozenAtMs = performance.now();
    if (HAS_TROUBLE) {
        deployment.signal("front-1", "SIGSTOP");
        await sleep(50);
    }
    await client.call("POST", `${PREFIX}${id}`, job, { address: first, timeoutMs: PATIENCE_MS });
    record.add("client: gives up, and cancels");
    const { status } = await client.call("DELETE", `${PREFIX}${id}`, undefined, {
        address: second,
    });
    if (status !== 200 && status !== 410) {
        throw new CannotRunError(`the cancelling was not acknowledged: ${status}`);
    }
    const acknowledgedAtMs = performance.now();
    if (HAS_TROUBLE) {
        await sleep(FREEZE_MS - (performance.now() - frozenAtMs));
        deployment.signal("front-1", "SIGCONT");
    }
    // Long after the freeze, so that no disruption is near.
    await sleep(8_000);
    await client.readState(id, { address: second });
    const late = executors
        .flatMap((executor) => executor.starts)
        .filter(
            ({ task, atMs }) => task.startsWith(id) && atMs > acknowledgedAtMs + BOUNDS.cancel_ms,
        );
    const running = executors.flatMap((executor) => [...executor.runs.keys()]);
    record.add(
        `starts later than cancel_ms after the acknowledgement: ${late.length}; ` +
            `tasks at work now: ${running.length}`,
    );
    return late.length > 0 || running.length > 0
        ? `${late.length} tasks of a cancelled job started later than cancel_ms, ${running.length} run on`
        : undefined;
});
