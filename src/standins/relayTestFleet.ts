/** Test fleet whose hosts follow one store through watchers, with fault injection for each host. */
import { SystemClock } from "../base/clock.js";
import { Counters } from "../base/counters.js";
import { sleep } from "../base/sleep.js";
import { PeerRoutedStore } from "../edge/relay/peerRoutedStore.js";
import { RelayClient, type RelayOutcome } from "../edge/relay/relayClient.js";
import { RelayedStore } from "../edge/relay/relayedStore.js";
import { RelayServer } from "../edge/relay/relayServer.js";
import { type ProxyOutcome, StoreProxyClient } from "../edge/relay/storeProxyClient.js";
import type { StoreCall } from "../edge/relay/storeProxyMessages.js";
import { StoreProxyServer } from "../edge/relay/storeProxyServer.js";
import { type HostLocation, orderStoreHelpers, selectWatchSource } from "../edge/relay/watchSource.js";
import { StoreFeed } from "../edge/storeFeed.js";
import { CircuitBreakerStore } from "../platform/circuitBreakerStore.js";
import {
    type ListOutcome,
    PlatformStore,
    type ReadOutcome,
    type WatchOutcome,
    type WriteOutcome,
} from "../platform/platformStore.js";
import { ObjectStore } from "./platform/objectStore.js";

/**
 * Faults of a host. `dead` hosts lose their state, `frozen` ones keep it, `suspended` ones keep it while their clock stands
 * still, `storeCut` ones get no responses from the store, `peerCut` ones get none from other hosts, `storeSlow` ones get the
 * responses of the store late.
 */
export const RelayHostFaults = ["dead", "frozen", "suspended", "storeCut", "peerCut", "storeSlow"] as const;
/** A fault of a host; see {@link RelayHostFaults}. */
export type RelayHostFault = (typeof RelayHostFaults)[number];

/** Objects per page, as many as the feed requests; the fleet has only one object. */
const PageSize = 500;

const KeyPrefix = "config/";
const ObjectKey = "config/main";

/** Time after which a call without a response fails, in milliseconds. */
const CallTimeoutMs = 1_000;
/** Delay of the responses of a slow store, in milliseconds. */
const SlowStoreDelayMs = 300;

/** Time that a client waits for a watcher beyond the wait of the watch, in milliseconds, as in {@link RelayClient}. */
const RelayTimeoutMarginMs = 300;

/** Interval at which a call checks whether the fault of its host has ended, in milliseconds. */
const FaultPollIntervalMs = 10;

/** Interval at which a host of a large fleet probes an unreachable store, in milliseconds; the edge process uses the same. */
const LargeFleetProbeIntervalMs = 1_500;

/** A clock that stands still while its host is suspended. */
class HostClock extends SystemClock {
    #suspendedMs = 0;
    #stoppedAtMs: number | undefined;

    override monotonicMs(): number {
        return (this.#stoppedAtMs ?? super.monotonicMs()) - this.#suspendedMs;
    }

    stop(): void {
        this.#stoppedAtMs ??= super.monotonicMs();
    }

    start(): void {
        if (this.#stoppedAtMs !== undefined) {
            this.#suspendedMs += super.monotonicMs() - this.#stoppedAtMs;
            this.#stoppedAtMs = undefined;
        }
    }
}

/** The store as one host reaches it, with the faults of that host. */
class HostStore extends PlatformStore {
    readonly #objects: ObjectStore;
    readonly #host: RelayTestHost;

    constructor(objects: ObjectStore, host: RelayTestHost) {
        super();
        this.#objects = objects;
        this.#host = host;
    }

    override async list(prefix: string): Promise<ListOutcome> {
        const failure = await this.#delay();
        const listed = this.#objects.list(prefix, "", PageSize);
        return failure ?? (listed.status === "listed" ? { ...listed, revision: this.#objects.revision } : listed);
    }

    override async watch(prefix: string, afterRevision: number, waitMs: number): Promise<WatchOutcome> {
        const failure = await this.#delay();
        if (failure !== undefined) {
            return failure;
        }
        const outcome = this.#objects.changesAfter(prefix, afterRevision);
        if (outcome.status !== "changed" || outcome.changes.length > 0) {
            return outcome;
        }
        await new Promise<void>(resolve => {
            const stop = this.#objects.onChange(() => finish());
            const timer = setTimeout(() => finish(), waitMs);
            const finish = () => {
                clearTimeout(timer);
                stop();
                resolve();
            };
        });
        return await this.#delay() ?? this.#objects.changesAfter(prefix, afterRevision);
    }

    /** Only probes read an object; the result does not matter beyond whether the store responds. */
    override async get(): Promise<ReadOutcome> {
        return await this.#delay() ?? { status: "absent" };
    }

    override put(): Promise<WriteOutcome> {
        throw new Error("not used");
    }

    override delete(): Promise<WriteOutcome> {
        throw new Error("not used");
    }

    async #delay(): Promise<{ readonly status: "unavailable"; readonly reason: string; } | undefined> {
        await this.#host.waitUntilRunning();
        if (this.#host.fault === "storeCut") {
            await sleep(CallTimeoutMs);
            await this.#host.waitUntilRunning();
            return { status: "unavailable", reason: "no response" };
        }
        if (this.#host.fault === "storeSlow") {
            await sleep(SlowStoreDelayMs);
        }
        return undefined;
    }
}

/** Relay client of one host; its calls fail after a timeout when a fault makes either host unreachable. */
class HostRelayClient extends RelayClient {
    readonly #localHost: RelayTestHost;
    readonly #hostAt: (address: string) => RelayTestHost | undefined;

