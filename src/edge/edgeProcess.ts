/** The edge process: listeners, feeds, budgets and the order of start and shutdown. */
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { splitAddress } from "../base/address.js";
import { type Clock, SystemClock } from "../base/clock.js";
import { Counters } from "../base/counters.js";
import { log } from "../base/log.js";
import { type Random, SystemRandom } from "../base/random.js";
import { sleep } from "../base/sleep.js";
import { CircuitBreakerStore } from "../platform/circuitBreakerStore.js";
import type { PlatformStore } from "../platform/platformStore.js";
import { BudgetManager, type PeerHost } from "./budget/budgetManager.js";
import type { ProcessStart } from "./budget/ledger.js";
import { ConfigurationTracker } from "./configurationTracker.js";
import type { EdgeSettings } from "./edgeSettings.js";
import { EventLoopMonitor } from "./eventLoopMonitor.js";
import { CallerServer } from "./flow/callerServer.js";
import { RetryBudgets } from "./flow/retryBudgets.js";
import { EdgeMetrics } from "./metrics.js";
import { LoadReporter } from "./peers/loadReporter.js";
import { MemberList } from "./peers/memberList.js";
import { UdpPeerChannel } from "./peers/peerChannel.js";
import type { HeaderCodec, ObjectCodec } from "./protocolCodec.js";
import { RelayClient } from "./relay/relayClient.js";
import { RelayedStore } from "./relay/relayedStore.js";
import { RelayServer } from "./relay/relayServer.js";
import { selectWatchSource, type WatchSource } from "./relay/watchSource.js";
import { UpstreamDirectory } from "./upstream/upstreamDirectory.js";
import { UpstreamFeed } from "./upstream/upstreamFeed.js";

/** What the process is built from beyond its settings. */
export interface EdgeDependencies {
    readonly store: PlatformStore;
    readonly headerCodec: HeaderCodec;
    readonly objectCodec: ObjectCodec;
}

/** Ports of the listeners. */
export interface BoundPorts {
    readonly callerPort: number;
    readonly readinessPort: number;
}

/** Interval of periodic work, in milliseconds. */
const TickIntervalMs = 20;

/** Interval in which a shutdown looks for open requests, in milliseconds. */
const ShutdownPollMs = 20;

/** Part of the grace period kept for the last write and the exit, in milliseconds. */
const ExitReserveMs = 700;

/** Longest time of the last budget write, in milliseconds. */
const FinalWriteMs = 400;

const NsPerMs = 1_000_000n;
const BytesPerMbit = 125_000;

/**
 * Interval in which a lost store is tested, in milliseconds; each call is priced. A host that others tell of its return tests it
 * less often, and is in step well within the time in which the store counts as unstable.
 */
const ProbeIntervalMs = 500;
const ToldProbeIntervalMs = 1_500;

const NoHosts: readonly PeerHost[] = [];

/** Hosts to assume for each zone until they are listed. */
const ExpectedHostsPerZone = 2;

/** An edge router. */
export class EdgeProcess {
    #settings: EdgeSettings;
    readonly #dependencies: EdgeDependencies;
    readonly #clock: Clock = new SystemClock();
    readonly #random: Random = new SystemRandom();
    readonly #metrics = new EdgeMetrics(new Counters());
    readonly #loopDelay = new EventLoopMonitor(TickIntervalMs, delayMs => this.#metrics.recordLoopDelay(delayMs));
    readonly #configuration: ConfigurationTracker;
    readonly #directory: UpstreamDirectory;
    readonly #upstreamFeed: UpstreamFeed;
    readonly #budgets: BudgetManager;
    readonly #store: CircuitBreakerStore;
    readonly #members: MemberList;
    readonly #relayClient = new RelayClient();
    readonly #relayServer: RelayServer;
    readonly #channel: UdpPeerChannel;
    readonly #gossip: LoadReporter;
    readonly #listener: CallerServer;
    readonly #readiness: Server;
    readonly #incarnation: string;
    readonly #start: ProcessStart;
    #ticker: NodeJS.Timeout | undefined;
    #chosen: { readonly others: readonly PeerHost[]; readonly choice: WatchSource<PeerHost>; } | undefined;
    #isLeaving = false;
    #wasConnected = true;

