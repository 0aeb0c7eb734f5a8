/**
 * Runs a control instance: a member of the control group that replicates the state, leads when
 * elected, and otherwise forwards calls to the leader.
 *
 * @example
 * ```ts
 * import { ControlDaemon } from "./daemon.ts";
 * const daemon = new ControlDaemon({
 *     address, publicAddress, zone, listSeeds, bootstrap, dataDir, toleratedFailures,
 *     workerCalls, log,
 * });
 * await daemon.start();
 * ```
 *
 * @module
 */

import { chmodSync } from "node:fs";
import { interval, type Subscription } from "rxjs";
import type { Logger } from "winston";
import type { AdmissionMode } from "../admission/mod.ts";
import { checkConfiguration, findQueue, type Configuration } from "../configuration/mod.ts";
import { isSameReport, type DispatchLimits, type FrontId } from "../dispatch/mod.ts";
import { GroupMember, LeaderClock, PeerNetwork, type PeerEnvelope } from "../group/mod.ts";
import { StateStore, type FactBatch, type JobId } from "../job/mod.ts";
import {
    OutcomeUnknownError,
    type ConsensusTimings,
    type GroupId,
    type MemberId,
    type ResignCause,
} from "../log/mod.ts";
import {
    LEADER_STATUS_METHOD,
    LeaderRouter,
    loadIncarnation,
    type LeaderStatus,
    NOT_LEADER_CODE,
    OUTCOME_UNKNOWN_CODE,
    parseEntryId,
    type EntryId,
    type GroupLayout,
} from "../membership/mod.ts";
import {
    CallTracker,
    connectionTracker,
    MethodError,
    parseAddress,
    RpcClientPool,
    startRpcServer,
    type RpcServer,
} from "../rpc/mod.ts";
import { AccessControl, isOwnJob } from "../workspace/mod.ts";
import type { ControlMetrics } from "../telemetry/control_metrics.ts";
import { RateLimitedLog } from "../telemetry/rate_limited_log.ts";
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
    type LeaderAnnouncement,
    type LeaveCall,
    type WorkerCalls,
} from "./calls.ts";
import { ClockJumpDetector } from "./clock_jump_detector.ts";
import { Leadership, type ConfigureAnswer } from "./leadership.ts";
import { LeaderAnnouncer, parseLeaderAnnouncement } from "./leader_announcer.ts";
import { InstanceRegistry } from "./instance_registry.ts";
import { KeepAliveBatcher } from "./keep_alive_batcher.ts";
import { StateReader } from "./state_reader.ts";
import { StatusReporter, type GroupStatus } from "./status_reporter.ts";
import { selectFailoverTimeoutMs, selectTimings } from "./timings.ts";
import { VoterPlanner } from "./voter_planner.ts";

/** Options of {@link ControlDaemon}. */
export interface ControlDaemonOptions {
    /** The address of this instance's RPC server, `host:port`; also its instance id. */
    readonly address: string;
    /** The address for workers and operators. */
    readonly publicAddress: string;
    readonly zone: string;
    /** Lists RPC addresses of some control instances. */
    readonly listSeeds: () => readonly string[];
    /** Whether the group starts for the first time, with empty disks. */
    readonly bootstrap: boolean;
    readonly dataDir: string;
    /** How many instances may fail at once; the group has `2 * toleratedFailures + 1` voters. */
    readonly toleratedFailures: number;
    readonly workerCalls: WorkerCalls;
    readonly timings?: ConsensusTimings;
    /** When this process started on the monotonic clock, in ms, if known. */
    readonly processStartedAtMs?: number;
    /** Adds to a configuration what an instance of an earlier release has left out. */
    readonly restoreWorkspaces?: (configuration: Configuration) => Configuration;
    readonly limits?: Partial<DispatchLimits>;
    /** Whether jobs that can't be of use to their callers any more are refused; `off` by default. */
    readonly admission?: AdmissionMode;
    readonly batchesPerSnapshot?: number;
    /** Takes the longest delay of the event loop since the last call, in ms. */
    readonly takeLongestDelayMs?: () => number;
    readonly metrics?: ControlMetrics;
    readonly log: Logger;
}

