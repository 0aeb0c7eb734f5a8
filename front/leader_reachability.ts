/**
 * How a front that hears no leader gets a call through. The pattern: the way between one front, or one
 * availability zone, and the control instances is cut while callers still reach the front. Held to
 * their deadlines there, calls are lost although the other fronts serve; refused in an outage of all
 * control instances, they are lost although waiting a second would do. The front therefore asks
 * fronts of other zones: one that hears the leader carries its calls, fronts that hear none either
 * mean an outage that ends for all at once, and silence means that this side is cut off.
 *
 * @example
 * ```ts
 * import { Reach } from "./leader_reachability.ts";
 * const reach = new Reach({ zone: "hall-a", probe });
 * reach.setPeers([{ address: "10.2.0.7:7720", zone: "hall-b" }]);
 * await reach.update();
 * reach.state; // { type: "relay", address: "10.2.0.7:7720" }
 * ```
 *
 * @module
 */

import type { PeerFront, ReachAnswer } from "../control/calls.ts";

/** The way to the leader, as far as known. */
export type ReachabilityState =
    /** The leader answered lately. */
    | { readonly type: "direct" }
    /** This front hears no leader; the named one does. */
    | { readonly type: "relay"; readonly address: string }
    /** Nobody hears a leader: an election, or all control instances are down. */
    | { readonly type: "outage" }
    /** No front of another zone answers: this side is cut off. */
    | { readonly type: "isolated" };

/** The way while the leader does not answer. */
type ProbedState = Exclude<ReachabilityState, { type: "direct" }>;

/** What a peer said. */
export interface PeerAnswer {
    readonly peer: PeerFront;
    /** `undefined` when it did not answer. */
    readonly hearsLeader: boolean | undefined;
    /** The leader that it hears, if it told. */
    readonly leader?: string | undefined;
}

/** Options of {@link LeaderReachability}. */
export interface LeaderReachabilityOptions {
    readonly zone: string;
    /** Asks a peer whether it hears the leader; rejects when it does not answer. */
    readonly probe: (address: string) => Promise<ReachAnswer>;
    /** Whether a connection to an instance can be opened; none by default. */
    readonly canConnect?: (address: string) => Promise<boolean>;
    /** Told of a leader that a peer hears and that this front can connect to. */
    readonly onLeaderFound?: (leader: string) => void;
    readonly getNow?: () => number;
}

/**
 * Without an answer of the leader for this long the peers are asked, in ms: longer than a greeting's
 * interval (400 ms) and a busy leader's answer, so that sound days ask nobody, and short, as each tenth of a second
 * counts for callers of a zone that is cut off.
 */
export const LEADER_SILENCE_MS = 600;

/**
 * The peers are asked again after this, in ms: in an outage every front asks six to eight others, beside
 * its callers' calls.
 */
const PROBE_INTERVAL_MS = 400;

/** The way to the leader. */
export class LeaderReachability {
    readonly #options: LeaderReachabilityOptions;
    readonly #getNow: () => number;
    #peers: readonly PeerFront[] = [];
    #leaderAnsweredAtMs: number;
    #probedState: ProbedState = { type: "outage" };
    #isProbing = false;
    #probedAtMs = Number.NEGATIVE_INFINITY;

    /**
     * @param options The own zone, how to ask a peer.
     */
    constructor(options: LeaderReachabilityOptions) {
        this.#options = options;
        this.#getNow = options.getNow ?? (() => performance.now());
        this.#leaderAnsweredAtMs = Number.NEGATIVE_INFINITY;
    }

    /** The way to the leader now. */
    get state(): ReachabilityState {
        return this.hearsLeader ? { type: "direct" } : this.#probedState;
    }

    /** Whether the leader itself answered lately. */
    get hearsLeader(): boolean {
        return this.leaderSilentMs < LEADER_SILENCE_MS;
    }

    /** Time since the leader answered, in ms. */
    get leaderSilentMs(): number {
        return this.#getNow() - this.#leaderAnsweredAtMs;
    }

    /**
     * Sets the fronts to ask.
     *
     * @param peers Some fronts of each zone, without this one.
     */
    setPeers(peers: readonly PeerFront[]): void {
        this.#peers = peers;
    }

    /** Records that the leader answered this front itself. */
    recordLeaderAnswer(): void {
        this.#leaderAnsweredAtMs = this.#getNow();
        this.#probedAtMs = Number.NEGATIVE_INFINITY;
        this.#probedState = { type: "outage" };
    }

    /**
     * Asks the peers, if the leader has been silent.
     *
     * @returns Whether the state is another one than before.
     */
    async update(): Promise<boolean> {
        const nowMs = this.#getNow();
        if (this.hearsLeader || this.#isProbing || nowMs - this.#probedAtMs < PROBE_INTERVAL_MS) {
            return false;
        }
        this.#isProbing = true;
        this.#probedAtMs = nowMs;
        const answers = await Promise.all(this.#peers.map((peer) => this.#callPeer(peer)));
        this.#isProbing = false;
        const previousState = this.#probedState;
        this.#probedState = await this.#resolveState(answers);
        return previousState.type !== this.#probedState.type;
    }

    /**
     * After an outage some front is the first to hear the new leader. Took all others for cut off, that one would
     * carry the calls of a hundred fronts over its small link, and callers would time out long after
     * the leader is there. A leader that can be connected to is called directly, however late it answers.
     */
    async #resolveState(answers: readonly PeerAnswer[]): Promise<ProbedState> {
        const classified = classifyAnswers(answers, this.#options.zone);
        const leader = answers.find(({ hearsLeader }) => hearsLeader === true)?.leader;
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

    async #callPeer(peer: PeerFront): Promise<PeerAnswer> {
        const answer = await this.#options.probe(peer.address).catch(() => undefined);
        return { peer, hearsLeader: answer?.hearsLeader, leader: answer?.leader };
    }
}

/**
 * Finds the way by what the peers said. A front of the own zone proves nothing by its answer: it is cut off
 * with this one. With no front elsewhere to ask, the own zone's answers are all there is, and
 * without any the front waits as in an outage.
 *
 * @param answers What the peers said.
 * @param zone The own zone.
 * @returns The way to the leader.
 */
export function classifyAnswers(answers: readonly PeerAnswer[], zone: string): ProbedState {
    const relayAnswer = answers.find(({ hearsLeader }) => hearsLeader === true);
    if (relayAnswer !== undefined) {
        return { type: "relay", address: relayAnswer.peer.address };
    }
    const otherZoneAnswers = answers.filter(({ peer }) => peer.zone !== zone);
    const decisiveAnswers = otherZoneAnswers.length > 0 ? otherZoneAnswers : answers;
    const isSilent = decisiveAnswers.every(({ hearsLeader }) => hearsLeader === undefined);
    return decisiveAnswers.length > 0 && isSilent ? { type: "isolated" } : { type: "outage" };
}
