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
    type KeepAliveBatchCall,
    type WorkerCalls,
} from "./calls.ts";
import { ClockJumpDetector } from "./clock_jump_detector.ts";
import { Leadership, type ConfigureAnswer } from "./leadership.ts";
import { InstanceRegistry } from "./instance_registry.ts";
import { KeepAliveBatcher } from "./keep_alive_batcher.ts";
import { StateReader } from "./state_reader.ts";
import { selectFailoverTimeoutMs, selectTimings } from "./timings.ts";
import { VoterPlanner } from "./voter_planner.ts";

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
    readonly toleratedFailures: number;
    readonly workerCalls: WorkerCalls;
    readonly timings?: ConsensusTimings;
    /** When this process started, in ms on the monotonic clock, if known. */
    readonly processStartedAtMs?: number;
    readonly limits?: Partial<DispatchLimits>;
    readonly batchesPerSnapshot?: number;
    readonly metrics?: ControlMetrics;
    readonly log: Logger;
}

const CONTROL_GROUP_ID = "control" as GroupId;
/** Time between two greetings to the leader, in ms. */
const HELLO_INTERVAL_MS = 500;
/**
 * From this many workers on the other members take heartbeats and questions about states for the
 * leader: below, both are less than a tenth of its processor.
 */
const LARGE_DEPLOYMENT_WORKERS = 100;
/** A replica that has not heard the leader for this long answers for no state, in ms: three heartbeats. */
const MAX_REPLICA_STALENESS_MS = 150;
/** Facts batches between two snapshots: some 20 s of a busy day, below 20 MB of log. */
const DEFAULT_BATCHES_PER_SNAPSHOT = 4_000;
/** How long a worker's or an operator's call may take on its way to the leader, in ms. */
const FORWARD_TIMEOUT_MS = 900;
/**
 * Fronts of each zone that a front learns of: one may be cut off or stopping when it is needed. Two of
 * four zones are some 400 bytes, asked for every 5 s.
 */
const PEER_FRONTS_PER_ZONE = 2;
/** A message between members is given up after this, in ms: about one election timeout. */
const PEER_TIMEOUT_MS = 400;

