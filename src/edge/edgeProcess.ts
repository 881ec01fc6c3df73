/** The edge process: creates the listeners, store feeds and budgets, and starts and stops them in order. */
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { splitAddress } from "../base/address.js";
import { type Clock, SystemClock } from "../base/clock.js";
import { Counters } from "../base/counters.js";
import { log } from "../base/log.js";
import { type Random, SystemRandom } from "../base/random.js";
import { steadyMs } from "../base/steadyClock.js";
import { CallCountingStore } from "../platform/callCountingStore.js";
import { CircuitBreakerStore } from "../platform/circuitBreakerStore.js";
import type { PlatformStore } from "../platform/platformStore.js";
import { BudgetManager, type PeerHost } from "./budget/budgetManager.js";
import type { ProcessStart } from "./budget/ledger.js";
import { ConfigurationTracker } from "./configurationTracker.js";
import type { EdgeSettings } from "./edgeSettings.js";
import type { Service } from "./edgeTypes.js";
import { EvacuationManager } from "./evacuation/evacuationManager.js";
import { EventLoopMonitor } from "./eventLoopMonitor.js";
import { CallerServer } from "./flow/callerServer.js";
import { RetryBudgets } from "./flow/retryBudgets.js";
import { StopMonitor } from "./flow/stopMonitor.js";
import { ProcessListeners } from "./listener/processListeners.js";
import { EdgeMetrics } from "./metrics.js";
import { LoadReporter } from "./peers/loadReporter.js";
import { MemberList } from "./peers/memberList.js";
import { UdpPeerChannel } from "./peers/peerChannel.js";
import type { HeaderCodec, ObjectCodec } from "./protocolCodec.js";
import { PromptQuarantine } from "./quarantine/promptQuarantine.js";
import { ColdLimits } from "./rateLimit/coldLimits.js";
import { RateLimits } from "./rateLimit/rateLimits.js";
import { PeerRoutedStore } from "./relay/peerRoutedStore.js";
import { RelayClient } from "./relay/relayClient.js";
import { RelayedStore } from "./relay/relayedStore.js";
import { RelayServer } from "./relay/relayServer.js";
import { StoreProxyClient } from "./relay/storeProxyClient.js";
import { StoreProxyServer } from "./relay/storeProxyServer.js";
import { StoreRoutes } from "./relay/storeRoutes.js";
import { RequestDurations } from "./stop/requestDurations.js";
import { StopAdmission } from "./stop/stopAdmission.js";
import { StopSequence } from "./stopSequence.js";
import { StoreCallLog } from "./storeCallLog.js";
import { UpstreamDirectory } from "./upstream/upstreamDirectory.js";
import { UpstreamFeed } from "./upstream/upstreamFeed.js";

/** Collaborators of {@link EdgeProcess} that depend on the deployment. */
export interface EdgeDependencies {
    readonly store: PlatformStore;
    readonly headerCodec: HeaderCodec;
    readonly objectCodec: ObjectCodec;
}

/** Ports on which the listeners accept connections. */
export interface BoundPorts {
    readonly callerPort: number;
    readonly readinessPort: number;
}

/** Interval of periodic work, in milliseconds. */
const TickIntervalMs = 20;

const BytesPerMbit = 125_000;

/**
 * Intervals at which an unreachable store is probed, in milliseconds; each call is charged for. A host that learns of the store's
 * recovery from a watcher probes less often. It is still up to date well before the store counts as stable again.
 */
const ProbeIntervalMs = 500;
const RelayedProbeIntervalMs = 1_500;

const NoServices: readonly Service[] = [];

/** Number of hosts to assume for each zone until the hosts are listed. */
const ExpectedHostsPerZone = 2;

