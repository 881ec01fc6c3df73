/** A fleet whose hosts follow one store through watchers, with faults for each host; for tests. */
import { SystemClock } from "../base/clock.js";
import { Counters } from "../base/counters.js";
import { sleep } from "../base/sleep.js";
import { RelayClient, type RelayOutcome } from "../edge/relay/relayClient.js";
import { RelayedStore } from "../edge/relay/relayedStore.js";
import { RelayServer } from "../edge/relay/relayServer.js";
import { type HostLocation, selectWatchSource } from "../edge/relay/watchSource.js";
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
 * What is wrong with a host. `dead` hosts lose their state, `frozen` ones keep it, `suspended` ones keep it and do not see the time
 * pass, `storeCut` and `peerCut` ones get no answers of the store or of hosts, `storeSlow` ones get them late.
 */
export const RelayHostFaults = ["dead", "frozen", "suspended", "storeCut", "peerCut", "storeSlow"] as const;
export type RelayHostFault = (typeof RelayHostFaults)[number];

/** Objects of a page, as the feed asks for; the fleet has one object. */
const PageSize = 500;

const Prefix = "config/";
const Key = "config/main";

/** Time after which a call without an answer fails, and by which a slow store answers late, in milliseconds. */
const CallTimeoutMs = 1_000;
const SlowMs = 300;

/** Time beyond the wait after which an asker gives a watcher up, in milliseconds, as in the relay's client. */
const AskTimeoutMs = 300;

/** Interval in which a call looks whether its host's fault is over, in milliseconds. */
const PollMs = 10;

/** Interval in which a host of a large fleet tests a lost store, in milliseconds; see the edge's process. */
const ToldProbeIntervalMs = 1_500;

/** A clock that stands still while its host is suspended. */
class HostClock extends SystemClock {
    #lostMs = 0;
    #stoppedAtMs: number | undefined;

    override monotonicMs(): number {
        return (this.#stoppedAtMs ?? super.monotonicMs()) - this.#lostMs;
    }

    stop(): void {
        this.#stoppedAtMs ??= super.monotonicMs();
    }

    start(): void {
        if (this.#stoppedAtMs !== undefined) {
            this.#lostMs += super.monotonicMs() - this.#stoppedAtMs;
            this.#stoppedAtMs = undefined;
        }
    }
}

/** The store as one host reaches it. */
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

    override get(): Promise<ReadOutcome> {
        throw new Error("not used");
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
            return { status: "unavailable", reason: "no answer" };
        }
        if (this.#host.fault === "storeSlow") {
            await sleep(SlowMs);
        }
        return undefined;
    }
}

/** Asks other hosts where the network between them works. */
class HostRelayClient extends RelayClient {
    readonly #own: RelayTestHost;
    readonly #hostAt: (address: string) => RelayTestHost | undefined;

    constructor(own: RelayTestHost, hostAt: (address: string) => RelayTestHost | undefined) {
        super();
        this.#own = own;
        this.#hostAt = hostAt;
    }

    override async watch(
        address: string,
        prefix: string,
        afterRevision: number,
        waitMs: number,
    ): Promise<RelayOutcome> {
        const isLost = () =>
            this.#own.fault === "peerCut" ||
            ["peerCut", "frozen", "suspended"].includes(this.#hostAt(address)?.fault ?? "");
        if (!isLost()) {
            const outcome = await super.watch(address, prefix, afterRevision, waitMs);
            await this.#own.waitUntilRunning();
            if (!isLost()) {
                return outcome;
            }
        }
        await sleep(waitMs + AskTimeoutMs);
        await this.#own.waitUntilRunning();
        return { status: "failed", reason: "no answer" };
    }
}

/** One host. */
export class RelayTestHost {
    readonly identity: HostLocation;
    readonly #world: RelayTestFleet;
    #fault: RelayHostFault | undefined;
    /** Monotonic time of the end of the last fault, in milliseconds. */
    healthySinceMs = 0;
    peerAddress = "";
    version = 0;
    #clock = new HostClock();
    #feed: StoreFeed | undefined;
    #server: RelayServer | undefined;
    #client: RelayClient | undefined;

