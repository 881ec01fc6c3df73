/** Test fleet of hosts with budgets, on an in-memory store and network that inject faults. */
import { ManualClock } from "../base/clock.js";
import { Counters } from "../base/counters.js";
import { BudgetManager } from "../edge/budget/budgetManager.js";
import { PeerChannel, type PeerMessage, type PeerMessageListener } from "../edge/peers/peerChannel.js";
import {
    type ListOutcome,
    PlatformStore,
    type ReadOutcome,
    type WatchOutcome,
    type WriteOutcome,
} from "../platform/platformStore.js";
import { versionInHistory } from "../platform/storeHistory.js";

/** Fault of the store; see {@link FaultyStore}. */
export type StoreFault = "none" | "down" | "lost" | "late";

/**
 * An object store that injects faults. With `down`, calls fail without an effect. With `lost`, writes take effect but their
 * outcome is reported as unknown. With `late`, writes are held until {@link FaultyStore.applyLateWrites} and take effect only
 * if their version still matches.
 */
export class FaultyStore extends PlatformStore {
    fault: StoreFault = "none";
    /** Number of reads and writes so far. */
    calls = 0;
    /** History of the store; see `storeHistory.ts`. */
    history = 0;
    readonly #objects = new Map<string, { value: unknown; number: number; }>();
    readonly #lateWrites: (() => void)[] = [];

    /** @returns The current objects. */
    copy(): ReadonlyMap<string, { value: unknown; number: number; }> {
        return new Map(this.#objects);
    }

    /** Comes back from a copy, which begins a new history. */
    restore(copy: ReadonlyMap<string, { value: unknown; number: number; }>): void {
        this.#objects.clear();
        copy.forEach((object, key) => this.#objects.set(key, object));
        this.history++;
    }

    /** Applies the writes that the `late` fault has held. */
    applyLateWrites(): void {
        for (const write of this.#lateWrites.splice(0)) {
            write();
        }
    }

    override get(key: string): Promise<ReadOutcome> {
        this.calls++;
        if (this.fault === "down") {
            return Promise.resolve({ status: "unavailable", reason: "down" });
        }
        const object = this.#find(key);
        return Promise.resolve(object === undefined ? { status: "absent" } : { status: "found", object });
    }

    override put(key: string, value: unknown, expectedVersion: number): Promise<WriteOutcome> {
        this.calls++;
        const stored: unknown = JSON.parse(JSON.stringify(value));
        if (this.fault === "down") {
            return Promise.resolve({ status: "refused", reason: "down" });
        }
        if (this.fault === "late") {
            this.#lateWrites.push(() => this.#write(key, stored, expectedVersion));
            return Promise.resolve({ status: "unknown", reason: "late" });
        }
        const outcome = this.#write(key, stored, expectedVersion);
        return Promise.resolve(this.fault === "lost" ? { status: "unknown", reason: "lost" } : outcome);
    }

    override delete(): Promise<WriteOutcome> {
        throw new Error("not used");
    }

    override list(): Promise<ListOutcome> {
        throw new Error("not used");
    }

    override watch(): Promise<WatchOutcome> {
        throw new Error("not used");
    }

    #write(key: string, value: unknown, expectedVersion: number): WriteOutcome {
        const current = this.#find(key);
        if (expectedVersion !== (current?.version ?? 0)) {
            return { status: "conflict", current };
        }
        const number = (this.#objects.get(key)?.number ?? 0) + 1;
        this.#objects.set(key, { value, number });
        return { status: "applied", version: versionInHistory(this.history, number) };
    }

    #find(key: string) {
        const object = this.#objects.get(key);
        if (object === undefined) {
            return undefined;
        }
        const version = versionInHistory(this.history, object.number);
        return { key, revision: version, version, value: object.value };
    }
}

/** Fault of the network: drops all messages, drops every second one, or delivers every second one twice. */
export type PeerFault = "none" | "cut" | "lossy" | "repeating";

/**
 * Network between the hosts of one test. Messages are delivered in the next microtask. `cut` affects all messages, the other
 * faults affect every second one.
 */
export class PeerNetwork {
    fault: PeerFault = "none";
    readonly #listeners = new Map<string, PeerMessageListener[]>();
    #messageCount = 0;

