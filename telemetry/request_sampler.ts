/**
 * Samples whole requests when there are more log lines than the rate limit allows, so that the
 * logs of sampled requests stay complete. A request that fails is logged from then on.
 *
 * @example
 * ```ts
 * import { RequestSampler } from "./request_sampler.ts";
 * const sampler = new RequestSampler({ computeLinesPerSecond: () => 600 });
 * sampler.open("5c0e7a21d94b36f8");
 * if (sampler.isSampled("5c0e7a21d94b36f8")) {
 *     sampler.recordLine();
 * }
 * ```
 *
 * @module
 */

import { computeHash } from "../hashing/mod.ts";

/** Options of {@link RequestSampler}. */
export interface RequestSamplerOptions {
    /** Returns the limit in lines per second; called once a second at most. */
    readonly computeLinesPerSecond: () => number;
    /** Called with the new sample rate when it changes. */
    readonly onChange?: (sampleRate: number) => void;
    readonly getNow?: () => number;
}

/** The shortest time over which the line rate is averaged. */
const WINDOW_MS = 1_000;
/** Share of the limit below which the sample rate is doubled; under 0.5 to avoid oscillation. */
const RAISE_THRESHOLD = 0.4;
/** Bounds the sample rate to at least one request in 1024. */
const MAX_HALVINGS = 10;

/** Selects the requests that are logged. */
export class RequestSampler {
    readonly #options: RequestSamplerOptions;
    readonly #getNow: () => number;
    /** Whether each open request is sampled. */
    readonly #isSampledByRequest = new Map<string, boolean>();
    #halvings = 0;
    #lines = 0;
    #windowStartMs: number;

    /**
     * @param options The rate limit and the callback.
     */
    constructor(options: RequestSamplerOptions) {
        this.#options = options;
        this.#getNow = options.getNow ?? (() => performance.now());
        this.#windowStartMs = this.#getNow();
    }

    /** The share of new requests that is sampled, from 0 to 1. */
    get sampleRate(): number {
        return 1 / 2 ** this.#halvings;
    }

    /**
     * Decides by a hash of its id whether a request is sampled, so that processes with the same
     * sample rate agree.
     *
     * @param request The request's id.
     */
    open(request: string): void {
        this.#isSampledByRequest.set(request, this.#isInSample(request));
    }

    /**
     * Returns whether a request's lines are logged.
     *
     * @param request The request's id.
     * @returns True if the request is sampled or has failed.
     */
    isSampled(request: string): boolean {
        return this.#isSampledByRequest.get(request) ?? this.#isInSample(request);
    }

    /**
     * Samples a request from now on, because of a failure.
     *
     * @param request The request's id.
     */
    ensureSampled(request: string): void {
        this.#isSampledByRequest.set(request, true);
    }

    /**
     * Removes a request that has ended.
     *
     * @param request The request's id.
     */
    close(request: string): void {
        this.#isSampledByRequest.delete(request);
    }

    /** Counts a logged line and adjusts the sample rate to the line rate. */
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