/** An edge router: forwards the requests of callers to upstreams. */
export class EdgeProcess {
    #settings: EdgeSettings;
    readonly #dependencies: EdgeDependencies;
    readonly #clock: Clock = new SystemClock();
    readonly #random: Random = new SystemRandom();
    readonly #metrics = new EdgeMetrics(new Counters());
    readonly #eventLoopMonitor = new EventLoopMonitor(
        TickIntervalMs,
        delayMs => this.#metrics.recordLoopDelay(delayMs),
    );
    readonly #configuration: ConfigurationTracker;
    readonly #directory: UpstreamDirectory;
    readonly #upstreamFeed: UpstreamFeed;
    readonly #budgets: BudgetManager;
    /** This host's own access to the store. */
    readonly #ownStore: CircuitBreakerStore;
    /** The store, through another host while the own access fails. */
    readonly #store: PeerRoutedStore;
    readonly #storeCallLog: StoreCallLog;
    readonly #storeProxyClient = new StoreProxyClient();
    readonly #members: MemberList;
    readonly #relayClient = new RelayClient();
    readonly #relayServer: RelayServer;
    readonly #listeners: ProcessListeners;
    readonly #storeRoutes: StoreRoutes;
    readonly #peerChannel: UdpPeerChannel;
    readonly #loadReporter: LoadReporter;
    readonly #quarantine: PromptQuarantine;
    readonly #limits: RateLimits;
    /** `undefined` if the settings switch evacuations off. */
    readonly #evacuations: EvacuationManager | undefined;
    readonly #durations = new RequestDurations(this.#clock);
    readonly #stopAdmission = new StopAdmission(this.#clock, this.#durations);
    readonly #stopMonitor = new StopMonitor(this.#metrics.counters);
    readonly #callerServer: CallerServer;
    readonly #readinessServer: Server;
    readonly #incarnation: string;
    readonly #processStart: ProcessStart;
    #tickTimer: NodeJS.Timeout | undefined;
    #stopSequence: StopSequence | undefined;
    #stopped: Promise<void> | undefined;
    #wasStoreConnected = true;
    #storeHistory: number | undefined;

    constructor(settings: EdgeSettings, dependencies: EdgeDependencies) {
        this.#settings = settings;
        this.#dependencies = dependencies;
        const ownHost: PeerHost = { hostId: settings.hostId, zone: settings.zone, peerAddress: settings.peerAddress };
        this.#storeRoutes = new StoreRoutes(ownHost, () => this.#members.otherHosts);
        this.#incarnation = `${Math.floor(this.#clock.wallMs()).toString(36)}${this.#random.hex(6)}`;
        this.#storeCallLog = new StoreCallLog(this.#clock, dependencies.objectCodec, this.#incarnation);
        this.#ownStore = new CircuitBreakerStore(
            new CallCountingStore(
                dependencies.store,
                (operation, key) => this.#storeCallLog.record(operation, key),
            ),
            this.#clock,
        );
        this.#store = new PeerRoutedStore({
            store: this.#ownStore,
            client: this.#storeProxyClient,
            clock: this.#clock,
            counters: this.#metrics.counters,
            probeKey: this.#recordKey(settings),
            helpers: () => this.#storeRoutes.helpers,
        });
        this.#processStart = { wallMs: this.#clock.wallMs(), steadyMs: steadyMs() };
        this.#directory = new UpstreamDirectory(this.#clock, () => this.#evacuations?.zoneFilter);
        const relayedStore = this.#createRelayedStore();
        this.#listeners = new ProcessListeners(settings, this.#clock);
        this.#relayServer = new RelayServer({
            clock: this.#clock,
            changeLogFor: prefix => relayedStore.changeLogFor(prefix),
            storeProxy: new StoreProxyServer(this.#ownStore, this.#listeners.memory),
            limit: this.#listeners.limitPeers,
        });
        this.#configuration = new ConfigurationTracker(relayedStore, dependencies.objectCodec, this.#clock, table => {
            this.#callerServer.applyLimits(table.configuration.limits);
        });
        const cold = new ColdLimits({
            clock: this.#clock,
            counters: this.#metrics.counters,
            services: () => this.#configuration.routeTable?.configuration.services ?? NoServices,
            storeConfirmedAtMs: () => this.#upstreamFeed.lastSuccessMs,
        });
        const { objectCodec } = dependencies;
        this.#upstreamFeed = new UpstreamFeed(relayedStore, objectCodec, this.#clock, this.#directory, cold);
        this.#members = new MemberList({
            store: this.#store,
            clock: this.#clock,
            prefix: dependencies.objectCodec.hostPrefix,
            ownHost,
        });
        this.#peerChannel = new UdpPeerChannel(
            address => this.#members.hasAddress(address),
            () => this.#members.recordUnknownSender(),
        );
        this.#budgets = this.#createBudgets();
        const peerDependencies = {
            clock: this.#clock,
            directory: this.#directory,
            channel: this.#peerChannel,
            ownHost,
            incarnation: this.#incarnation,
            otherHosts: () => this.#members.otherHosts,
        };
        this.#loadReporter = new LoadReporter({ ...peerDependencies, random: this.#random });
        this.#quarantine = new PromptQuarantine({
            ...peerDependencies,
            counters: this.#metrics.counters,
            store: this.#store,
            recordKey: dependencies.objectCodec.evidenceKey,
        });
        this.#evacuations = settings.evacuateMs === undefined ? undefined : new EvacuationManager({
            ...peerDependencies,
            random: this.#random,
            counters: this.#metrics.counters,
            store: relayedStore,
            codec: dependencies.objectCodec,
            evacuateMs: settings.evacuateMs,
            zones: settings.zones,
            listedZones: () => this.#directory.zones,
        });
        this.#limits = new RateLimits({ ...peerDependencies, counters: this.#metrics.counters, cold });
        this.#callerServer = this.#createCallerServer();
        this.#readinessServer = createServer((_request, response) => {
            response.writeHead(this.isReady ? 200 : 503, { "Content-Length": 0 });
            response.end();
        });
        this.#listeners.limitOperators(this.#readinessServer);
    }

    /** @returns Whether a request accepted now could be served, and the link has capacity for more callers. */
    get isReady(): boolean {
        return this.#stopSequence === undefined && !this.#callerServer.isLinkBusy &&
            this.#configuration.routeTable !== undefined &&
            !this.#directory.isEmpty && this.#quarantine.isInformed && this.#evacuations?.isInformed !== false;
    }

    /**
     * Opens the listeners and starts to follow the store. Rejects when a listener cannot be opened.
     * @returns The ports of the listeners; for port 0 in the settings, the port that the operating system chose.
     */
    async start(): Promise<BoundPorts> {
        const caller = splitAddress(this.#settings.listen.caller);
        const readiness = splitAddress(this.#settings.listen.readiness);
        this.#configuration.start();
        this.#upstreamFeed.start();
        this.#evacuations?.start();
        this.#quarantine.start();
        const callerPort = await this.#callerServer.start(caller.host, caller.port);
        await new Promise<void>((resolve, reject) => {
            this.#readinessServer.once("error", reject);
            this.#readinessServer.listen(readiness.port, readiness.host, resolve);
        });
        if (this.#settings.listen.metrics !== undefined) {
            const metrics = splitAddress(this.#settings.listen.metrics);
            await this.#metrics.start(metrics.host, metrics.port, this.#listeners.limitOperators);
        }
        const peer = splitAddress(this.#settings.peerAddress);
        await this.#relayServer.start(peer.host, peer.port);
        this.#peerChannel.start(peer.host, peer.port);
        this.#loadReporter.start();
        this.#tickTimer = setInterval(() => this.#tick(), TickIntervalMs);
        log.info("edge started", {
            host: this.#settings.hostId,
            incarnation: this.#incarnation,
            zone: this.#settings.zone,
            caller: this.#settings.listen.caller,
            steadyMs: this.#processStart.steadyMs,
        });
        return { callerPort, readinessPort: (this.#readinessServer.address() as AddressInfo).port };
    }

    /**
     * Stops accepting connections, waits for open requests within the grace period and returns unused tokens. Later calls wait for
     * the same stop.
     */
    stop(): Promise<void> {
        this.#stopped ??= this.#stop();
        return this.#stopped;
    }

    async #stop(): Promise<void> {
        const { hostId, graceMs, drainNoticeMs } = this.#settings;
        const handledAtMs = this.#clock.monotonicMs();
        const maxWaitMs = this.#eventLoopMonitor.maxWaitMs(handledAtMs);
        const sequence = new StopSequence(
            {
                clock: this.#clock,
                callerServer: this.#callerServer,
                stopAdmission: this.#stopAdmission,
                writeLast: () => Promise.all([this.#budgets.close(), this.#members.unregister()]),
            },
            { graceMs, drainNoticeMs },
            handledAtMs - maxWaitMs,
        );
        this.#stopSequence = sequence;
        this.#stopMonitor.start(sequence.startedAtMs);
        this.#budgets.startLeaving();
        log.info("edge stops", {
            host: hostId,
            open: this.#callerServer.openRequestCount,
            graceMs,
            drainNoticeMs,
            maxSignalDelayMs: Math.round(maxWaitMs),
        });
        await sequence.run();
        clearInterval(this.#tickTimer);
        this.#configuration.stop();
        this.#upstreamFeed.stop();
        this.#evacuations?.stop();
        this.#loadReporter.stop();
        this.#peerChannel.stop();
        this.#relayServer.stop();
        this.#relayClient.close();
        this.#storeProxyClient.close();
        this.#metrics.stop();
        this.#callerServer.destroy();
        this.#readinessServer.close();
        this.#readinessServer.closeAllConnections();
        this.#storeCallLog.flush();
        log.info("edge stopped", {
            host: this.#settings.hostId,
            open: this.#callerServer.openRequestCount,
            elapsedMs: sequence.elapsedMs,
            refused: this.#stopMonitor.refusedCount,
            cut: this.#stopMonitor.cutCount,
        });
    }

    /**
     * Applies the settings that may change while the process runs: the durations of a shutdown. Others need a restart. A shutdown that
     * has begun can only become shorter.
     */
    applySettings(settings: EdgeSettings): void {
        const { graceMs, drainNoticeMs } = settings;
        const needsRestart = JSON.stringify({ ...settings, graceMs, drainNoticeMs }) !==
            JSON.stringify({ ...this.#settings, graceMs, drainNoticeMs });
        this.#settings = { ...this.#settings, graceMs, drainNoticeMs };
        this.#stopSequence?.shorten(graceMs);
        log.info("settings reloaded", { host: this.#settings.hostId, graceMs, drainNoticeMs, needsRestart });
    }

    /** @returns The state of the process, for the state dump. */
    dumpState(): unknown {
        return {
            host: this.#settings.hostId,
            incarnation: this.#incarnation,
            ready: this.isReady,
            configuration: this.#configuration.routeTable?.configuration.version,
            open: this.#callerServer.openRequestCount,
            budgets: this.#budgets.dumpState(),
            quarantine: this.#quarantine.dumpState(),
            limits: this.#limits.dumpState(),
            evacuations: this.#evacuations?.dumpState(),
            upstreams: this.#directory.all.map(upstream => ({ ...upstream.entry, open: upstream.openRequestCount })),
        };
    }

    /** @returns Number of hosts that share a service's retry budget. */
    get #hostCount(): number {
        const knownCount = (this.#members.otherHosts?.length ?? 0) + 1;
        return Math.max(knownCount, this.#settings.zoneCount * ExpectedHostsPerZone);
    }

    /** @returns Whether a watcher reports the store's recovery to this host, which has no open budget ledgers in the store. */
    get #canRelyOnWatcher(): boolean {
        return this.#storeRoutes.watchSource.kind === "askWatchers" && !this.#budgets.hasOpenLedgers &&
            this.#configuration.routeTable !== undefined;
    }

    #tick(): void {
        this.#eventLoopMonitor.recordTick(this.#clock.monotonicMs());
        this.#storeCallLog.tick();
        this.#directory.tick();
        this.#members.tick();
        this.#callerServer.tick();
        this.#listeners.tick();
        this.#quarantine.tick();
        this.#limits.tick();
        this.#evacuations?.tick();
        const { isConnected } = this.#configuration;
        if (isConnected && !this.#wasStoreConnected) {
            this.#budgets.onStoreReconnected();
        }
        this.#wasStoreConnected = isConnected;
        const { storeHistory } = this.#configuration;
        if (this.#storeHistory !== undefined && storeHistory !== this.#storeHistory) {
            this.#members.onStoreRestored();
            this.#quarantine.onStoreRestored();
            this.#budgets.onStoreRestored(storeHistory ?? 0);
        }
        this.#storeHistory = storeHistory;
        this.#ownStore.probeIntervalMs = this.#canRelyOnWatcher ? RelayedProbeIntervalMs : ProbeIntervalMs;
        if (this.#configuration.routeTable !== undefined) {
            this.#budgets.tick();
        }
    }

    #recordKey({ hostId }: EdgeSettings): string {
        return `${this.#dependencies.objectCodec.budgetPrefix}host-${hostId}`;
    }

    /** Creates the store for both feeds; its watches go to a watcher of the zone where there is one. */
    #createRelayedStore(): RelayedStore {
        return new RelayedStore({
            store: this.#store,
            client: this.#relayClient,
            clock: this.#clock,
            counters: this.#metrics.counters,
            watchSource: () => this.#storeRoutes.watchSource,
        });
    }

    #createBudgets(): BudgetManager {
        return new BudgetManager({
            store: this.#store,
            clock: this.#clock,
            counters: this.#metrics.counters,
            channel: this.#peerChannel,
            ledgerPrefix: `${this.#dependencies.objectCodec.budgetPrefix}ledger-`,
            recordKey: this.#recordKey(this.#settings),
            hostId: this.#settings.hostId,
            incarnation: this.#incarnation,
            peerAddress: this.#settings.peerAddress,
            processStart: this.#processStart,
            steadyMs,
            zone: this.#settings.zone,
            otherHosts: () => this.#members.otherHosts,
            prepaidTokens: team => this.#configuration.routeTable?.findTeamByName(team)?.prepaidTokens,
            prepaidTeams: () =>
                (this.#configuration.routeTable?.configuration.teams ?? [])
                    .filter(team => team.prepaidTokens !== undefined)
                    .map(team => team.name),
        });
    }

    #createCallerServer(): CallerServer {
        const { retryRatio, retryWindowMs, retrySlackCount, maxHeaderBytes, zone, linkMbps, callerLimits } =
            this.#settings;
        return new CallerServer({
            clock: this.#clock,
            random: this.#random,
            codec: this.#dependencies.headerCodec,
            directory: this.#directory,
            budgets: this.#budgets,
            retryBudgets: new RetryBudgets(
                { ratio: retryRatio, windowMs: retryWindowMs, minRetryCount: retrySlackCount },
                () => this.#hostCount,
                this.#random.next(),
            ),
            metrics: this.#metrics,
            quarantine: this.#quarantine,
            limits: this.#limits,
            durations: this.#durations,
            stopAdmission: this.#stopAdmission,
            stopMonitor: this.#stopMonitor,
            zone,
            maxHeaderBytes,
            callerMemory: this.#listeners.memory,
            parsing: this.#listeners.parsing,
            processLimits: this.#listeners.limits,
            callerLimits,
            linkBytesPerS: linkMbps === undefined ? undefined : linkMbps * BytesPerMbit,
            peerLoad: upstream => this.#loadReporter.peerLoadAt(upstream.entry.id),
            peerEventTimeMs: upstream => this.#loadReporter.peerEventTimeMs(upstream.entry.id),
            onSent: promptTokens => this.#loadReporter.recordSend(promptTokens),
            hostCount: () => this.#hostCount,
            configuration: () => this.#configuration,
            areEvacuationsKnown: () => this.#evacuations?.isReliable ?? true,
            isLeaving: () => this.#stopSequence !== undefined,
            loopDelayMs: () => this.#eventLoopMonitor.latestDelayMs,
        });
    }
}
