// Executors of the platform: they run tasks under leases, as PROTOCOL.md tells, and report
// themselves to the control instances. A task's time comes from the job's `Spec`.

import { createServer } from "node:http";
import { performance } from "node:perf_hooks";
import { clearInterval, setInterval, setTimeout } from "node:timers";
import { readJson, send, writeJson } from "./http.mjs";

/** All executors listen on this loopback address, each on a free port. */
const LOOPBACK_HOST = "127.0.0.1";
const HEARTBEAT_MS = 1_500;
const HOLD_MAX_MS = 10_000;
const STOP_MS = 300;
const STEP_MS = 10;
const RUN_START = "/poplarhead/run-start";
const RUN_STOP = "/poplarhead/run-stop";
const HOLD = "/poplarhead/hold";

/** One executor: an address at which incarnations with new ids follow each other. */
class Executor {
    constructor(pool, index) {
        this.pool = pool;
        this.index = index;
        this.host = LOOPBACK_HOST;
        this.sockets = new Set();
        this.isUp = false;
    }

    get address() {
        return `${this.host}:${this.port}`;
    }

    get clockMs() {
        return Math.floor(performance.now() - this.bornAtMs);
    }

    /** Starts a new incarnation. */
    async start() {
        this.id = `i-${String(this.index + 1).padStart(2, "0")}-${++this.pool.incarnations}`;
        this.bornAtMs = performance.now() - 1_000;
        this.seq = 0;
        this.fence = 0;
        this.leaseUntilMs = 0;
        this.runs = new Map();
        this.ended = [];
        this.endCount = 0;
        this.highestEnded = new Map();
        this.waiters = new Set();
        this.server = createServer((req, res) => void this.#handle(req, res));
        this.server.on("connection", (socket) => {
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
        });
        await new Promise((resolve) => this.server.listen(this.port ?? 0, this.host, resolve));
        this.port = this.server.address().port;
        this.isUp = true;
        void this.beat();
    }

    /** Crashes: everything that runs is gone, and connections are reset. */
    crash() {
        this.isUp = false;
        for (const [task, { run }] of this.runs) {
            this.pool.onGone?.(this, task, run);
        }
        this.runs.clear();
        this.server.close();
        this.sockets.forEach((socket) => socket.resetAndDestroy());
    }

    async beat() {
        const { pool } = this;
        const report = {
            Service: pool.service,
            Address: this.address,
            Zone: `zone-${"abc"[this.index % 3]}`,
            Version: "v1",
            Slots: 8,
            State: "ready",
            ColdLeftMs: 0,
            Capacity: pool.capacity,
            Labels: ["a", `r-${Math.floor(this.index / 8)}`],
            Machine: `m-${this.index}`,
        };
        const { id } = this;
        const targets = [this.heartbeatAddress, ...pool.controlAddresses].filter(
            (a) => a !== undefined,
        );
        for (const address of targets) {
            if (!this.isUp || this.id !== id) {
                return;
            }
            const reply = await send({
                address,
                method: "PUT",
                path: `/poplarhead/instances/${id}`,
                body: { ...report, ClockMs: this.clockMs, Seq: ++this.seq },
                timeoutMs: 1_000,
            });
            if (reply.status >= 200 && reply.status < 300) {
                this.heartbeatAddress = reply.body.HeartbeatAddr ?? this.heartbeatAddress;
                return;
            }
            this.heartbeatAddress = undefined;
        }
    }

    async #handle(req, res) {
        const body = await readJson(req).catch(() => undefined);
        if (body === undefined || !this.isUp) {
            res.destroy();
            return;
        }
        if (req.headers["x-poplarhead-expect-instance"] !== this.id) {
            writeJson(res, 421, {});
            return;
        }
        const fence = body.Fence ?? 0;
        if (fence < this.fence) {
            writeJson(res, 409, { ClockMs: this.clockMs, Reason: "fence" });
            return;
        }
        this.fence = fence;
        if (req.url === RUN_START) {
            this.#startRun(body, res);
        } else if (req.url === RUN_STOP) {
            this.#stopRun(body, res);
        } else if (req.url === HOLD) {
            await this.#answerHold(body, res);
        } else {
            writeJson(res, 200, { ClockMs: this.clockMs });
        }
    }