    constructor(world: RelayTestFleet, identity: HostLocation) {
        this.#world = world;
        this.identity = identity;
    }

    get fault(): RelayHostFault | undefined {
        return this.#fault;
    }

    /** Settles when the host runs. */
    async waitUntilRunning(): Promise<void> {
        while (this.#fault === "frozen" || this.#fault === "suspended") {
            await sleep(PollMs);
        }
    }

    async start(): Promise<void> {
        this.#clock = new HostClock();
        this.version = 0;
        this.#client = new HostRelayClient(this, address => this.#world.hostAt(address));
        const gated = new CircuitBreakerStore(new HostStore(this.#world.objects, this), this.#clock);
        gated.probeIntervalMs = ToldProbeIntervalMs;
        const store = new RelayedStore({
            store: gated,
            client: this.#client,
            clock: this.#clock,
            counters: new Counters(),
            watchSource: () => this.#world.watcherChoiceFor(this),
        });
        this.#server = new RelayServer({ clock: this.#clock, changeLogFor: prefix => store.changeLogFor(prefix) });
        const port = await this.#server.start("127.0.0.1", Number(this.peerAddress.split(":")[1] ?? 0));
        this.peerAddress = `127.0.0.1:${port}`;
        this.#feed = new StoreFeed(store, Prefix, this.#clock, {
            onSnapshot: objects => objects.forEach(object => this.#apply(object.value)),
            onChanges: changes => changes.forEach(({ object }) => this.#apply(object?.value)),
        });
        this.#feed.start();
    }

    stop(): void {
        this.#feed?.stop();
        this.#server?.stop();
        this.#client?.close();
    }

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

/** A fleet over several zones and its store. */
export class RelayTestFleet {
    readonly objects = new ObjectStore();
    readonly hosts: readonly RelayTestHost[];
    /** Monotonic time at which each version was acknowledged, in milliseconds. */
    readonly #ackedMs: number[] = [];
    #choices = new Map<
        RelayTestHost,
        ReturnType<typeof selectWatchSource<HostLocation & { readonly peerAddress: string; }>>
    >();

    constructor(zones: Readonly<Record<string, number>>) {
        this.hosts = Object.entries(zones).flatMap(([zone, count]) =>
            Array.from(
                { length: count },
                (_, index) => new RelayTestHost(this, { hostId: `front-${zone}-${index}`, zone }),
            )
        );
    }

    async start(): Promise<void> {
        this.commitVersion();
        await Promise.all(this.hosts.map(host => host.start()));
        const all = this.hosts.map(({ identity, peerAddress }) => ({ ...identity, peerAddress }));
        this.#choices = new Map(this.hosts.map(host => [host, selectWatchSource(all, host.identity)]));
    }

    stop(): void {
        this.hosts.forEach(host => host.stop());
    }

    hostAt(address: string): RelayTestHost | undefined {
        return this.hosts.find(({ peerAddress }) => peerAddress === address);
    }

    watcherChoiceFor(host: RelayTestHost) {
        return this.#choices.get(host) ?? { kind: "watchForZone" as const };
    }

    /** @returns Hosts that watch the store for their zones. */
    get watchers(): readonly RelayTestHost[] {
        return this.hosts.filter(host => this.watcherChoiceFor(host).kind === "watchForZone");
    }

    /** Writes the next version. */
    commitVersion(): void {
        const known = this.objects.get(Key);
        this.#ackedMs.push(performance.now());
        this.objects.put(Key, this.#ackedMs.length, known.status === "found" ? known.object.version : 0);
    }

    /**
     * @param boundMs Time after which an acknowledged version must be in force.
     * @param touchMs Time for which a host must have been sound to be in touch.
     * @returns Hosts in touch that have an older version than they must.
     */
    findOutdatedHosts(boundMs: number, touchMs: number): readonly string[] {
        const nowMs = performance.now();
        const due = this.#ackedMs.filter(ackedMs => nowMs - ackedMs > boundMs).length;
        return this.hosts
            .filter(host => host.fault === undefined && nowMs - host.healthySinceMs > touchMs && host.version < due)
            .map(host => `${host.identity.hostId} has version ${host.version} of ${due}`);
    }
}
