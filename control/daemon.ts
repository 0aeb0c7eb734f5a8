/**
 * A control instance: a member of the control group that keeps the durable state, leads when it
 * is elected, and passes calls on to the leader otherwise.
 *
 * @example
 * ```ts
 * import { ControlDaemon } from "./daemon.ts";
 * const daemon = new ControlDaemon({ address, zone, seeds, bootstrap, dataDir, workerCalls, log });
 * await daemon.start();
 * ```
 *
 * @module
 */

import { interval, type Subscription } from "rxjs";
import type { Logger } from "winston";
import { checkConfiguration, findQueue, type Configuration } from "../configuration/mod.ts";
import { isSameReport, type DispatchLimits, type LaneId } from "../dispatch/mod.ts";
import { CellClock, GroupMember, PeerNetwork, type PeerEnvelope } from "../group/mod.ts";
import { StateStore, type FactBatch, type JobId, type WorkerId } from "../job/mod.ts";
import {
    OutcomeUnknownError,
    type ConsensusTimings,
    type GroupId,
    type MemberId,
    type ResignCause,
} from "../log/mod.ts";
import {
    LeaderRouter,
    loadIncarnation,
    NOT_LEADER_CODE,
    OUTCOME_UNKNOWN_CODE,
    parseEntryId,
    type EntryId,
    type GroupLayout,
} from "../membership/mod.ts";
import {
    MethodError,
    parseAddress,
    RpcClientPool,
    startRpcServer,
    type RpcServer,
} from "../rpc/mod.ts";
import type { ControlMetrics } from "../telemetry/control_metrics.ts";
import { CountedLog } from "../telemetry/counted_log.ts";
import {
    METHODS,
    type AdviseAnswer,
    type AdviseCall,
    type CallerAnswer,
    type CallerCall,
    type HeartbeatCall,
    type HelloAnswer,
    type HelloCall,
    type SignsCall,
    type WorkerCalls,
} from "./calls.ts";
import { ClockGuard } from "./clock_guard.ts";
import { Leadership, type ConfigureAnswer } from "./leadership.ts";
import { MemberTable } from "./member_table.ts";
import { SignBox } from "./sign_box.ts";
import { StateReader } from "./state_reader.ts";
import { selectSilenceMs, selectTimings } from "./timings.ts";
import { VoterRoster } from "./voter_roster.ts";

/** Options of {@link ControlDaemon}. */
export interface ControlDaemonOptions {
    /** Where this instance's RPC server listens, `host:port`; its name among the members. */
    readonly address: string;
    /** Where workers and operators reach it. */
    readonly publicAddress: string;
    readonly zone: string;
    /** RPC addresses of some control instances. */
    readonly listSeeds: () => readonly string[];
    /** The whole system starts for the first time, with empty disks. */
    readonly bootstrap: boolean;
    readonly dataDir: string;
    /** How many instances may be lost at once; twice as many and one more vote. */
    readonly tolerated: number;
    readonly workerCalls: WorkerCalls;
    readonly timings?: ConsensusTimings;
    /** When this process started, in ms on the monotonic clock, if known. */
    readonly startedAt?: number;
    readonly limits?: Partial<DispatchLimits>;
    readonly snapshotEvery?: number;
    readonly metrics?: ControlMetrics;
    readonly log: Logger;
}

const GROUP = "control" as GroupId;
/** Time between two greetings to the leader, in ms. */
const HELLO_MS = 500;
/**
 * From this many workers on the other members take heartbeats and questions about states for the
 * leader: below, both are less than a tenth of its processor.
 */
const LARGE_FLOOR_WORKERS = 100;
/** A replica that has not heard the leader for this long answers for no state, in ms: three heartbeats. */
const READER_SILENCE_MS = 150;
/** Facts batches between two snapshots: some 20 s of a busy day, below 20 MB of log. */
const DEFAULT_SNAPSHOT_EVERY = 4_000;
/** How long a worker's or an operator's call may take on its way to the leader, in ms. */
const FORWARD_BUDGET_MS = 900;
/**
 * Fronts of each zone that a front learns of: one may be cut off or stopping when it is needed. Two of
 * four zones are some 400 bytes, asked for every 5 s.
 */