const CONTROL_GROUP_ID = "control" as GroupId;
/** The interval of hello messages to the leader, in ms. */
const HELLO_INTERVAL_MS = 500;
/**
 * From this many workers on, followers batch keep-alives and serve reads of job states to relieve
 * the leader. In smaller deployments, both take less than a tenth of its CPU time.
 */
const LARGE_DEPLOYMENT_WORKERS = 100;
/**
 * A replica that may be further behind its leader serves no reads, in ms; three heartbeat intervals
 * of a small group.
 */
const MAX_REPLICA_STALENESS_MS = 150;
/**
 * The number of batches of facts between two snapshots: some 20 s of a busy day. Bounds the log to
 * less than 20 MB.
 */
const DEFAULT_BATCHES_PER_SNAPSHOT = 4_000;
/** The timeout of a worker's or an operator's call that is forwarded to the leader, in ms. */
const FORWARD_TIMEOUT_MS = 900;
/**
 * The number of peer fronts of each availability zone in a hello answer. One of them may be cut off
 * or stopping when it is needed.
 */
const PEER_FRONTS_PER_ZONE = 2;
/** Mode of the data directory. */
const OWNER_ONLY = 0o700;
/** The timeout of a message between members, in ms; the election timeout of a large group. */
const PEER_TIMEOUT_MS = 400;