    #extendLease(untilMs) {
        const latestMs = this.clockMs + HOLD_MAX_MS;
        this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.min(untilMs, latestMs));
    }

    #startRun({ Task: task, Attempt: run, Spec: spec, UntilMs: untilMs }, res) {
        if (untilMs <= this.clockMs) {
            writeJson(res, 409, { ClockMs: this.clockMs, Reason: "late" });
            return;
        }
        this.#extendLease(untilMs);
        const present = this.runs.get(task);
        if (
            present?.run !== run &&
            run <= Math.max(this.highestEnded.get(task) ?? 0, present?.run ?? 0)
        ) {
            writeJson(res, 409, { ClockMs: this.clockMs, Reason: "old" });
            return;
        }
        if (present?.run !== run) {
            const { ms } = JSON.parse(spec);
            const startedAtMs = performance.now();
            this.runs.set(task, { run, startedAtMs, endsAtMs: startedAtMs + ms, how: "done" });
            this.pool.onStart?.(this, task, run);
        }
        writeJson(res, 200, { ClockMs: this.clockMs });
    }

    #stopRun({ Task: task, Attempt: run }, res) {
        const present = this.runs.get(task);
        if (present?.run === run) {
            present.endsAtMs = Math.min(present.endsAtMs, performance.now() + STOP_MS);
            present.how = present.how === "done" ? "stopped" : present.how;
        } else {
            this.highestEnded.set(task, Math.max(run, this.highestEnded.get(task) ?? 0));
        }
        writeJson(res, 200, { ClockMs: this.clockMs });
    }

    async #answerHold({ UntilMs: untilMs, AckCursor: cursor = 0, WaitMs: waitMs = 0 }, res) {
        if (untilMs !== undefined) {
            this.#extendLease(untilMs);
        }
        this.ended = this.ended.filter(([number]) => number > cursor);
        if (this.ended.length === 0 && waitMs > 0) {
            await new Promise((resolve) => {
                const timer = setTimeout(resolve, Math.min(waitMs, 2_000));
                this.waiters.add(() => {
                    globalThis.clearTimeout(timer);
                    resolve();
                });
            });
        }
        if (!this.isUp) {
            res.destroy();
            return;
        }
        const now = performance.now();
        const running = [...this.runs].map(([task, { run, startedAtMs, endsAtMs }]) => {
            const percent = Math.floor((100 * (now - startedAtMs)) / (endsAtMs - startedAtMs));
            return [task, run, "", Math.max(0, Math.min(99, percent)), this.pool.taskCpu];
        });
        writeJson(res, 200, {
            ClockMs: this.clockMs,
            Running: running,
            Ended: this.ended.slice(0, 500),
        });
    }

    /** Ends the runs whose time has come or whose lease has lapsed. */
    advance() {
        if (!this.isUp) {
            return;
        }
        const now = performance.now();
        const hasLapsed = this.clockMs > this.leaseUntilMs;
        for (const [task, { run, endsAtMs, how }] of [...this.runs]) {
            if (now >= endsAtMs || hasLapsed) {
                this.#endRun(task, run, now >= endsAtMs ? how : "lapsed");
            }
        }
    }

    #endRun(task, run, how) {
        this.runs.delete(task);
        this.highestEnded.set(task, run);
        this.ended.push([++this.endCount, task, run, how, ""]);
        this.pool.onEnd?.(this, task, run, how);
        this.waiters.forEach((wake) => wake());
        this.waiters.clear();
    }
}

/** All executors of one service. */
export class ExecutorPool {
    incarnations = 0;

    constructor({ service, count, capacity, taskCpu, controlAddresses }) {
        Object.assign(this, { service, capacity, taskCpu, controlAddresses });
        this.executors = Array.from({ length: count }, (_none, i) => new Executor(this, i));
    }

    async start() {
        await Promise.all(this.executors.map((executor) => executor.start()));
        this.timers = [
            setInterval(() => this.executors.forEach((executor) => executor.advance()), STEP_MS),
            setInterval(() => this.executors.forEach((e) => e.isUp && void e.beat()), HEARTBEAT_MS),
        ];
    }

    stop() {
        this.timers?.forEach((timer) => clearInterval(timer));
        this.executors.filter(({ isUp }) => isUp).forEach((executor) => executor.crash());
    }
}
