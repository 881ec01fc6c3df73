/** Hosts with budgets, a faulty store and a faulty network in memory, for tests. */
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

/** How the store misbehaves. */
export type StoreFault = "none" | "down" | "lost" | "late";

/** A store of objects. `lost` writes take effect without an answer, `late` ones only later if their version holds. */
export class FaultyStore extends PlatformStore {
    fault: StoreFault = "none";
    calls = 0;
    readonly #objects = new Map<string, { value: unknown; version: number; }>();
    readonly #late: (() => void)[] = [];

    applyLateWrites(): void {
        for (const write of this.#late.splice(0)) {
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
            this.#late.push(() => this.#write(key, stored, expectedVersion));
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
        const version = expectedVersion + 1;
        this.#objects.set(key, { value, version });
        return { status: "applied", version };
    }

    #find(key: string) {
        const object = this.#objects.get(key);
        return object === undefined ? undefined : { key, revision: object.version, ...object };
    }
}

/** How messages between hosts are treated. */
export type PeerFault = "none" | "cut" | "lossy" | "repeating";

/** Network between the hosts of one test. Messages are delivered in the next turn; faults hit every second message. */
export class PeerNetwork {
    fault: PeerFault = "none";
    readonly #listeners = new Map<string, PeerMessageListener[]>();
    #count = 0;

    /** A restarted process takes the address over: its predecessor hears nothing any more. */
    open(address: string): PeerChannel {
        const listeners: PeerMessageListener[] = [];
        this.#listeners.set(address, listeners);
        return new MemoryPeerChannel(this, address, listeners);
    }

    deliver(from: string, to: string, message: PeerMessage): void {
        const isHit = ++this.#count % 2 === 0;
        const copies = this.fault === "cut" || (this.fault === "lossy" && isHit) ?
            0 :
            this.fault === "repeating" && isHit ?
            2 :
            1;
        for (let copy = 0; copy < copies; copy++) {
            void Promise.resolve().then(() => this.#listeners.get(to)?.forEach(listener => listener(message, from)));
        }
    }
}

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

/** Lets calls and messages that are under way arrive. */
export async function flushPendingCalls(): Promise<void> {
    for (let turn = 0; turn < 40; turn++) {
        await Promise.resolve();
    }
}

/** A store, a network and the hosts of one test, on one clock. */
export class BudgetTestFleet {
    readonly clock = new ManualClock();
    readonly store = new FaultyStore();
    readonly network = new PeerNetwork();
    prepaidTokens = 100_000;
    /** Hosts that the others know. */
    hostIds = ["a", "b"];
    #starts = 0;

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
            incarnation: `${hostId}-${++this.#starts}`,
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

    async advance(keepers: readonly BudgetManager[], durationMs: number): Promise<void> {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
            this.clock.advance(50);
            for (const keeper of keepers) {
                keeper.tick();
            }
            await flushPendingCalls();
        }
    }
}
