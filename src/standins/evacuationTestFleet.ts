/** Test fleet of hosts that follow evacuations of availability zones, without a network; needs fake timers. */
import { vi } from "vitest";
import { Clock } from "../base/clock.js";
import { Counters } from "../base/counters.js";
import { SeededRandom } from "../base/random.js";
import { sleep } from "../base/sleep.js";
import { EvacuationManager } from "../edge/evacuation/evacuationManager.js";
import type { ReportingHost } from "../edge/peers/loadGatherers.js";
import type { PeerMessage } from "../edge/peers/peerChannel.js";
import {
    type ListOutcome,
    PlatformStore,
    type ReadOutcome,
    type StoredObject,
    type WatchOutcome,
    type WriteOutcome,
} from "../platform/platformStore.js";
import { historyOf, numberInHistory, versionInHistory } from "../platform/storeHistory.js";
import type { EvacuationStatus } from "../scheduling/evacuationConfirmations.js";
import { evacuationTestCodec } from "./evacuationTestCodec.js";
import { ForwardingPeerChannel } from "./forwardingPeerChannel.js";
import { ObjectStore, type ObjectStoreCopy } from "./platform/objectStore.js";

/** Interval of periodic work of a host, in milliseconds. */
const TickMs = 20;

/** Delay of a call to the store, in milliseconds. */
const StoreDelayMs = 10;

/** How a host stands still: its process is stopped, or the whole machine with its monotonic clock. */
export type Freeze = "process" | "machine";

/** Clock of one host, by the fake timers. */
class HostClock extends Clock {
    /** Time for which the monotonic clock has stood still, in milliseconds. */
    stoodStillMs = 0;

    override monotonicMs(): number {
        return Date.now() - this.stoodStillMs;
    }

    override wallMs(): number {
        return Date.now();
    }
}

/** Access of one host to the store of the fleet; a response waits while the host stands still. */
class HostStore extends PlatformStore {
    readonly #fleet: EvacuationTestFleet;
    readonly #host: () => EvacuationTestHost;
    callCount = 0;

    constructor(fleet: EvacuationTestFleet, host: () => EvacuationTestHost) {
        super();
        this.#fleet = fleet;
        this.#host = host;
    }

    override list(prefix: string): Promise<ListOutcome> {
        return this.#call<ListOutcome>(() => {
            const listed = this.#fleet.store.list(prefix, "", 500);
            return listed.status === "listed" ?
                { ...listed, objects: listed.objects.map(withStatus), revision: this.#fleet.revision } :
                listed;
        });
    }

    override async putStatus(key: string, status: unknown, expectedVersion: number): Promise<WriteOutcome> {
        const outcome = await this.#call(() => {
            const found = this.#fleet.store.get(key);
            const value = found.status === "found" ? found.object.value as object : {};
            this.#fleet.statusWrites.push({ hostId: this.#host().identity.hostId, status: status as EvacuationStatus });
            return this.#fleet.store.put(key, { ...value, status }, expectedVersion);
        });
        return outcome.status === "unavailable" ? { status: "refused", reason: outcome.reason } : outcome;
    }

    override async watch(prefix: string, afterRevision: number, waitMs: number): Promise<WatchOutcome> {
        const untilMs = Date.now() + waitMs;
        for (;;) {
            const outcome = await this.#call<WatchOutcome>(() => this.#changesAfter(prefix, afterRevision));
            if (outcome.status !== "changed" || outcome.changes.length > 0 || Date.now() >= untilMs) {
                return outcome;
            }
        }
    }

    override get(): Promise<ReadOutcome> {
        return Promise.resolve({ status: "unavailable", reason: "not used" });
    }

    override put(): Promise<WriteOutcome> {
        return Promise.resolve({ status: "refused", reason: "not used" });
    }

    override delete(): Promise<WriteOutcome> {
        return Promise.resolve({ status: "refused", reason: "not used" });
    }

    #changesAfter(prefix: string, afterRevision: number): WatchOutcome {
        if (historyOf(afterRevision) !== this.#fleet.history) {
            return { status: "tooOld", revision: afterRevision };
        }
        const outcome = this.#fleet.store.changesAfter(prefix, numberInHistory(afterRevision));
        const changes = (outcome.status === "changed" ? outcome.changes : [])
            .map(({ key, object }) => ({ key, object: object === undefined ? undefined : withStatus(object) }));
        return outcome.status === "changed" ? { ...outcome, changes, revision: this.#fleet.revision } : outcome;
    }

    async #call<Outcome>(answer: () => Outcome): Promise<Outcome | { status: "unavailable"; reason: string; }> {
        this.callCount++;
        const host = this.#host();
        const outcome = host.isCutOffFromStore || this.#fleet.isStoreDown ?
            { status: "unavailable" as const, reason: "cut off" } :
            answer();
        do {
            await sleep(StoreDelayMs);
        }
        while (host.freeze !== undefined && !host.isDown);
        return outcome;
    }
}

/** One host of the fleet. */
export interface EvacuationTestHost {
    readonly identity: ReportingHost;
    readonly clock: HostClock;
    store: HostStore;
    manager: EvacuationManager;
    channel: ForwardingPeerChannel;
    counters: Counters;
    isDown: boolean;
    isCutOffFromStore: boolean;
    isCutOffFromHosts: boolean;
    freeze: Freeze | undefined;
    readonly delayed: (() => void)[];
}

