import test from "ava";
import { buildSpec } from "../dispatch/_fixtures.ts";
import { createControlMetrics } from "../telemetry/control_metrics.ts";
import { buildLeadership } from "./_fixtures.ts";
import type { CallerAnswer, CallerCall } from "./calls.ts";
import type { Leadership } from "./leadership.ts";
import { MAX_WAITING_SUBMISSIONS } from "./submission_queue.ts";

const JOB_COUNT = 400;

function buildSubmit(number: number): CallerCall {
    const id = number.toString(16).padStart(16, "0");
    // Two of them fill the worker.
    const spec = buildSpec({ needs: { cpu: 8_000, memoryMb: 1, gpu: 0 }, estimateMs: 1_000 });
    return { type: "submit", host: "studio.example", path: `/previews/${id}`, spec, problem: "" };
}

function startLeadership(options: { readonly isAdmissionOn?: boolean } = {}): {
    readonly leadership: Leadership;
    readonly metrics: ReturnType<typeof createControlMetrics>;
    readonly logLines: string[];
} {
    const metrics = createControlMetrics();
    const logLines: string[] = [];
    const { leadership } = buildLeadership({
        waitForLease: () => Promise.resolve(true),
        onStart: () => {},
        onLogLines: (lines) => logLines.push(lines),
        admission: options.isAdmissionOn === true ? "forecast" : undefined,
        isSubmissionBounded: true,
        metrics,
    });
    leadership.start();
    return { leadership, metrics, logLines };
}

function countTypes(answers: readonly CallerAnswer[]): Record<string, number> {
    const counts: Record<string, number> = {};
    answers.forEach(({ type }) => (counts[type] = (counts[type] ?? 0) + 1));
    return counts;
}

test("submissions beyond the bound are refused as not run, and known jobs are not", async (t) => {
    // Guards against a leader that was held up and then handles submissions of callers that have
    // given up; and against an accepted job whose repeated submission is told that it never runs.
    const { leadership, metrics } = startLeadership();
    t.teardown(() => leadership.stop());
    t.is((await leadership.handleCaller(buildSubmit(0))).type, "accepted");
    const numbers = Array.from({ length: JOB_COUNT }, (_unused, i) => i + 1);
    const pending = numbers.map((number) => leadership.handleCaller(buildSubmit(number)));
    const known = leadership.handleCaller(buildSubmit(0));
    const waiting = leadership.handleCaller(buildSubmit(1));
    const answers = await Promise.all(pending);
    t.deepEqual(countTypes(answers), {
        accepted: MAX_WAITING_SUBMISSIONS,
        refused: JOB_COUNT - MAX_WAITING_SUBMISSIONS,
    });
    t.is((await known).type, "accepted");
    t.is((await waiting).type, "accepted");
    const refusedNumber = numbers[answers.findIndex(({ type }) => type === "refused")] ?? 0;
    const state = await leadership.handleCaller({ ...buildSubmit(refusedNumber), type: "state" });
    t.is(state.type, "unknownJob");
    const times = answers.flatMap((answer) =>
        answer.type === "refused" ? [answer.retryAfterMs] : [],
    );
    t.deepEqual([...new Set(times)].sort(), [1_000, 2_000]);
    const { values } = await metrics.unhandledSubmissions.get();
    t.is(values[0]?.value, JOB_COUNT - MAX_WAITING_SUBMISSIONS);
});

test("a cancellation does not overtake the submission of its job", async (t) => {
    // Guards against a caller that is told that its job is unknown before the job is accepted.
    const { leadership } = startLeadership();
    t.teardown(() => leadership.stop());
    const submitted = leadership.handleCaller(buildSubmit(1));
    const cancelled = leadership.handleCaller({ ...buildSubmit(1), type: "cancel" });
    t.is((await submitted).type, "accepted");
    t.is((await cancelled).type, "cancelled");
});

test("a refusal reaches the caller with its time, the metrics and the log", async (t) => {
    // Guards against load shedding that operators can't see.
    const { leadership, metrics, logLines } = startLeadership({ isAdmissionOn: true });
    t.teardown(() => leadership.stop());
    await new Promise((resolve) => setTimeout(resolve, 300));
    const numbers = Array.from({ length: 60 }, (_unused, i) => i);
    const answers = await Promise.all(
        numbers.map((number) => leadership.handleCaller(buildSubmit(number))),
    );
    const refusals = answers.flatMap((answer) => (answer.type === "refused" ? [answer] : []));
    t.true(refusals.length > 0 && refusals.length < numbers.length);
    t.true(refusals.every(({ retryAfterMs }) => retryAfterMs >= 1_000 && retryAfterMs <= 8_000));
    t.true(refusals.every(({ isOverShare }) => isOverShare === undefined));
    const decisions = await metrics.admissionDecisions.get();
    const refused = decisions.values.find(({ labels }) => labels.decision === "refused");
    t.is(refused?.value, refusals.length);
    t.is(refused?.labels.queue, "previews");
    t.regex(await metrics.registry.metrics(), /poplarhead_admission_predicted_seconds_count/);
    await new Promise((resolve) => setTimeout(resolve, 600));
    const line = logLines
        .join("")
        .split("\n")
        .find((text) => text.includes("job refused"));
    for (const field of ["problem", "predictedMs", "objectiveMs", "retryAfterMs"]) {
        t.true(line?.includes(field), field);
    }
});
