/**
 * Runs the handlers of submissions in order of arrival, in short turns of the event loop, and bounds
 * how many wait for their turn. Without a bound, a leader that was held up would handle submissions
 * whose callers have given up before it renews leases and reads heartbeats again.
 *
 * @example
 * ```ts
 * import { SubmissionQueue } from "./submission_queue.ts";
 * const queue = new SubmissionQueue();
 * if (queue.hasCapacity()) {
 *     const answer = await queue.add("/previews/5c0e7a21d94b36f8", () => submit(job));
 * }
 * ```
 *
 * @module
 */

/** Longest time that a submission should wait for its handler, in ms. */
const MAX_WAIT_MS = 250;
/** Time that the leader needs for one submission, in ms. */
const SUBMISSION_COST_MS = 2;
/** Number of submissions that may wait. */
export const MAX_WAITING_SUBMISSIONS = MAX_WAIT_MS / SUBMISSION_COST_MS;
/** Time after which other events are handled before the next submission, in ms. */
const TURN_MS = 10;

/** Options of {@link SubmissionQueue}. */
export interface SubmissionQueueOptions {
    readonly getNow?: () => number;
}

/** A call whose handler has not begun. */
interface WaitingCall {
    readonly path: string;
    readonly start: () => void;
}

/** The calls of callers that wait for the leader. */
export class SubmissionQueue {
    readonly #getNow: () => number;
    readonly #waiting: WaitingCall[] = [];
    readonly #countsByPath = new Map<string, number>();
    #isScheduled = false;

    /**
     * @param options The clock; monotonic time by default.
     */
    constructor(options: SubmissionQueueOptions = {}) {
        this.#getNow = options.getNow ?? (() => performance.now());
    }

    /**
     * Returns whether another submission may wait.
     *
     * @returns False once {@link MAX_WAITING_SUBMISSIONS} calls wait.
     */
    hasCapacity(): boolean {
        return this.#waiting.length < MAX_WAITING_SUBMISSIONS;
    }

    /**
     * Returns whether a call for the same job waits. Its repetition must not be refused as not run,
     * since the call that waits may be accepted.
     *
     * @param path The path of the job.
     * @returns True if one waits.
     */
    hasWaiting(path: string): boolean {
        return this.#countsByPath.has(path);
    }

    /**
     * Adds a call.
     *
     * @param path The path of its job.
     * @param handle The handler, called once all earlier ones have begun.
     * @returns The handler's result.
     */
    add<T>(path: string, handle: () => Promise<T>): Promise<T> {
        this.#countsByPath.set(path, (this.#countsByPath.get(path) ?? 0) + 1);
        return new Promise<T>((resolve) => {
            const start = (): void => resolve(handle());
            this.#waiting.push({ path, start });
            this.#schedule();
        });
    }

    #schedule(): void {
        if (!this.#isScheduled) {
            this.#isScheduled = true;
            setImmediate(() => this.#runTurn());
        }
    }

    #runTurn(): void {
        this.#isScheduled = false;
        const endAtMs = this.#getNow() + TURN_MS;
        do {
            const call = this.#waiting.shift();
            if (call === undefined) {
                return;
            }
            this.#removePath(call.path);
            call.start();
        } while (this.#getNow() < endAtMs);
        if (this.#waiting.length > 0) {
            this.#schedule();
        }
    }

    #removePath(path: string): void {
        const count = (this.#countsByPath.get(path) ?? 0) - 1;
        if (count > 0) {
            this.#countsByPath.set(path, count);
        } else {
            this.#countsByPath.delete(path);
        }
    }
}
