/* global Buffer, clearTimeout, performance, process, setInterval, setTimeout */
// One executor of the users' platform as a process of its own, after PROTOCOL.md ("Running tasks").
// Its configuration arrives as JSON in argv[2]; it writes one JSON line for each event to stdout.
// A task's `Spec` is a JSON text: {"ms": duration} and, for tests, {"ends": "done" | "failed"}.
import { createServer, request } from "node:http";

const config = JSON.parse(process.argv[2]);
const {
    id,
    host,
    port,
    controls,
    service,
    zone,
    rack,
    capacity,
    heartbeatMs,
    holdMaxMs,
    stopMs,
    born,
} = config;
/** What the test sets over stdin: {"cut": true} drops all traffic, {"late": share} leaves orders unanswered. */
const mode = { cut: false, late: 0, draining: false };
let input = "";
process.stdin.on("data", (chunk) => {
    const lines = (input + chunk).split("\n");
    input = lines.pop();
    lines.forEach((line) => {
        Object.assign(mode, JSON.parse(line));
        if (mode.draining && state === "ready") {
            state = "draining";
            void beat();
        }
    });
});
process.stdin.on("end", () => process.exit(0));
const startedAt = performance.now();
const clockMs = () => Math.floor(performance.now() - startedAt);
const runs = new Map();
const highestEnded = new Map();
let ended = [];
let endCount = 0;
let savedCount = 0;
let highestFence = 0;
let leaseUntil = -1;
let sequence = 0;
let state = "ready";
let heartbeatAddress;
const waiters = new Set();

function tell(event, fields = {}) {
    process.stdout.write(`${JSON.stringify({ at: Date.now(), executor: id, event, ...fields })}\n`);
}

function endRun(run, how) {
    clearTimeout(run.timer);
    runs.delete(run.task);
    highestEnded.set(run.task, Math.max(highestEnded.get(run.task) ?? 0, run.attempt));
    endCount += 1;
    const saved = run.saves ? `${run.task}/${run.attempt}/${(savedCount += 1)}` : "";
    ended.push([endCount, run.task, run.attempt, how, saved]);
    tell("end", { n: endCount, task: run.task, attempt: run.attempt, how, saved });
    [...waiters].forEach((wake) => wake());
}

function extendLease(untilMs) {
    if (typeof untilMs === "number") {
        leaseUntil = Math.max(leaseUntil, Math.min(untilMs, clockMs() + holdMaxMs));
    }
}

setInterval(() => {
    if (runs.size > 0 && clockMs() > leaseUntil) {
        [...runs.values()].forEach((run) => endRun(run, "lapsed"));
    }
}, 20);

function answer(res, status, body) {
    if (mode.cut || res.isLate) {
        return;
    }
    const text = JSON.stringify(body);
    res.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
    });
    res.end(text);
}

function percentOf(run) {
    return run.perpetual
        ? 100
        : Math.min(99, Math.floor((100 * (performance.now() - run.startedAt)) / run.ms));
}

function handleStart(body, res) {
    if (!(body.UntilMs > clockMs())) {
        answer(res, 409, { ClockMs: clockMs(), Reason: "late" });
        return;
    }
    extendLease(body.UntilMs);
    const running = runs.get(body.Task);
    if (running !== undefined && running.attempt === body.Attempt) {
        answer(res, 200, { ClockMs: clockMs() });
        return;
    }
    if (body.Attempt <= (highestEnded.get(body.Task) ?? 0) || running !== undefined) {
        answer(res, 409, { ClockMs: clockMs(), Reason: "old" });
        return;
    }
    const spec = JSON.parse(body.Spec);
    const run = {
        task: body.Task,
        attempt: body.Attempt,
        startedAt: performance.now(),
        ms: spec.ms,
        perpetual: spec.perpetual === true,
        saves: spec.saves === true,
        timer: undefined,
    };
    const ends = body.Attempt <= (spec.fails ?? 0) ? "failed" : (spec.ends ?? "done");
    runs.set(run.task, run);
    tell("start", {
        task: run.task,
        attempt: run.attempt,
        fence: body.Fence,
        spec: body.Spec,
        checkpoint: body.LastCheckpoint ?? "",
    });
    if (!run.perpetual || ends === "failed") {
        run.timer = setTimeout(() => endRun(run, ends), run.ms);
    }
    answer(res, 200, { ClockMs: clockMs() });
}

function handleStop(body, res) {
    const run = runs.get(body.Task);
    if (run !== undefined && run.attempt === body.Attempt) {
        setTimeout(
            () => runs.get(run.task) === run && endRun(run, "stopped"),
            Math.min(150, stopMs),
        );
    } else {
        highestEnded.set(body.Task, Math.max(highestEnded.get(body.Task) ?? 0, body.Attempt));
    }
    tell("stop", { task: body.Task, attempt: body.Attempt });
    answer(res, 200, { ClockMs: clockMs() });
}