    constructor(settings: EdgeSettings, dependencies: EdgeDependencies) {
        this.#settings = settings;
        this.#dependencies = dependencies;
        this.#store = new CircuitBreakerStore(dependencies.store, this.#clock);
        this.#start = { wallMs: this.#clock.wallMs(), steadyMs: steadyMs() };
        this.#incarnation = `${Math.floor(this.#clock.wallMs()).toString(36)}${this.#random.hex(6)}`;
        this.#directory = new UpstreamDirectory(this.#clock);
        const watched = this.#createRelayedStore();
        this.#relayServer = new RelayServer({
            clock: this.#clock,
            changeLogFor: prefix => watched.changeLogFor(prefix),
        });
        this.#configuration = new ConfigurationTracker(watched, dependencies.objectCodec, this.#clock, table => {
            this.#listener.applyLimits(table.configuration.limits);
        });
        this.#upstreamFeed = new UpstreamFeed(watched, dependencies.objectCodec, this.#clock, this.#directory);
        this.#members = new MemberList({
            store: this.#store,
            clock: this.#clock,
            prefix: dependencies.objectCodec.hostPrefix,
            ownHost: { hostId: settings.hostId, zone: settings.zone, peerAddress: settings.peerAddress },
        });
        this.#channel = new UdpPeerChannel(
            address => this.#members.hasAddress(address),
            () => this.#members.recordUnknownSender(),
        );
        this.#budgets = this.#createBudgets();
        this.#gossip = new LoadReporter({
            clock: this.#clock,
            random: this.#random,
            directory: this.#directory,
            channel: this.#channel,
            hostId: settings.hostId,
            incarnation: this.#incarnation,
            peerAddresses: () => (this.#members.otherHosts ?? []).map(({ peerAddress }) => peerAddress),
        });
        this.#listener = this.#createListener();
        this.#readiness = createServer((_request, response) => {
            response.writeHead(this.isReady ? 200 : 503, { "Content-Length": 0 });
            response.end();
        });
    }

    /** @returns Whether a request taken now could be served, and the link has room for more callers. */
    get isReady(): boolean {
        return !this.#isLeaving && !this.#listener.isLinkBusy && this.#configuration.routeTable !== undefined &&
            !this.#directory.isEmpty;
    }

    /**
     * Opens the listeners and starts to follow the store.
     * @returns Ports that were opened; they differ from the settings where those name port 0.
     */
    async start(): Promise<BoundPorts> {
        const caller = splitAddress(this.#settings.listen.caller);
        const readiness = splitAddress(this.#settings.listen.readiness);
        this.#configuration.start();
        this.#upstreamFeed.start();
        const callerPort = await this.#listener.start(caller.host, caller.port);
        await new Promise<void>((resolve, reject) => {
            this.#readiness.once("error", reject);
            this.#readiness.listen(readiness.port, readiness.host, resolve);
        });
        if (this.#settings.listen.metrics !== undefined) {
            const metrics = splitAddress(this.#settings.listen.metrics);
            await this.#metrics.start(metrics.host, metrics.port);
        }
        const peer = splitAddress(this.#settings.peerAddress);
        await this.#relayServer.start(peer.host, peer.port);
        this.#channel.start(peer.host, peer.port);
        this.#gossip.start();
        this.#ticker = setInterval(() => this.#tick(), TickIntervalMs);
        log.info("edge started", {
            host: this.#settings.hostId,
            incarnation: this.#incarnation,
            zone: this.#settings.zone,
            caller: this.#settings.listen.caller,
            steadyMs: this.#start.steadyMs,
        });
        return { callerPort, readinessPort: (this.#readiness.address() as AddressInfo).port };
    }

    /** Stops taking new connections, finishes open requests, gives unused tokens back. */
    async stop(): Promise<void> {
        this.#isLeaving = true;
        const startedMs = this.#clock.monotonicMs();
        const elapsedMs = () => this.#clock.monotonicMs() - startedMs;
        this.#budgets.startLeaving();
        log.info("edge stops", { host: this.#settings.hostId, open: this.#listener.openRequestCount });
        const lastMs = this.#settings.graceMs - ExitReserveMs;
        while (elapsedMs() < Math.min(this.#settings.drainNoticeMs, lastMs)) {
            await sleep(ShutdownPollMs);
        }
        this.#listener.stopAccepting();
        while (this.#listener.openRequestCount > 0 && elapsedMs() < lastMs) {
            await sleep(ShutdownPollMs);
        }
        this.#listener.refuseRequests();
        await Promise.race([Promise.all([this.#budgets.close(), this.#members.unregister()]), sleep(FinalWriteMs)]);
        while (this.#listener.openRequestCount > 0 && elapsedMs() < lastMs) {
            await sleep(ShutdownPollMs);
        }
        clearInterval(this.#ticker);
        this.#configuration.stop();
        this.#upstreamFeed.stop();
        this.#gossip.stop();
        this.#channel.stop();
        this.#relayServer.stop();
        this.#relayClient.close();
        this.#metrics.stop();
        this.#listener.destroy();
        this.#readiness.close();
        this.#readiness.closeAllConnections();
        log.info("edge stopped", {
            host: this.#settings.hostId,
            open: this.#listener.openRequestCount,
            elapsedMs: elapsedMs(),
        });
    }

    /** Takes over settings that may change while the process runs: the times of a shutdown. Others need a restart. */
    applySettings(settings: EdgeSettings): void {
        const { graceMs, drainNoticeMs } = settings;
        const needsRestart = JSON.stringify({ ...settings, graceMs, drainNoticeMs }) !==
            JSON.stringify({ ...this.#settings, graceMs, drainNoticeMs });
        this.#settings = { ...this.#settings, graceMs, drainNoticeMs };
        log.info("settings reloaded", { host: this.#settings.hostId, graceMs, drainNoticeMs, needsRestart });
    }

    /** @returns State for the dump. */
    dumpState(): unknown {
        return {
            host: this.#settings.hostId,
            incarnation: this.#incarnation,
            ready: this.isReady,
            configuration: this.#configuration.routeTable?.configuration.version,
            open: this.#listener.openRequestCount,
            budgets: this.#budgets.dumpState(),
            upstreams: this.#directory.all.map(upstream => ({ ...upstream.entry, open: upstream.openRequestCount })),
        };
    }

    /** @returns Hosts that share what a service allows in repeated sends. */
    get #hostCount(): number {
        const knownCount = (this.#members.otherHosts?.length ?? 0) + 1;
        return Math.max(knownCount, this.#settings.zoneCount * ExpectedHostsPerZone);
    }

    /** @returns Whether other hosts tell this one of the store's return, and it has no budgets to keep there. */
    get #isTold(): boolean {
        return this.#watcherChoice.kind === "ask" && !this.#budgets.hasOpenLedgers &&
            this.#configuration.routeTable !== undefined;
    }

    #tick(): void {
        this.#loopDelay.recordTick(this.#clock.monotonicMs());
        this.#directory.tick();
        this.#members.tick();
        this.#listener.tick();
        const { isConnected } = this.#configuration;
        if (isConnected && !this.#wasConnected) {
            this.#budgets.onStoreReconnected();
        }
        this.#wasConnected = isConnected;
        this.#store.probeIntervalMs = this.#isTold ? ToldProbeIntervalMs : ProbeIntervalMs;
        if (this.#configuration.routeTable !== undefined) {
            this.#budgets.tick();
        }
    }

    /** The choice depends on the list of hosts alone and is made anew when that changes. */
    get #watcherChoice(): WatchSource<PeerHost> {
        const others = this.#members.otherHosts ?? NoHosts;
        if (this.#chosen?.others !== others) {
            const { hostId, zone, peerAddress } = this.#settings;
            const own = { hostId, zone, peerAddress };
            this.#chosen = { others, choice: selectWatchSource([...others, own], own) };
        }
        return this.#chosen.choice;
    }

    /** Watches of both feeds; they go to a watcher of the zone where there is one. */
    #createRelayedStore(): RelayedStore {
        return new RelayedStore({
            store: this.#store,
            client: this.#relayClient,
            clock: this.#clock,
            counters: this.#metrics.counters,
            watchSource: () => this.#watcherChoice,
        });
    }

    #createBudgets(): BudgetManager {
        return new BudgetManager({
            store: this.#store,
            clock: this.#clock,
            counters: this.#metrics.counters,
            channel: this.#channel,
            ledgerPrefix: `${this.#dependencies.objectCodec.budgetPrefix}ledger-`,
            recordKey: `${this.#dependencies.objectCodec.budgetPrefix}host-${this.#settings.hostId}`,
            hostId: this.#settings.hostId,
            incarnation: this.#incarnation,
            peerAddress: this.#settings.peerAddress,
            processStart: this.#start,
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

    #createListener(): CallerServer {
        const { retryRatio, retryWindowMs, retrySlackCount, maxHeaderBytes, zone, linkMbps } = this.#settings;
        return new CallerServer({
            clock: this.#clock,
            random: this.#random,
            codec: this.#dependencies.headerCodec,
            directory: this.#directory,
            budgets: this.#budgets,
            retryBudgets: new RetryBudgets(
                { ratio: retryRatio, windowMs: retryWindowMs, minRetryCount: retrySlackCount },
                () => this.#hostCount,
            ),
            metrics: this.#metrics,
            zone,
            maxHeaderBytes,
            linkBytesPerS: linkMbps === undefined ? undefined : linkMbps * BytesPerMbit,
            peerLoad: upstream => this.#gossip.peerLoadAt(upstream.entry.id),
            configuration: () => this.#configuration,
            isLeaving: () => this.#isLeaving,
            loopDelayMs: () => this.#loopDelay.latestDelayMs,
        });
    }
}

/** @returns The machine's steady clock in milliseconds; processes of one start of the machine share it. */
function steadyMs(): number {
    return Number(process.hrtime.bigint() / NsPerMs);
}
