/**
 * Which requests are told of in the log when there are more lines than the log takes. Lines given up one
 * by one leave a gap in nearly every request's story, so that none can be explained; whole requests are
 * left out instead, and the others stay complete. One that meets a failure is told of from then on.
 *
 * @example
 * ```ts
 * import { RequestSampler } from "./request_sampler.ts";
 * const sampler = new RequestSampler({ computeLinesPerSecond: () => 600 });
 * sampler.open("5c0e7a21d94b36f8");
 * if (sampler.isTold("5c0e7a21d94b36f8")) {
 *     sampler.recordLine();
 * }
 * ```
 *
 * @module
 */

import { computeHash } from "../hashing/mod.ts";

/** Options of {@link RequestSampler}. */
export interface RequestSamplerOptions {
    /** Lines a second that the log takes; asked once a second, so it may follow the size of the floor. */
    readonly computeLinesPerSecond: () => number;
    /** Told when another share of the requests is logged from now on. */
    readonly onChange?: (share: number) => void;
    readonly getNow?: () => number;
}

/** Time over which lines are counted, in ms. */
const WINDOW_MS = 1_000;
/** The share is doubled again only when twice the lines of the last window would still fit with room to spare. */
const RAISE_THRESHOLD = 0.4;
/** One request of a thousand is told of at the least. */
const MAX_HALVINGS = 10;

/** Chooses requests. */
export class RequestSampler {
    readonly #options: RequestSamplerOptions;
    readonly #getNow: () => number;
    /** Requests under way whose lot is cast. */
    readonly #isSampledByRequest = new Map<string, boolean>();
    #halvings = 0;
    #lines = 0;
    #windowStartMs: number;

    /**
     * @param options The limit; see {@link RequestSamplerOptions}.
     */
    constructor(options: RequestSamplerOptions) {
        this.#options = options;
        this.#getNow = options.getNow ?? (() => performance.now());
        this.#windowStartMs = this.#getNow();
    }

    /** The share of new requests that is told of, from 0 to 1. */
    get sampleRate(): number {
        return 1 / 2 ** this.#halvings;
    }

    /**
     * Casts a request's lot, by its id, so that it falls alike in every process.
     *
     * @param request The request's id.
     */
    open(request: string): void {
        this.#isSampledByRequest.set(request, this.#isInSample(request));
    }

    /**
     * Tells whether a request's lines go out.
     *
     * @param request The request's id.
     * @returns True for one that was drawn, or had a failure.
     */
    isSampled(request: string): boolean {
        return this.#isSampledByRequest.get(request) ?? this.#isInSample(request);
    }

    /**
     * Has a request told of from now on: it met a failure that somebody may ask about.
     *
     * @param request The request's id.
     */
    ensureSampled(request: string): void {
        this.#isSampledByRequest.set(request, true);
    }

    /**
     * Forgets a request that has ended.
     *
     * @param request The request's id.
     */
    close(request: string): void {
        this.#isSampledByRequest.delete(request);
    }

    /** Counts a line that goes out. */
    recordLine(): void {
        this.#lines += 1;
        const nowMs = this.#getNow();
        if (nowMs - this.#windowStartMs < WINDOW_MS) {
            return;
        }
        const linesPerSecond = (this.#lines * 1_000) / (nowMs - this.#windowStartMs);
        this.#windowStartMs = nowMs;
        this.#lines = 0;
        this.#updateSampleRate(linesPerSecond, this.#options.computeLinesPerSecond());
    }

    #updateSampleRate(linesPerSecond: number, maxLinesPerSecond: number): void {
        const before = this.#halvings;
        if (linesPerSecond > maxLinesPerSecond) {
            this.#halvings = Math.min(MAX_HALVINGS, before + 1);
        } else if (linesPerSecond < RAISE_THRESHOLD * maxLinesPerSecond) {
            this.#halvings = Math.max(0, before - 1);
        }
        if (this.#halvings !== before) {
            this.#options.onChange?.(this.sampleRate);
        }
    }

    #isInSample(request: string): boolean {
        return this.#halvings === 0 || computeHash(request) % 2 ** this.#halvings === 0;
    }
}