    constructor(localHost: RelayTestHost, hostAt: (address: string) => RelayTestHost | undefined) {
        super();
        this.#localHost = localHost;
        this.#hostAt = hostAt;
    }

    override async watch(
        address: string,
        prefix: string,
        afterRevision: number,
        waitMs: number,
    ): Promise<RelayOutcome> {
        const isUnreachable = () =>
            this.#localHost.fault === "peerCut" ||
            ["peerCut", "frozen", "suspended"].includes(this.#hostAt(address)?.fault ?? "");
        if (!isUnreachable()) {
            const outcome = await super.watch(address, prefix, afterRevision, waitMs);
            await this.#localHost.waitUntilRunning();
            if (!isUnreachable()) {
                return outcome;
            }
        }
        await sleep(waitMs + RelayTimeoutMarginMs);
        await this.#localHost.waitUntilRunning();
        return { status: "failed", reason: "no response" };
    }
}

/** Store proxy client of one host; its calls fail after a timeout when a fault makes either host unreachable. */
class HostStoreProxyClient extends StoreProxyClient {
    readonly #localHost: RelayTestHost;
    readonly #hostAt: (address: string) => RelayTestHost | undefined;

    constructor(localHost: RelayTestHost, hostAt: (address: string) => RelayTestHost | undefined) {
        super();
        this.#localHost = localHost;
        this.#hostAt = hostAt;
    }

    override async send(address: string, call: StoreCall): Promise<ProxyOutcome> {
        const isUnreachable = () =>
            this.#localHost.fault === "peerCut" ||
            ["peerCut", "frozen", "suspended"].includes(this.#hostAt(address)?.fault ?? "");
        if (!isUnreachable()) {
            const outcome = await super.send(address, call);
            await this.#localHost.waitUntilRunning();
            if (!isUnreachable()) {
                return outcome;
            }
        }
        await sleep(CallTimeoutMs);
        await this.#localHost.waitUntilRunning();
        return { status: "failed", reason: "no response" };
    }
}

/** One host of the fleet, with its clock, its feed from the store, and its relay server and client. */
export class RelayTestHost {
    readonly identity: HostLocation;
    readonly #fleet: RelayTestFleet;
    #fault: RelayHostFault | undefined;
    /** Monotonic time of the last change of the fault, in milliseconds. */
    healthySinceMs = 0;
    /** Address of the relay server; empty until the first start. */
    peerAddress = "";
    /** Newest version that the host has received. */
    version = 0;
    #clock = new HostClock();
    #feed: StoreFeed | undefined;
    #server: RelayServer | undefined;
    #client: RelayClient | undefined;
    #proxyClient: StoreProxyClient | undefined;

    constructor(fleet: RelayTestFleet, identity: HostLocation) {
        this.#fleet = fleet;
        this.identity = identity;
    }

    /** @returns The current fault, or `undefined` when the host is healthy. */
    get fault(): RelayHostFault | undefined {
        return this.#fault;
    }

    /** Resolves when the host is neither frozen nor suspended. */
    async waitUntilRunning(): Promise<void> {
        while (this.#fault === "frozen" || this.#fault === "suspended") {
            await sleep(FaultPollIntervalMs);
        }
    }

    /** Starts the host without any state; a restart reuses its port. */
    async start(): Promise<void> {
        this.#clock = new HostClock();
        this.version = 0;
        this.#client = new HostRelayClient(this, address => this.#fleet.hostAt(address));
        const circuitBreaker = new CircuitBreakerStore(new HostStore(this.#fleet.objects, this), this.#clock);
        circuitBreaker.probeIntervalMs = LargeFleetProbeIntervalMs;
        this.#proxyClient = new HostStoreProxyClient(this, address => this.#fleet.hostAt(address));
        const store = new RelayedStore({
            store: new PeerRoutedStore({
                store: circuitBreaker,
                client: this.#proxyClient,
                clock: this.#clock,
                counters: new Counters(),
                probeKey: ObjectKey,
                helpers: () => this.#fleet.storeHelpersFor(this),
            }),
            client: this.#client,
            clock: this.#clock,
            counters: new Counters(),
            watchSource: () => this.#fleet.watcherChoiceFor(this),
        });
        this.#server = new RelayServer({
            clock: this.#clock,
            changeLogFor: prefix => store.changeLogFor(prefix),
            storeProxy: new StoreProxyServer(circuitBreaker),
        });
        const port = await this.#server.start("127.0.0.1", Number(this.peerAddress.split(":")[1] ?? 0));
        this.peerAddress = `127.0.0.1:${port}`;
        this.#feed = new StoreFeed(store, KeyPrefix, this.#clock, {
            onSnapshot: objects => objects.forEach(object => this.#apply(object.value)),
            onChanges: changes => changes.forEach(({ object }) => this.#apply(object?.value)),
        });
        this.#feed.start();
    }