/** Hosts with one store; time passes with {@link play}. */
export class EvacuationTestFleet {
    store = new ObjectStore();
    history = 1;
    isStoreDown = false;
    /** Host whose message {@link isLost} is asked about. */
    sender: EvacuationTestHost | undefined;
    /** Returns whether a message is lost. */
    isLost: (message: PeerMessage, address: string) => boolean = () => false;
    readonly hosts: EvacuationTestHost[];
    readonly sentMessages: PeerMessage[] = [];
    /** Writes of the status, also those that the store refused, with the host that wrote. */
    readonly statusWrites: { readonly hostId: string; readonly status: EvacuationStatus; }[] = [];
    readonly #random = new SeededRandom(46);
    readonly #evacuateMs: number;
    #startCount = 0;

    constructor(hostCount: number, evacuateMs = 5_000) {
        this.#evacuateMs = evacuateMs;
        const identities = Array.from({ length: hostCount }, (_, index) => ({
            hostId: `front-${index}`,
            zone: `z${index % 3}`,
            peerAddress: `10.0.0.${index}:7213`,
        }));
        this.hosts = identities.map(identity => {
            const host = {
                identity,
                clock: new HostClock(),
                isDown: false,
                isCutOffFromStore: false,
                isCutOffFromHosts: false,
                freeze: undefined,
                delayed: [],
            } as unknown as EvacuationTestHost;
            return host;
        });
        this.hosts.forEach(host => this.start(host));
    }

    /** Revision of the store with its history. */
    get revision(): number {
        return versionInHistory(this.history, this.store.revision);
    }

    /** Starts a new process of a host. */
    start(host: EvacuationTestHost): void {
        host.isDown = false;
        host.counters = new Counters();
        host.channel = new ForwardingPeerChannel((address, message) => this.#send(host, address, message));
        host.store = new HostStore(this, () => host);
        const others = this.hosts?.map(({ identity }) => identity) ?? [];
        let known: readonly ReportingHost[] | undefined;
        host.manager = new EvacuationManager({
            clock: host.clock,
            random: this.#random,
            counters: host.counters,
            store: host.store,
            codec: evacuationTestCodec,
            channel: host.channel,
            ownHost: host.identity,
            incarnation: `i${this.#startCount++}`,
            otherHosts: () => known ??= others.filter(({ hostId }) => hostId !== host.identity.hostId),
            evacuateMs: this.#evacuateMs,
            zones: ["z0", "z1", "z2"],
            listedZones: () => new Set(["z0", "z1", "z2", "listed"]),
        });
        host.manager.start();
    }

    /** Ends the process of a host. */
    stop(host: EvacuationTestHost): void {
        host.isDown = true;
        host.manager.stop();
    }

    /** Ends all processes. */
    stopAll(): void {
        this.hosts.forEach(host => this.stop(host));
    }

    /** Lets time pass. */
    async play(durationMs: number): Promise<void> {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += TickMs) {
            await vi.advanceTimersByTimeAsync(TickMs);
            for (const host of this.hosts) {
                host.clock.stoodStillMs += host.freeze === "machine" ? TickMs : 0;
                if (host.freeze === undefined && !host.isDown) {
                    host.manager.tick();
                }
            }
        }
    }

    /** Lets a frozen host go on; messages that waited in its socket are read first. */
    wake(host: EvacuationTestHost): void {
        host.freeze = undefined;
        host.delayed.splice(0).forEach(run => run());
    }

    /** Requests the evacuation of a zone. */
    evacuate(zone: string, value: unknown = {}): void {
        this.store.put(`evac/${zone}`, value, 0);
    }

    /** Takes the evacuation of a zone back. */
    takeBack(zone: string): void {
        const found = this.store.get(`evac/${zone}`);
        this.store.delete(`evac/${zone}`, found.status === "found" ? found.object.version : 0);
    }

    /** @returns Status of the evacuation of a zone in the store. */
    statusOf(zone: string): EvacuationStatus | undefined {
        const found = this.store.get(`evac/${zone}`);
        return found.status === "found" ? withStatus(found.object).status as EvacuationStatus | undefined : undefined;
    }

    /** The store comes back from a copy, in a new history. */
    restore(copy: ObjectStoreCopy): void {
        this.store.restore(copy);
        this.history++;
    }

    /** @returns Whether each host sends to a zone. */
    sendingTo(zone: string): boolean[] {
        return this.hosts.map(host => maySend(host, zone));
    }

    #send(from: EvacuationTestHost, address: string, message: PeerMessage): void {
        this.sentMessages.push(message);
        this.sender = from;
        const to = this.hosts.find(({ identity }) => identity.peerAddress === address);
        if (
            to === undefined || to.isDown || from.isCutOffFromHosts || to.isCutOffFromHosts ||
            this.isLost(message, address)
        ) {
            return;
        }
        const { channel } = to;
        // Messages pass as datagrams do, so that a field that JSON cannot represent is noticed.
        const copy = JSON.parse(JSON.stringify(message)) as PeerMessage;
        setTimeout(() => {
            const deliver = () => channel.deliver(copy, from.identity.peerAddress);
            if (to.freeze !== undefined) {
                to.delayed.push(deliver);
            }
            else if (to.channel === channel && !to.isDown) {
                deliver();
            }
        }, 1);
    }
}

/** The stand-in keeps the status in the value. */
function withStatus(object: StoredObject): StoredObject {
    const { status } = (object.value ?? {}) as { status?: unknown; };
    return status === undefined ? object : { ...object, status };
}

/** @returns Whether a host sends to a zone. */
export function maySend({ manager }: EvacuationTestHost, zone: string): boolean {
    return manager.zoneFilter?.(zone) ?? true;
}