/** A control instance. */
export class ControlDaemon {
    readonly #options: ControlDaemonOptions;
    readonly #self: EntryId;
    readonly #committedState: StateStore;
    readonly #stateReader: StateReader;
    readonly #accessControl = new AccessControl();
    readonly #clock = new LeaderClock();
    readonly #clockJumpDetector: ClockJumpDetector;
    readonly #network: PeerNetwork;
    readonly #frontClients = new RpcClientPool({ timeoutMs: FORWARD_TIMEOUT_MS });
    readonly #router: LeaderRouter;
    readonly #keepAliveBatcher = new KeepAliveBatcher({
        send: (keepAlives) =>
            this.#router.call(METHODS.keepAlives, { signs: keepAlives }, FORWARD_TIMEOUT_MS),
    });
    readonly #instances = new InstanceRegistry();
    readonly #voterPlanner: VoterPlanner;
    readonly #callTracker = new CallTracker();
    readonly #announcer: LeaderAnnouncer;
    readonly #statusReporter: StatusReporter;
    #member: GroupMember<FactBatch, void> | undefined;
    #leadership: Leadership | undefined;
    #server: RpcServer | undefined;
    #helloSubscription: Subscription | undefined;
    #leaderPublicAddress: string | undefined;
    /** Limits the log lines about calls and orders that arrive while the lease is expired. */
    readonly #malformedAnnouncementLog = new RateLimitedLog((fields) =>
        this.#options.log.warn("malformed leader announcement ignored", fields),
    );
    readonly #expiredLeaseLog = new RateLimitedLog((fields) =>
        this.#options.log.warn("calls arrived after leader lease expired", fields),
    );

    /**
     * @param options Addresses, seeds and data directory; see {@link ControlDaemonOptions}.
     */
    constructor(options: ControlDaemonOptions) {
        this.#options = options;
        this.#self = options.address as EntryId;
        this.#committedState = new StateStore({
            restoreWorkspaces: options.restoreWorkspaces,
        });
        this.#stateReader = new StateReader(this.#committedState);
        this.#network = new PeerNetwork({ findAddress: (id) => id, timeoutMs: PEER_TIMEOUT_MS });
        this.#router = new LeaderRouter({
            // The voters on disk are asked too: the seeds may all be gone.
            listSeeds: () => [...options.listSeeds(), ...this.#listVotingInstances()],
            inactivityTimeoutMs: selectFailoverTimeoutMs(options.toleratedFailures),
        });
        this.#announcer = new LeaderAnnouncer({
            self: this.#self,
            send: (instance, announcement) => void this.#sendAnnouncement(instance, announcement),
        });
        this.#voterPlanner = new VoterPlanner({
            self: this.#self,
            zone: options.zone,
            targetSize: 2 * options.toleratedFailures + 1,
            listSeeds: options.listSeeds,
        });
        this.#statusReporter = new StatusReporter({
            tracker: this.#callTracker,
            connectionTracker,
            describeGroup: () => this.#describeGroup(),
            takeLongestDelayMs: options.takeLongestDelayMs,
            log: options.log,
        });
        this.#clockJumpDetector = new ClockJumpDetector(() =>
            this.#member?.replica.invalidateLease(),
        );
    }

    /** The leader's address for workers and operators, if known. */
    get leaderPublicAddress(): string | undefined {
        return this.isServing ? this.#options.publicAddress : this.#leaderPublicAddress;
    }

    /** The version of the latest configuration that this replica knows to be committed. */
    get configurationVersion(): number | undefined {
        return this.#committedState.configuration?.version;
    }

    /** Whether this instance is the leader and holds the leader lease. */
    get isServing(): boolean {
        this.#clockJumpDetector.check();
        return this.#leadership !== undefined && (this.#member?.isServing ?? false);
    }

    /** Opens the data directory, joins the group and starts to serve calls. */
    async start(): Promise<void> {
        const { address, dataDir, bootstrap } = this.#options;
        const [host, port] = parseAddress(address);
        this.#server = await startRpcServer({
            host,
            port,
            tracker: this.#callTracker,
            methods: {
                "peer.group": (params) => this.#handlePeerMessage(params as PeerEnvelope),
                [LEADER_STATUS_METHOD]: () => this.#getLeaderStatus(),
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
                    (await this.#getLeadership()).handleLeave(params as LeaveCall),
                [METHODS.configure]: async (params) =>
                    (await this.#getLeadership()).handleConfigure(params as Configuration),
                [METHODS.readConfiguration]: () => this.#readConfigurationAsLeader(),
                [METHODS.hello]: (params) => this.#handleHello(params as HelloCall),
                [METHODS.announceLeader]: (params) => this.#handleLeaderAnnouncement(params),
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
            listPeers: () => this.#router.listMembers() as EntryId[],
            processStartedAtMs: this.#options.processStartedAtMs,
            snapshotIntervalEntries:
                this.#options.batchesPerSnapshot ?? DEFAULT_BATCHES_PER_SNAPSHOT,
            onLeadershipGained: () => this.#startLeading(),
            onLeadershipLost: (cause) => this.#stopLeading(cause),
            onPersisted: (durationMs) => this.#statusReporter.recordPersisted(durationMs),
            log: this.#options.log,
        });
        this.#member.start();
        this.#statusReporter.start();
        this.#ensurePrivateDataDir();
        this.#helloSubscription = interval(HELLO_INTERVAL_MS).subscribe(
            () => void this.#sendHello(),
        );
    }

    /** Hides a directory that an earlier release created: it may contain API keys now. */
    #ensurePrivateDataDir(): void {
        try {
            chmodSync(this.#options.dataDir, OWNER_ONLY);
        } catch (error) {
            this.#options.log.warn("data directory may be readable by others", {
                error: (error as Error).message,
            });
        }
    }

    /** Transfers leadership and stops. */
    async stop(): Promise<void> {
        this.#helloSubscription?.unsubscribe();
        this.#statusReporter.stop();
        await this.#member?.stop();
        this.#stopLeading("stopped");
        this.#network.close();
        await this.#server?.close();
    }

    /**
     * Handles a worker's heartbeat here or forwards it to the leader.
     *
     * @param call The heartbeat.
     * @returns Resolves after the heartbeat is recorded or queued for the next batch.
     * @throws {NoLeaderError} If no leader accepted it in time.
     */
    async handleHeartbeat(call: HeartbeatCall): Promise<void> {
        if (this.#isKeepAlive(call)) {
            const { record, sequence, clockMs } = call;
            await this.#keepAliveBatcher.add({
                worker: record.id,
                incarnation: record.incarnation,
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
     * The address for a worker's further heartbeats.
     *
     * @returns This instance if it is a follower in a large deployment, otherwise the leader.
     */
    get heartbeatAddress(): string | undefined {
        return this.#isLargeDeployment() && !this.isServing
            ? this.#options.publicAddress
            : this.leaderPublicAddress;
    }

    /**
     * Handles the departure of a worker here or forwards it to the leader.
     *
     * @param call The worker and its incarnation.
     * @returns Resolves after the departure is committed.
     * @throws {NoLeaderError} If no leader accepted it in time.
     */
    async handleLeave(call: LeaveCall): Promise<void> {
        await this.#runOrForward(METHODS.leave, call, (leadership) => leadership.handleLeave(call));
    }

    /**
     * Applies an operator's configuration or forwards it to the leader. A version that is not newer
     * than the committed one is acknowledged without a leader, so that retries succeed.
     *
     * @param configuration The configuration.
     * @returns Whether it was accepted.
     * @throws {NoLeaderError} If no leader accepted it in time.
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
     * Reads the latest configuration.
     *
     * @returns The operator's document; `undefined` if there is no configuration.
     * @throws {NoLeaderError} If no leader confirmed it in time.
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

    /**
     * Returns whether a heartbeat carries no changes and can be batched for the leader. Batches are
     * used in an outage too: single calls would hold up a new leader when it is busiest.
     */
    #isKeepAlive(call: HeartbeatCall): boolean {
        const known = this.#committedState.workers.get(call.record.id);
        return (
            this.#isLargeDeployment() &&
            !this.isServing &&
            !call.record.isDraining &&
            known !== undefined &&
            isSameReport(known, call.record)
        );
    }

    /**
     * Reads a job's state from this replica.
     *
     * @throws {MethodError} If this replica is behind, doesn't know the job or can't be sure that the
     *     caller may read it. The front then asks the leader.
     */
    async #readState(call: CallerCall): Promise<CallerAnswer> {
        const stalenessMs = this.#member?.stalenessMs ?? Number.POSITIVE_INFINITY;
        const job = this.#findReadableJob(call);
        const answer =
            job === undefined || stalenessMs > MAX_REPLICA_STALENESS_MS
                ? undefined
                : await this.#stateReader.readState(job);
        if (answer === undefined) {
            throw new MethodError("ask the leader", NOT_LEADER_CODE, { leader: undefined });
        }
        return answer;
    }

    /** Finds the job of a call, if this replica can be sure that the caller may read it. */
    #findReadableJob(call: CallerCall): JobId | undefined {
        const { configuration, jobs } = this.#committedState;
        const match = configuration && findQueue(configuration, call.host, call.path);
        if (configuration === undefined || match === undefined) {
            return undefined;
        }
        const { queue } = match;
        const access = this.#accessControl.checkCall(configuration, queue, call.apiKey);
        const id = match.pathSuffix as JobId;
        const job = jobs.get(id);
        const isReadable =
            access.type === "granted" &&
            job !== undefined &&
            isOwnJob(job, access.workspace, queue);
        return isReadable ? id : undefined;
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

    /**
     * Returns this instance's leadership; otherwise throws an error that names the leader.
     *
     * @throws {MethodError} If this instance is not the leader.
     */
    async #getLeadership(): Promise<Leadership> {
        const hasLease = await this.#waitForLease();
        if (hasLease && this.#leadership !== undefined) {
            return this.#leadership;
        }
        const leader = this.#member?.leaderOrHint;
        throw new MethodError("not the leader", NOT_LEADER_CODE, {
            leader: leader === this.#self ? undefined : leader,
        });
    }

    #getLeaderStatus(): LeaderStatus {
        const leader = this.#member?.leader;
        if (leader === this.#self) {
            return { leader, heardMsAgo: 0 };
        }
        const sinceMessageMs = this.#member?.sinceLeaderMessageMs ?? Number.POSITIVE_INFINITY;
        return { leader, heardMsAgo: Number.isFinite(sinceMessageMs) ? sinceMessageMs : undefined };
    }

    /** Waits for the leader lease if it has expired, and counts the calls that have to wait. */
    async #waitForLease(): Promise<boolean> {
        if (this.isServing || this.#leadership === undefined) {
            return this.isServing;
        }
        this.#options.metrics?.expiredLeaseCalls.inc();
        this.#expiredLeaseLog.add();
        await this.#member?.waitForLease();
        return this.isServing;
    }

    /** Converts a proposal error to an RPC error; its code shows whether the call may take effect. */
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

    #describeGroup(): GroupStatus | undefined {
        const replica = this.#member?.replica;
        return (
            replica && {
                role: replica.role,
                term: replica.term,
                leader: this.#member?.leader,
                voters: replica.voters.length,
                activeVoters: replica.countActiveVoters(),
                jobs: this.#committedState.jobs.size,
                appliedIndex: replica.appliedIndex,
            }
        );
    }

    #startLeading(): void {
        const replica = this.#member?.replica;
        if (replica === undefined) {
            return;
        }
        const startedAtMs = performance.now();
        const { term } = replica;
        this.#clock.start(this.#committedState.lastBatchAtMs);
        this.#voterPlanner.startLeading(performance.now());
        this.#leadership = new Leadership({
            committedState: this.#committedState,
            stateReader: this.#stateReader,
            accessControl: this.#accessControl,
            // The member may lead again while decisions of this leadership are under way.
            propose: (batch) =>
                replica.propose(batch, { term }).catch((error) => this.#refuseCall(error)),
            waitForLease: () => this.#waitForLease(),
            term,
            clock: {
                getNow: () => performance.now(),
                getWallTimeMs: () => this.#clock.getNow(),
            },
            workerCalls: this.#options.workerCalls,
            advise: (front, call) => this.#sendAdvise(front, call),
            limits: this.#options.limits,
            admission: this.#options.admission,
            metrics: this.#options.metrics,
            log: this.#options.log,
        });
        this.#options.metrics?.leading.set(1);
        this.#leadership.start();
        this.#updateFronts();
        this.#options.log.notice("lead gained", {
            term,
            voters: replica.voters.length,
            jobs: this.#committedState.jobs.size,
            appliedIndex: replica.appliedIndex,
            tookMs: Math.round(performance.now() - startedAtMs),
        });
    }

    #stopLeading(cause: ResignCause | "stopped"): void {
        if (this.#leadership !== undefined) {
            this.#options.log.notice("lead lost", {
                term: this.#member?.replica.term,
                appliedIndex: this.#member?.replica.appliedIndex,
                cause,
            });
            this.#options.metrics?.leadershipLosses.inc({ cause });
        }
        this.#voterPlanner.stopLeading();
        this.#options.metrics?.leading.set(0);
        this.#leadership?.stop();
        this.#leadership = undefined;
    }

    #sendAdvise(front: FrontId, call: AdviseCall): Promise<AdviseAnswer> {
        return this.#frontClients
            .getClient(front)
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
                this.#options.log.debug("failed to send hello to leader", { error: error.message });
                return undefined;
            });
        if (answer !== undefined) {
            this.#keepAliveBatcher.recordLeaderContact();
            this.#leaderPublicAddress = answer.publicAddress;
            this.#router.setMembers(answer.members);
        }
    }

    async #sendAnnouncement(instance: string, announcement: LeaderAnnouncement): Promise<void> {
        this.#options.metrics?.leaderAnnouncements.inc();
        await this.#network
            .getClient(instance as EntryId)
            ?.call(METHODS.announceLeader, announcement)
            .catch((error: Error) => {
                // The instance may be down, or of a release without this method.
                this.#options.log.debug("leader announcement failed", {
                    instance,
                    error: error.message,
                });
            });
    }

    #handleLeaderAnnouncement(params: unknown): Record<string, never> {
        const announcement = parseLeaderAnnouncement(params);
        if (announcement === undefined) {
            this.#options.metrics?.malformedAnnouncements.inc();
            this.#malformedAnnouncementLog.add();
            return {};
        }
        this.#member?.recordLeaderHint(announcement.leader as EntryId, announcement.term);
        this.#router.adoptLeader(announcement.leader);
        return {};
    }

    /** Updates the leader's view of the live fronts and control instances, and plans the voters. */
    #updateInstances(): void {
        const nowMs = performance.now();
        this.#instances.removeExpired(nowMs);
        this.#updateFronts();
        this.#announceLeader(nowMs);
        this.#voterPlanner.planVoters(
            nowMs,
            this.#listVotingInstances(),
            this.#instances.getControlZones(),
        );
    }

    #announceLeader(nowMs: number): void {
        const term = this.#member?.replica.term;
        if (term !== undefined && this.isServing) {
            const followers = this.#instances.listAddresses("control");
            this.#options.metrics?.followingInstances.set(followers.length);
            const seeds = this.#options.listSeeds();
            this.#announcer.announce({ term, seeds, followers, nowMs });
        }
    }

    #updateFronts(): void {
        const fronts = this.#instances.listAddresses("front");
        this.#leadership?.setFronts(fronts as unknown as FrontId[]);
    }
}
