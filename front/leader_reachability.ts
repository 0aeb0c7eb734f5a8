/**
 * Detects, for a front without an answer from the leader, whether it is partitioned from the leader
 * or the whole control plane is down. It probes fronts of other availability zones, which can also
 * relay its calls.
 *
 * @example
 * ```ts
 * import { LeaderReachability } from "./leader_reachability.ts";
 * const reachability = new LeaderReachability({ zone: "hall-a", probe });
 * reachability.setPeers([{ address: "10.2.0.7:7720", zone: "hall-b" }]);
 * await reachability.update();
 * reachability.state; // { type: "relay", address: "10.2.0.7:7720" }
 * ```
 *
 * @module
 */

import type { PeerFront, ReachabilityAnswer } from "../control/calls.ts";

/** How the leader can be reached, as far as known. */
export type ReachabilityState =
    /** The leader answered recently. */
    | { readonly type: "direct" }
    /** This front cannot reach the leader; the front at `address` can. */
    | { readonly type: "relay"; readonly address: string }
    /** No front reaches a leader: an election is under way, or all control instances are down. */
    | { readonly type: "outage" }
    /** No front of another zone answers: this zone is partitioned from the others. */
    | { readonly type: "isolated" };

/** The result of probing the peers while the leader does not answer. */
type ProbedState = Exclude<ReachabilityState, { type: "direct" }>;

/** A peer's answer to a probe. */
export interface PeerAnswer {
    readonly peer: PeerFront;
    /** Whether the peer reaches the leader; `undefined` if the peer did not answer. */
    readonly reachesLeader: boolean | undefined;
    /** The address of the leader that the peer reaches, if given. */
    readonly leader?: string | undefined;
}

/** Options of {@link LeaderReachability}. */
export interface LeaderReachabilityOptions {
    readonly zone: string;
    /** Asks a peer whether it reaches the leader; rejects if the peer does not answer. */
    readonly probe: (address: string) => Promise<ReachabilityAnswer>;
    /** Returns whether a connection to an instance can be opened; by default none can. */
    readonly canConnect?: (address: string) => Promise<boolean>;
    /** Called with a leader that a peer reaches and that this front can connect to. */
    readonly onLeaderFound?: (leader: string) => void;
    /** Returns the time of a monotonic clock, in ms. */
    readonly getNow?: () => number;
}

/**
 * Time without an answer from the leader after which the peers are probed, in ms. Longer than the
 * interval of hello messages (400 ms) plus a busy leader's response time.
 */
export const LEADER_TIMEOUT_MS = 600;

/**
 * Minimum interval between two rounds of probes, in ms. In an outage, every front probes six to
 * eight others beside its callers' calls.
 */
const PROBE_INTERVAL_MS = 400;

/** Tracks whether and how this front reaches the leader. */
export class LeaderReachability {
    readonly #options: LeaderReachabilityOptions;
    readonly #getNow: () => number;
    #peers: readonly PeerFront[] = [];
    #leaderAnsweredAtMs: number;
    #probedState: ProbedState = { type: "outage" };
    #isProbing = false;
    #probedAtMs = Number.NEGATIVE_INFINITY;

    /**
     * @param options This front's zone and how to probe a peer.
     */
    constructor(options: LeaderReachabilityOptions) {
        this.#options = options;
        this.#getNow = options.getNow ?? (() => performance.now());
        this.#leaderAnsweredAtMs = Number.NEGATIVE_INFINITY;
    }

    /** How the leader can be reached now. */
    get state(): ReachabilityState {
        return this.reachesLeader ? { type: "direct" } : this.#probedState;
    }

    /** Whether the leader answered this front recently. */
    get reachesLeader(): boolean {
        return this.sinceLeaderAnswerMs < LEADER_TIMEOUT_MS;
    }

    /** Time since the leader's last answer, in ms. */
    get sinceLeaderAnswerMs(): number {
        return this.#getNow() - this.#leaderAnsweredAtMs;
    }

    /**
     * Sets the fronts to probe.
     *
     * @param peers Some fronts of each zone, without this one.
     */
    setPeers(peers: readonly PeerFront[]): void {
        this.#peers = peers;
    }

    /** Records that the leader answered this front, and discards the last probe's result. */
    recordLeaderAnswer(): void {
        this.#leaderAnsweredAtMs = this.#getNow();
        this.#probedAtMs = Number.NEGATIVE_INFINITY;
        this.#probedState = { type: "outage" };
    }

    /**
     * Probes the peers if the leader has not answered recently.
     *
     * @returns Whether the type of the state changed.
     */
    async update(): Promise<boolean> {
        const nowMs = this.#getNow();
        if (this.reachesLeader || this.#isProbing || nowMs - this.#probedAtMs < PROBE_INTERVAL_MS) {
            return false;
        }
        this.#isProbing = true;
        this.#probedAtMs = nowMs;
        const answers = await Promise.all(this.#peers.map((peer) => this.#probePeer(peer)));
        this.#isProbing = false;
        const previousState = this.#probedState;
        this.#probedState = await this.#resolveState(answers);
        return previousState.type !== this.#probedState.type;
    }

    /**
     * Prefers a direct connection over a relay if the leader accepts connections. Otherwise the
     * first front that reaches a new leader after an outage would relay the calls of all others.
     */
    async #resolveState(answers: readonly PeerAnswer[]): Promise<ProbedState> {
        const classified = classifyAnswers(answers, this.#options.zone);
        const leader = answers.find(({ reachesLeader }) => reachesLeader === true)?.leader;
        if (classified.type !== "relay" || leader === undefined) {
            return classified;
        }
        const canConnect = (await this.#options.canConnect?.(leader)) ?? false;
        if (!canConnect) {
            return classified;
        }
        this.#options.onLeaderFound?.(leader);
        return { type: "outage" };
    }

    async #probePeer(peer: PeerFront): Promise<PeerAnswer> {
        const answer = await this.#options.probe(peer.address).catch(() => undefined);
        return { peer, reachesLeader: answer?.hearsLeader, leader: answer?.leader };
    }
}

/**
 * Classifies the peers' answers. Fronts of the same zone share a partition, so their answers count
 * only if no other zone has a front; without any answers, an outage is assumed.
 *
 * @param answers The peers' answers.
 * @param zone This front's zone.
 * @returns How the leader can be reached.
 */
export function classifyAnswers(answers: readonly PeerAnswer[], zone: string): ProbedState {
    const relayAnswer = answers.find(({ reachesLeader }) => reachesLeader === true);
    if (relayAnswer !== undefined) {
        return { type: "relay", address: relayAnswer.peer.address };
    }
    const otherZoneAnswers = answers.filter(({ peer }) => peer.zone !== zone);
    const decisiveAnswers = otherZoneAnswers.length > 0 ? otherZoneAnswers : answers;
    const isUnanswered = decisiveAnswers.every(({ reachesLeader }) => reachesLeader === undefined);
    return decisiveAnswers.length > 0 && isUnanswered ? { type: "isolated" } : { type: "outage" };
}