    /** Stops the feed and closes the relay server and client. */
    stop(): void {
        this.#feed?.stop();
        this.#server?.stop();
        this.#client?.close();
        this.#proxyClient?.close();
    }

    /** Sets or ends the fault; a `dead` host is stopped, and restarted when this fault ends. */
    async setFault(fault: RelayHostFault | undefined): Promise<void> {
        const previous = this.#fault;
        if (fault === "dead") {
            this.stop();
        }
        if (fault === "suspended") {
            this.#clock.stop();
        }
        else {
            this.#clock.start();
        }
        this.#fault = fault;
        this.healthySinceMs = performance.now();
        if (previous === "dead" && fault !== "dead") {
            await this.start();
        }
    }

    #apply(value: unknown): void {
        this.version = Math.max(this.version, value as number);
    }
}

/** The hosts of several zones and their store. */
export class RelayTestFleet {
    readonly objects = new ObjectStore();
    readonly hosts: readonly RelayTestHost[];
    /** Monotonic time at which each version was acknowledged, in milliseconds. */
    readonly #acknowledgedMs: number[] = [];
    #watchSources = new Map<
        RelayTestHost,
        ReturnType<typeof selectWatchSource<HostLocation & { readonly peerAddress: string; }>>
    >();

    /** @param zones Number of hosts by zone. */
    constructor(zones: Readonly<Record<string, number>>) {
        this.hosts = Object.entries(zones).flatMap(([zone, count]) =>
            Array.from(
                { length: count },
                (_, index) => new RelayTestHost(this, { hostId: `front-${zone}-${index}`, zone }),
            )
        );
    }

    /** Commits version 1, starts all hosts and selects the watchers. */
    async start(): Promise<void> {
        this.commitVersion();
        await Promise.all(this.hosts.map(host => host.start()));
        const locations = this.hosts.map(({ identity, peerAddress }) => ({ ...identity, peerAddress }));
        this.#watchSources = new Map(this.hosts.map(host => [host, selectWatchSource(locations, host.identity)]));
    }

    /** Stops all hosts. */
    stop(): void {
        this.hosts.forEach(host => host.stop());
    }

    /** @returns The host whose relay server has an address. */
    hostAt(address: string): RelayTestHost | undefined {
        return this.hosts.find(({ peerAddress }) => peerAddress === address);
    }

    /** @returns Where a host gets its changes from; until the fleet has started, each host watches the store itself. */
    watcherChoiceFor(host: RelayTestHost) {
        return this.#watchSources.get(host) ?? { kind: "watchForZone" as const };
    }

    /** @returns Addresses of the hosts that a host asks to call the store for it. */
    storeHelpersFor(host: RelayTestHost): readonly string[] {
        const others = this.hosts.filter(other => other !== host && other.peerAddress !== "");
        const locations = others.map(({ identity, peerAddress }) => ({ ...identity, peerAddress }));
        return orderStoreHelpers(locations, host.identity);
    }

    /** @returns Hosts that watch the store on behalf of their zones. */
    get watchers(): readonly RelayTestHost[] {
        return this.hosts.filter(host => this.watcherChoiceFor(host).kind === "watchForZone");
    }

    /** @returns Newest version that the store has acknowledged. */
    get committedVersion(): number {
        return this.#acknowledgedMs.length;
    }

    /** Writes the next version to the store. */
    commitVersion(): void {
        const current = this.objects.get(ObjectKey);
        this.#acknowledgedMs.push(performance.now());
        this.objects.put(
            ObjectKey,
            this.#acknowledgedMs.length,
            current.status === "found" ? current.object.version : 0,
        );
    }

    /**
     * @param boundMs Time after which an acknowledged version must be in force, in milliseconds.
     * @param minHealthyMs Time for which a host must have been healthy to be checked, in milliseconds.
     * @returns A description of each checked host that has an older version than required.
     */
    findOutdatedHosts(boundMs: number, minHealthyMs: number): readonly string[] {
        const nowMs = performance.now();
        const requiredVersion = this.#acknowledgedMs.filter(acknowledgedMs => nowMs - acknowledgedMs > boundMs).length;
        return this.hosts
            .filter(host =>
                host.fault === undefined && nowMs - host.healthySinceMs > minHealthyMs && host.version < requiredVersion
            )
            .map(host => `${host.identity.hostId} has version ${host.version} of ${requiredVersion}`);
    }
}