    /** Opens a channel. A restarted process takes its address over, and its predecessor receives no more messages. */
    open(address: string): PeerChannel {
        const listeners: PeerMessageListener[] = [];
        this.#listeners.set(address, listeners);
        return new MemoryPeerChannel(this, address, listeners);
    }

    /** Delivers a message as often as the fault determines. */
    deliver(from: string, to: string, message: PeerMessage): void {
        const isAffected = ++this.#messageCount % 2 === 0;
        const copies = this.fault === "cut" || (this.fault === "lossy" && isAffected) ?
            0 :
            this.fault === "repeating" && isAffected ?
            2 :
            1;
        for (let copy = 0; copy < copies; copy++) {
            void Promise.resolve().then(() => this.#listeners.get(to)?.forEach(listener => listener(message, from)));
        }
    }
}

/** Channel of one process on a {@link PeerNetwork}. */
class MemoryPeerChannel extends PeerChannel {
    readonly #network: PeerNetwork;
    readonly #address: string;
    readonly #listeners: PeerMessageListener[];

    constructor(network: PeerNetwork, address: string, listeners: PeerMessageListener[]) {
        super();
        this.#network = network;
        this.#address = address;
        this.#listeners = listeners;
    }

    override send(address: string, message: PeerMessage): void {
        this.#network.deliver(this.#address, address, message);
    }

    override onMessage(listener: PeerMessageListener): void {
        this.#listeners.push(listener);
    }
}

/** Waits until pending calls and messages have arrived. */
export async function flushPendingCalls(): Promise<void> {
    for (let turn = 0; turn < 40; turn++) {
        await Promise.resolve();
    }
}

/** The store, the network and the hosts of one test, which share a manual clock. */
export class BudgetTestFleet {
    readonly clock = new ManualClock();
    readonly store = new FaultyStore();
    readonly network = new PeerNetwork();
    /** Prepaid tokens of each team except `free`, which has no limit. */
    prepaidTokens = 100_000;
    /** Ids of the hosts that know each other. */
    hostIds = ["a", "b"];
    #startCount = 0;

    /** Comes back from a copy of the store, as the running hosts notice by and by. */
    restoreStore(copy: ReturnType<FaultyStore["copy"]>, managers: readonly BudgetManager[]): void {
        this.store.restore(copy);
        managers.forEach(manager => manager.onStoreRestored(this.store.history));
    }

    /** Starts a host, or restarts it as a new process. */
    startHost(hostId: string): BudgetManager {
        const others = this.hostIds
            .filter(id => id !== hostId)
            .map(id => ({ hostId: id, zone: "z", peerAddress: `${id}:1` }));
        return new BudgetManager({
            clock: this.clock,
            counters: new Counters(),
            store: this.store,
            ledgerPrefix: "ledger-",
            recordKey: `host-${hostId}`,
            hostId,
            incarnation: `${hostId}-${++this.#startCount}`,
            peerAddress: `${hostId}:1`,
            channel: this.network.open(`${hostId}:1`),
            processStart: { wallMs: this.clock.wallMs(), steadyMs: this.clock.monotonicMs() },
            steadyMs: () => this.clock.monotonicMs(),
            zone: "z",
            otherHosts: () => others,
            prepaidTokens: team => team === "free" ? undefined : this.prepaidTokens,
            prepaidTeams: () => ["t"],
        });
    }

    /** Advances the clock in steps of 50 ms, with a tick of each manager and the delivery of its calls after each step. */
    async advance(managers: readonly BudgetManager[], durationMs: number): Promise<void> {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
            this.clock.advance(50);
            for (const manager of managers) {
                manager.tick();
            }
            await flushPendingCalls();
        }
    }
}