const PEERS_PER_ZONE = 2;
/** A message between members is given up after this, in ms: about one election timeout. */
const PEER_TIMEOUT_MS = 400;

/** One control instance. */
export class ControlDaemon {
    readonly #options: ControlDaemonOptions;
    readonly #self: EntryId;
    readonly #durable = new StateStore();
    readonly #states = new StateReader(this.#durable);
    readonly #clock = new CellClock();
    readonly #guard: ClockGuard;
    readonly #network: PeerNetwork;
    readonly #clients = new RpcClientPool({ timeoutMs: FORWARD_BUDGET_MS });
    readonly #router: LeaderRouter;
    readonly #signs = new SignBox({
        send: (signs) => this.#router.call(METHODS.signs, { signs }, FORWARD_BUDGET_MS),
    });
    readonly #members = new MemberTable();
    readonly #roster: VoterRoster;
    #member: GroupMember<FactBatch, void> | undefined;
    #leadership: Leadership | undefined;
    #server: RpcServer | undefined;
    #greetings: Subscription | undefined;
    #leaderPublicAddress: string | undefined;
    /** Calls and orders that came while this leader's lease had lapsed. */
    readonly #lapses = new CountedLog((fields) =>
        this.#options.log.warn("lease lapsed for calls", fields),
    );

    /**
     * @param options Addresses, seeds, data folder; see {@link ControlDaemonOptions}.
     */
    constructor(options: ControlDaemonOptions) {
        this.#options = options;
        this.#self = options.address as EntryId;
        this.#network = new PeerNetwork({ findAddress: (id) => id, timeoutMs: PEER_TIMEOUT_MS });
        this.#router = new LeaderRouter({
            listSeeds: options.listSeeds,
            silenceMs: selectSilenceMs(options.tolerated),
        });
        this.#roster = new VoterRoster({
            self: this.#self,
            zone: options.zone,
            target: 2 * options.tolerated + 1,
            listSeeds: options.listSeeds,
        });
        this.#guard = new ClockGuard(() => this.#member?.replica.distrustClock());
    }

    /** Where workers and operators reach the leader, as far as known. */
    get leaderPublicAddress(): string | undefined {
        return this.isServing ? this.#options.publicAddress : this.#leaderPublicAddress;
    }

    /** The version of the newest configuration that this replica knows to be agreed on. */
    get configurationVersion(): number | undefined {
        return this.#durable.configuration?.version;
    }

    /** Whether this instance leads and nobody else can. */
    get isServing(): boolean {
        this.#guard.check();
        return this.#leadership !== undefined && (this.#member?.isServing ?? false);
    }

    /** Opens the data folder, joins the group and serves. */
    async start(): Promise<void> {
        const { address, dataDir, bootstrap } = this.#options;
        const [host, port] = parseAddress(address);
        this.#server = await startRpcServer({
            host,
            port,
            methods: {
                "peer.group": (params) => this.#handlePeer(params as PeerEnvelope),
                "peer.subscribe": (params) =>
                    this.#member?.addLearner((params as { member: MemberId }).member) ?? {},
                [METHODS.callers]: async (params) =>
                    (await this.#lead()).handleCaller(params as CallerCall),
                [METHODS.heartbeat]: async (params) =>
                    (await this.#lead()).handleHeartbeat(params as HeartbeatCall),
                [METHODS.signs]: async (params) =>
                    (await this.#lead()).handleSigns((params as SignsCall).signs),
                [METHODS.readState]: (params) => this.#readState(params as CallerCall),
                [METHODS.leave]: async (params) =>
                    (await this.#lead()).handleLeave((params as { worker: WorkerId }).worker),
                [METHODS.configure]: async (params) =>
                    (await this.#lead()).handleConfigure(params as Configuration),
                [METHODS.readConfiguration]: () => this.#readLocal(),
                [METHODS.hello]: (params) => this.#handleHello(params as HelloCall),
            },
        });
        this.#member = new GroupMember<FactBatch, void>({
            group: this.#createGroup(),
            self: this.#self,
            incarnation: loadIncarnation({ dataDir, bootstrap }),
            machine: {
                apply: (batch) => {
                    this.#durable.apply(batch);
                    this.#states.update();
                },
                encode: () => this.#durable.encode(),
                restore: (state) => this.#durable.restore(state),
            },
            network: this.#network,
            dataDir,
            timings: this.#options.timings ?? selectTimings(this.#options.tolerated),
            listContacts: () => this.#router.listMembers() as EntryId[],
            startedAt: this.#options.startedAt,
            snapshotEvery: this.#options.snapshotEvery ?? DEFAULT_SNAPSHOT_EVERY,
            onLead: () => this.#startLeading(),
            onResign: (cause) => this.#stopLeading(cause),
            log: this.#options.log,
        });
        this.#member.start();
        this.#greetings = interval(HELLO_MS).subscribe(() => void this.#sendHello());
    }

    /** Hands the lead over and stops. */
    async stop(): Promise<void> {
        this.#greetings?.unsubscribe();
        await this.#member?.stop();
        this.#stopLeading("stopped");
        this.#network.close();
        await this.#server?.close();
    }

    /**
     * Takes a worker's heartbeat, here or at the leader.
     *
     * @param call The heartbeat.
     * @returns Once it is recorded.
     * @throws {NoLeaderError} When no leader took it in time.
     */
    async handleHeartbeat(call: HeartbeatCall): Promise<void> {
        if (this.#isPlainSign(call)) {
            const { record, sequence, clockMs } = call;
            this.#signs.add({
                worker: record.id,
                sequence,
                clockMs,
                capacity: record.capacity,
            });
            return;
        }
        await this.#runOrForward(METHODS.heartbeat, call, (leadership) =>
            leadership.handleHeartbeat(call),
        );
    }

    /**
     * Where a worker should send its later heartbeats.
     *
     * @returns On a small floor the leader, else this instance, which gathers them for the leader.
     */
    get heartbeatAddress(): string | undefined {
        return this.#isLarge() && !this.isServing
            ? this.#options.publicAddress
            : this.leaderPublicAddress;
    }

    /**
     * Takes a worker's word that it has left.
     *
     * @param worker The worker.
     * @returns Once it is recorded.
     * @throws {NoLeaderError} When no leader took it in time.
     */
    async handleLeave(worker: WorkerId): Promise<void> {
        await this.#runOrForward(METHODS.leave, { worker }, (leadership) =>
            leadership.handleLeave(worker),
        );
    }

    /**
     * Takes an operator's configuration. One that is not newer than what this replica knows to be agreed on
     * is acknowledged here: an operator whose first try came through sends it again, and with a leader that
     * answers later than the operator waits, no try would ever be acknowledged. What is agreed on stays
     * agreed on, so no leader has to be asked.
     *
     * @param configuration The configuration.
     * @returns Whether it was taken.
     * @throws {NoLeaderError} When no leader took it in time.
     */
    async handleConfigure(configuration: Configuration): Promise<ConfigureAnswer> {
        const { log } = this.#options;
        const { version } = configuration;
        const findings = checkConfiguration(configuration);
        if (findings.length > 0) {
            log.info("configuration refused", { version, findings });
            return { type: "invalid", findings };
        }
        const agreed = this.configurationVersion ?? -1;
        if (version <= agreed) {
            log.notice("configuration acknowledged", { version, agreed });
            return { type: "acknowledged" };
        }
        return this.#runOrForward(METHODS.configure, configuration, (leadership) =>
            leadership.handleConfigure(configuration),
        );
    }

    /**
     * Reads the newest configuration.
     *
     * @returns What the operator sent; `undefined` when there is none.
     * @throws {NoLeaderError} When no leader could confirm it in time.
     */
    async readConfiguration(): Promise<unknown> {
        const answer = await this.#runOrForward<{ document?: unknown }>(
            METHODS.readConfiguration,
            {},
            async (leadership) => ({ document: await leadership.readConfiguration() }),
        );
        return answer.document;
    }

    #isLarge(): boolean {
        return this.#durable.workers.size >= LARGE_FLOOR_WORKERS;
    }

    /** A heartbeat that says nothing new waits here for the next ones, on a large floor. */
    #isPlainSign(call: HeartbeatCall): boolean {
        const known = this.#durable.workers.get(call.record.id);
        return (
            this.#isLarge() &&
            !this.isServing &&
            this.#signs.isTrusted &&
            !call.record.isDraining &&
            known !== undefined &&
            isSameReport(known, call.record)
        );
    }

    /**
     * Answers for a job's state from this member's replica, while it hears the leader. What it does
     * not know may be too new for it: the leader is asked then.
     */
    async #readState(call: CallerCall): Promise<CallerAnswer> {
        const silentMs = performance.now() - (this.#member?.heardLeaderAt ?? 0);
        const { configuration } = this.#durable;
        const match =
            configuration === undefined
                ? undefined
                : findQueue(configuration, call.host, call.path);
        const answer =
            match === undefined || silentMs > READER_SILENCE_MS
                ? undefined
                : await this.#states.readState(match.rest as JobId);
        if (answer === undefined) {
            throw new MethodError("ask the leader", NOT_LEADER_CODE, { leader: undefined });
        }
        return answer;
    }

    #createGroup(): GroupLayout {
        const listVoters = () => this.#roster.listWanted(this.#listVotingInstances());
        return {
            id: GROUP,
            zones: [],
            get voters() {
                return listVoters();
            },
            learners: [],
            quotaShare: 1,
        };
    }

    #listVotingInstances(): EntryId[] {
        const voters = this.#member?.replica.voters ?? [];
        return [...new Set(voters.map((voter) => parseEntryId(voter)))];
    }

    async #runOrForward<T>(
        method: string,
        params: object,
        run: (leadership: Leadership) => Promise<T>,
    ): Promise<T> {
        const isServing = await this.#waitServing();
        if (isServing && this.#leadership !== undefined) {
            return run(this.#leadership);
        }
        return this.#router.call<T>(method, params, FORWARD_BUDGET_MS);
    }

    async #readLocal(): Promise<{ document: unknown }> {
        const leadership = await this.#lead();
        return { document: await leadership.readConfiguration() };
    }

    /** Gives the leadership of this instance, or tells the caller who leads. */
    async #lead(): Promise<Leadership> {
        const isServing = await this.#waitServing();
        if (isServing && this.#leadership !== undefined) {
            return this.#leadership;
        }
        const leader = this.#member?.leader;
        throw new MethodError("not the leader", NOT_LEADER_CODE, {
            leader: leader === this.#self ? undefined : leader,
        });
    }

    /** As {@link GroupMember.waitServing}, with a look at the clocks before. */
    async #waitServing(): Promise<boolean> {
        if (this.isServing || this.#leadership === undefined) {
            return this.isServing;
        }
        this.#options.metrics?.lapsedCalls.inc();
        this.#lapses.add();
        await this.#member?.waitServing();
        return this.isServing;
    }

    /** Tells a caller whether to ask another instance, and whether its call may have happened. */
    #refuseCall(error: Error): never {
        if (error instanceof OutcomeUnknownError) {
            throw new MethodError(error.message, OUTCOME_UNKNOWN_CODE);
        }
        throw new MethodError(error.message, NOT_LEADER_CODE, { leader: undefined });
    }

    async #handlePeer(envelope: PeerEnvelope): Promise<unknown> {
        const { from, to, message } = envelope;
        return (await this.#member?.receive(from, to, message)) ?? null;
    }

    #startLeading(): void {
        const replica = this.#member?.replica;
        if (replica === undefined) {
            return;
        }
        this.#clock.start(this.#durable.lastBatchAtMs);
        this.#roster.startLeading(performance.now());
        this.#options.log.notice("lead gained", {
            term: replica.term,
            voters: replica.voters.length,
            jobs: this.#durable.jobs.size,
        });
        this.#leadership = new Leadership({
            durable: this.#durable,
            states: this.#states,
            propose: (batch) => replica.propose(batch).catch((error) => this.#refuseCall(error)),
            waitServing: () => this.#waitServing(),
            term: replica.term,
            clock: {
                getNow: () => performance.now(),
                getWall: () => this.#clock.getNow(),
            },
            workerCalls: this.#options.workerCalls,
            advise: (lane, call) => this.#sendAdvise(lane, call),
            limits: this.#options.limits,
            metrics: this.#options.metrics,
            log: this.#options.log,
        });
        this.#options.metrics?.leading.set(1);
        this.#leadership.start();
        this.#updateLanes();
    }

    #stopLeading(cause: ResignCause | "stopped"): void {
        if (this.#leadership !== undefined) {
            this.#options.log.notice("lead lost", { term: this.#member?.replica.term, cause });
            this.#options.metrics?.leadsLost.inc({ cause });
        }
        this.#roster.stopLeading();
        this.#options.metrics?.leading.set(0);
        this.#leadership?.stop();
        this.#leadership = undefined;
    }

    #sendAdvise(lane: LaneId, call: AdviseCall): Promise<AdviseAnswer> {
        return this.#clients
            .getClient(lane)
            .call<AdviseAnswer>(METHODS.advise, call, call.timeoutMs + PEER_TIMEOUT_MS);
    }

    async #handleHello(call: HelloCall): Promise<HelloAnswer> {
        await this.#lead();
        if (this.#members.add(call, performance.now()) && call.kind === "front") {
            this.#updateLanes();
        }
        const limits = this.#durable.configuration?.limits;
        return {
            leader: this.#self,
            members: this.#listMembers(),
            publicAddress: this.#options.publicAddress,
            readers: this.#isLarge() ? this.#members.listAddresses("control") : [],
            limits:
                limits === undefined
                    ? undefined
                    : { maxBodyBytes: limits.maxBodyBytes, idleTimeoutMs: limits.idleTimeoutMs },
            ...(call.wantsPeers === true
                ? { peers: this.#members.listPeerFronts(PEERS_PER_ZONE, call.address) }
                : {}),
        };
    }

    #listMembers(): string[] {
        const others = this.#members.listAddresses("control");
        return [...new Set<string>([this.#self, ...this.#listVotingInstances(), ...others])];
    }

    async #sendHello(): Promise<void> {
        if (this.#member?.replica.role === "leader") {
            this.#updateMembers();
            return;
        }
        const call: HelloCall = {
            address: this.#self,
            zone: this.#options.zone,
            kind: "control",
            publicAddress: this.#options.publicAddress,
        };
        const answer = await this.#router
            .call<HelloAnswer>(METHODS.hello, call, HELLO_MS)
            .catch((error: Error) => {
                this.#options.log.debug("no leader greeted", { error: error.message });
                return undefined;
            });
        if (answer !== undefined) {
            this.#signs.confirmLeader();
            this.#leaderPublicAddress = answer.publicAddress;
            this.#router.setMembers(answer.members);
        }
    }

    /** The leader's view of who is there: fronts for advice calls, control instances to vote. */
    #updateMembers(): void {
        const now = performance.now();
        this.#members.removeSilent(now);
        this.#updateLanes();
        this.#roster.plan(now, this.#listVotingInstances(), this.#members.getControlZones());
    }

    #updateLanes(): void {
        const fronts = this.#members.listAddresses("front");
        this.#leadership?.setLanes(fronts as unknown as LaneId[]);
    }
}