/** One control instance. */
export class ControlDaemon {
    readonly #options: ControlDaemonOptions;
    readonly #self: EntryId;
    readonly #committedState = new StateStore();
    readonly #stateReader = new StateReader(this.#committedState);
    readonly #clock = new CellClock();
    readonly #clockJumpDetector: ClockJumpDetector;
    readonly #network: PeerNetwork;
    readonly #clients = new RpcClientPool({ timeoutMs: FORWARD_TIMEOUT_MS });
    readonly #router: LeaderRouter;
    readonly #keepAlives = new KeepAliveBatcher({
        send: (signs) => this.#router.call(METHODS.keepAlives, { signs }, FORWARD_TIMEOUT_MS),
    });
    readonly #instances = new InstanceRegistry();
    readonly #voterPlanner: VoterPlanner;
    #member: GroupMember<FactBatch, void> | undefined;
    #leadership: Leadership | undefined;
    #server: RpcServer | undefined;
    #helloSubscription: Subscription | undefined;
    #leaderPublicAddress: string | undefined;
    /** Calls and orders that came while this leader's lease had lapsed. */
    readonly #leaseLapses = new CountedLog((fields) =>
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
            silenceMs: selectFailoverTimeoutMs(options.toleratedFailures),
        });
        this.#voterPlanner = new VoterPlanner({
            self: this.#self,
            zone: options.zone,
            targetVoters: 2 * options.toleratedFailures + 1,
            listSeeds: options.listSeeds,
        });
        this.#clockJumpDetector = new ClockJumpDetector(() =>
            this.#member?.replica.distrustClock(),
        );
    }

    /** Where workers and operators reach the leader, as far as known. */
    get leaderPublicAddress(): string | undefined {
        return this.isServing ? this.#options.publicAddress : this.#leaderPublicAddress;
    }

    /** The version of the newest configuration that this replica knows to be agreed on. */
    get configurationVersion(): number | undefined {
        return this.#committedState.configuration?.version;
    }

    /** Whether this instance leads and nobody else can. */
    get isServing(): boolean {
        this.#clockJumpDetector.check();
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
                "peer.group": (params) => this.#handlePeerMessage(params as PeerEnvelope),
                "peer.subscribe": (params) =>
                    this.#member?.addLearner((params as { member: MemberId }).member) ?? {},
                [METHODS.callers]: async (params) =>
                    (await this.#getLeadership()).handleCaller(params as CallerCall),
                [METHODS.heartbeat]: async (params) =>
                    (await this.#getLeadership()).handleHeartbeat(params as HeartbeatCall),
                [METHODS.keepAlives]: async (params) =>
                    (await this.#getLeadership()).handleKeepAlives(
                        (params as KeepAliveBatchCall).signs,
                    ),
                [METHODS.readState]: (params) => this.#readState(params as CallerCall),
                [METHODS.leave]: async (params) =>
                    (await this.#getLeadership()).handleLeave(
                        (params as { worker: WorkerId }).worker,
                    ),
                [METHODS.configure]: async (params) =>
                    (await this.#getLeadership()).handleConfigure(params as Configuration),
                [METHODS.readConfiguration]: () => this.#readConfigurationAsLeader(),
                [METHODS.hello]: (params) => this.#handleHello(params as HelloCall),
            },
        });
        this.#member = new GroupMember<FactBatch, void>({
            group: this.#createGroupLayout(),
            self: this.#self,
            incarnation: loadIncarnation({ dataDir, bootstrap }),
            machine: {
                apply: (batch) => {
                    this.#committedState.apply(batch);
                    this.#stateReader.resolveEndedJobs();
                },
                encode: () => this.#committedState.encode(),
                restore: (state) => this.#committedState.restore(state),
            },
            network: this.#network,
            dataDir,
            timings: this.#options.timings ?? selectTimings(this.#options.toleratedFailures),
            listContacts: () => this.#router.listMembers() as EntryId[],
            startedAt: this.#options.processStartedAtMs,
            snapshotEvery: this.#options.batchesPerSnapshot ?? DEFAULT_BATCHES_PER_SNAPSHOT,
            onLead: () => this.#startLeading(),
            onResign: (cause) => this.#stopLeading(cause),
            log: this.#options.log,
        });
        this.#member.start();
        this.#helloSubscription = interval(HELLO_INTERVAL_MS).subscribe(
            () => void this.#sendHello(),
        );
    }

    /** Hands the lead over and stops. */
    async stop(): Promise<void> {
        this.#helloSubscription?.unsubscribe();
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
        if (this.#isKeepAlive(call)) {
            const { record, sequence, clockMs } = call;
            this.#keepAlives.add({
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
        return this.#isLargeDeployment() && !this.isServing
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
        const committedVersion = this.configurationVersion ?? -1;
        if (version <= committedVersion) {
            log.notice("configuration acknowledged", { version, agreed: committedVersion });
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

    #isLargeDeployment(): boolean {
        return this.#committedState.workers.size >= LARGE_DEPLOYMENT_WORKERS;
    }

    /** A heartbeat that says nothing new waits here for the next ones, on a large floor. */
    #isKeepAlive(call: HeartbeatCall): boolean {
        const known = this.#committedState.workers.get(call.record.id);
        return (
            this.#isLargeDeployment() &&
            !this.isServing &&
            this.#keepAlives.isLeaderReachable &&
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
        const sinceLeaderContactMs = performance.now() - (this.#member?.heardLeaderAt ?? 0);
        const { configuration } = this.#committedState;
        const match =
            configuration === undefined
                ? undefined
                : findQueue(configuration, call.host, call.path);
        const answer =
            match === undefined || sinceLeaderContactMs > MAX_REPLICA_STALENESS_MS
                ? undefined
                : await this.#stateReader.readState(match.rest as JobId);
        if (answer === undefined) {
            throw new MethodError("ask the leader", NOT_LEADER_CODE, { leader: undefined });
        }
        return answer;
    }

    #createGroupLayout(): GroupLayout {
        const listVoters = () => this.#voterPlanner.listDesiredVoters(this.#listVotingInstances());
        return {
            id: CONTROL_GROUP_ID,
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
        const hasLease = await this.#waitForLease();
        if (hasLease && this.#leadership !== undefined) {
            return run(this.#leadership);
        }
        return this.#router.call<T>(method, params, FORWARD_TIMEOUT_MS);
    }

    async #readConfigurationAsLeader(): Promise<{ document: unknown }> {
        const leadership = await this.#getLeadership();
        return { document: await leadership.readConfiguration() };
    }

    /** Gives the leadership of this instance, or tells the caller who leads. */
    async #getLeadership(): Promise<Leadership> {
        const hasLease = await this.#waitForLease();
        if (hasLease && this.#leadership !== undefined) {
            return this.#leadership;
        }
        const leader = this.#member?.leader;
        throw new MethodError("not the leader", NOT_LEADER_CODE, {
            leader: leader === this.#self ? undefined : leader,
        });
    }

    /** As {@link GroupMember.waitServing}, with a look at the clocks before. */
    async #waitForLease(): Promise<boolean> {
        if (this.isServing || this.#leadership === undefined) {
            return this.isServing;
        }
        this.#options.metrics?.lapsedCalls.inc();
        this.#leaseLapses.add();
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

    async #handlePeerMessage(envelope: PeerEnvelope): Promise<unknown> {
        const { from, to, message } = envelope;
        return (await this.#member?.receive(from, to, message)) ?? null;
    }

    #startLeading(): void {
        const replica = this.#member?.replica;
        if (replica === undefined) {
            return;
        }
        this.#clock.start(this.#committedState.lastBatchAtMs);
        this.#voterPlanner.startLeading(performance.now());
        this.#options.log.notice("lead gained", {
            term: replica.term,
            voters: replica.voters.length,
            jobs: this.#committedState.jobs.size,
        });
        this.#leadership = new Leadership({
            committedState: this.#committedState,
            stateReader: this.#stateReader,
            propose: (batch) => replica.propose(batch).catch((error) => this.#refuseCall(error)),
            waitForLease: () => this.#waitForLease(),
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
        this.#updateFronts();
    }

    #stopLeading(cause: ResignCause | "stopped"): void {
        if (this.#leadership !== undefined) {
            this.#options.log.notice("lead lost", { term: this.#member?.replica.term, cause });
            this.#options.metrics?.leadsLost.inc({ cause });
        }
        this.#voterPlanner.stopLeading();
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
        await this.#getLeadership();
        if (this.#instances.add(call, performance.now()) && call.kind === "front") {
            this.#updateFronts();
        }
        const limits = this.#committedState.configuration?.limits;
        return {
            leader: this.#self,
            members: this.#listMembers(),
            publicAddress: this.#options.publicAddress,
            readers: this.#isLargeDeployment() ? this.#instances.listAddresses("control") : [],
            limits:
                limits === undefined
                    ? undefined
                    : { maxBodyBytes: limits.maxBodyBytes, idleTimeoutMs: limits.idleTimeoutMs },
            ...(call.wantsPeers === true
                ? { peers: this.#instances.listPeerFronts(PEER_FRONTS_PER_ZONE, call.address) }
                : {}),
        };
    }

    #listMembers(): string[] {
        const others = this.#instances.listAddresses("control");
        return [...new Set<string>([this.#self, ...this.#listVotingInstances(), ...others])];
    }

    async #sendHello(): Promise<void> {
        if (this.#member?.replica.role === "leader") {
            this.#updateInstances();
            return;
        }
        const call: HelloCall = {
            address: this.#self,
            zone: this.#options.zone,
            kind: "control",
            publicAddress: this.#options.publicAddress,
        };
        const answer = await this.#router
            .call<HelloAnswer>(METHODS.hello, call, HELLO_INTERVAL_MS)
            .catch((error: Error) => {
                this.#options.log.debug("no leader greeted", { error: error.message });
                return undefined;
            });
        if (answer !== undefined) {
            this.#keepAlives.recordLeaderContact();
            this.#leaderPublicAddress = answer.publicAddress;
            this.#router.setMembers(answer.members);
        }
    }

    /** The leader's view of who is there: fronts for advice calls, control instances to vote. */
    #updateInstances(): void {
        const nowMs = performance.now();
        this.#instances.removeExpired(nowMs);
        this.#updateFronts();
        this.#voterPlanner.planVoters(
            nowMs,
            this.#listVotingInstances(),
            this.#instances.getControlZones(),
        );
    }

    #updateFronts(): void {
        const fronts = this.#instances.listAddresses("front");
        this.#leadership?.setFronts(fronts as unknown as LaneId[]);
    }
}