async function handleHold(body, res) {
    extendLease(body.UntilMs);
    const cursor = body.AckCursor ?? 0;
    const acknowledged = ended.filter(([n]) => n <= cursor);
    if (acknowledged.length > 0) {
        tell("acknowledged", {
            upTo: cursor,
            tasks: acknowledged.map(([, task, attempt, how]) => [task, attempt, how]),
        });
    }
    ended = ended.filter(([n]) => n > cursor);
    if (ended.length === 0 && (body.WaitMs ?? 0) > 0) {
        await new Promise((resolve) => {
            const finish = () => {
                clearTimeout(timer);
                waiters.delete(finish);
                resolve();
            };
            const timer = setTimeout(finish, Math.min(2000, body.WaitMs));
            waiters.add(finish);
        });
    }
    answer(res, 200, {
        ClockMs: clockMs(),
        Running: [...runs.values()].map((run) => [
            run.task,
            run.attempt,
            run.checkpoint ?? "",
            percentOf(run),
            0,
        ]),
        Ended: ended.slice(0, 500),
        ...(born === undefined ? {} : { born }),
    });
}

const server = createServer((req, res) => {
    if (mode.cut) {
        return;
    }
    const chunks = [];
    req.on("data", (chunk) => chunks.push(chunk));
    req.on("error", () => {});
    req.on("end", () => {
        const expected = req.headers["x-poplarhead-expect-instance"];
        if (req.method !== "POST") {
            answer(res, req.url === "/health" ? 200 : 404, {});
            return;
        }
        if (expected !== undefined && expected !== id) {
            answer(res, 421, { ClockMs: clockMs() });
            return;
        }
        if (
            mode.late > 0 &&
            req.url !== "/poplarhead/hold" &&
            Math.random() < mode.late &&
            res.isLate !== true
        ) {
            res.isLate = true;
            const delayMs = 2000 + 10_000 * Math.random();
            tell("late", { url: req.url, delayMs: Math.round(delayMs) });
            setTimeout(() => handleBody(req, res, chunks), delayMs);
            return;
        }
        handleBody(req, res, chunks);
    });
});

function handleBody(req, res, chunks) {
    let body;
    try {
        body = JSON.parse(Buffer.concat(chunks).toString("utf8"));
    } catch {
        answer(res, 400, { ClockMs: clockMs() });
        return;
    }
    const fence = body.Fence ?? 0;
    if (fence < highestFence) {
        answer(res, 409, { ClockMs: clockMs(), Reason: "fence" });
        return;
    }
    highestFence = fence;
    if (req.url === "/poplarhead/run-start") {
        handleStart(body, res);
    } else if (req.url === "/poplarhead/run-stop") {
        handleStop(body, res);
    } else if (req.url === "/poplarhead/hold") {
        void handleHold(body, res);
    } else if (req.url === "/poplarhead/pace") {
        tell("pace", { task: body.Task, percent: body.Percent });
        answer(res, 200, { ClockMs: clockMs() });
    } else {
        answer(res, 404, {});
    }
}
server.keepAliveTimeout = 60_000;

function put(address) {
    return new Promise((resolve) => {
        const [hostname, targetPort] = address.split(":");
        sequence += 1;
        const text = JSON.stringify({
            Service: service,
            Address: `${host}:${port}`,
            Zone: zone,
            Version: "v1",
            Slots: 8,
            State: state,
            ColdLeftMs: 0,
            Capacity: capacity,
            Labels: config.labels ?? ["a", rack],
            ClockMs: clockMs(),
            Seq: sequence,
            Machine: config.machine,
            ...(state === "draining" ? { RemainingMs: 3000 } : {}),
            ...(born === undefined ? {} : { born }),
        });
        const req = request(
            {
                host: hostname,
                port: targetPort,
                method: "PUT",
                path: `/poplarhead/instances/${id}`,
                agent: false,
                timeout: 1000,
                headers: {
                    "content-type": "application/json",
                    "content-length": Buffer.byteLength(text),
                },
            },
            (res) => {
                const parts = [];
                res.on("data", (part) => parts.push(part));
                res.on("error", () => resolve(undefined));
                res.on("end", () => {
                    try {
                        resolve(
                            res.statusCode === 200
                                ? JSON.parse(Buffer.concat(parts).toString() || "{}")
                                : undefined,
                        );
                    } catch {
                        resolve(undefined);
                    }
                });
            },
        );
        req.on("timeout", () => req.destroy());
        req.on("error", () => resolve(undefined));
        req.end(text);
    });
}

async function beat() {
    if (mode.cut) {
        return;
    }
    const order = [...(heartbeatAddress === undefined ? [] : [heartbeatAddress]), ...controls];
    for (const address of order) {
        const reply = await put(address);
        if (reply !== undefined) {
            if (state === "draining") {
                tell("drain acknowledged");
            }
            heartbeatAddress = reply.HeartbeatAddr ?? heartbeatAddress;
            return;
        }
        heartbeatAddress = undefined;
    }
}

// With `upAt`, the process starts beforehand and its executor is up at that time of day.
setTimeout(
    () =>
        server.listen(port, host, () => {
            tell("up", { address: `${host}:${port}` });
            void beat();
            setInterval(() => void beat(), heartbeatMs);
        }),
    Math.max(0, (config.upAt ?? 0) - Date.now()),
);
