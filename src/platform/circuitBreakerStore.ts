/** Spares a store that does not answer: while it is lost, one call at a time, and one listing of each prefix, test it. */
import type { Clock } from "../base/clock.js";
import {
    type ListOutcome,
    PlatformStore,
    type ReadOutcome,
    type WatchOutcome,
    type WriteOutcome,
} from "./platformStore.js";

/** Time between two tests unless it is set, in milliseconds. */
const DefaultProbeIntervalMs = 500;

const Lost = "the store is lost and is being tested";

/** Failures in a row after which the store counts as lost; a single lost answer says little. */
const LostAfterFailures = 2;

/** Longest wait of a watch that may test a lost store, in milliseconds; a longer one would hold up all other calls. */
const LongestProbeWaitMs = 100;

/** A test of a lost store. */
interface Probe {
    startedMs: number;
    isOpen: boolean;
}

/** Passes calls on; while the store is lost, most are refused without a call. */
export class CircuitBreakerStore extends PlatformStore {
    readonly #store: PlatformStore;
    readonly #clock: Clock;
    /** Shortest time between the starts of two calls to a lost store, in milliseconds. */
    probeIntervalMs = DefaultProbeIntervalMs;
    #failures = 0;
    readonly #anyCall: Probe = { startedMs: Number.NEGATIVE_INFINITY, isOpen: false };
    /** Tests by listings, by prefix: other calls must not use up the tests of a process that has no configuration yet. */
    readonly #listings = new Map<string, Probe>();

    constructor(store: PlatformStore, clock: Clock) {
        super();
        this.#store = store;
        this.#clock = clock;
    }

    override get(key: string): Promise<ReadOutcome> {
        return this.#pass(() => this.#store.get(key), { status: "unavailable", reason: Lost });
    }

    override put(key: string, value: unknown, expectedVersion: number): Promise<WriteOutcome> {
        return this.#pass(() => this.#store.put(key, value, expectedVersion), { status: "refused", reason: Lost });
    }

    override delete(key: string, expectedVersion: number): Promise<WriteOutcome> {
        return this.#pass(() => this.#store.delete(key, expectedVersion), { status: "refused", reason: Lost });
    }

    override list(prefix: string, afterKey: string, limit: number): Promise<ListOutcome> {
        const probe = this.#listings.get(prefix) ?? { startedMs: Number.NEGATIVE_INFINITY, isOpen: false };
        this.#listings.set(prefix, probe);
        const lost: ListOutcome = { status: "unavailable", reason: Lost };
        return this.#pass(() => this.#store.list(prefix, afterKey, limit), lost, probe);
    }

    override watch(prefix: string, afterRevision: number, waitMs: number): Promise<WatchOutcome> {
        const lost: WatchOutcome = { status: "unavailable", reason: Lost };
        if (this.#isLost && waitMs > LongestProbeWaitMs) {
            return Promise.resolve(lost);
        }
        return this.#pass(() => this.#store.watch(prefix, afterRevision, waitMs), lost);
    }

    async #pass<T extends { readonly status: string; }>(
        call: () => Promise<T>,
        lost: T,
        probe = this.#anyCall,
    ): Promise<T> {
        if (!this.#isLost) {
            return this.#note(await call());
        }
        const nowMs = this.#clock.monotonicMs();
        if (probe.isOpen || nowMs - probe.startedMs < this.probeIntervalMs) {
            return lost;
        }
        probe.startedMs = nowMs;
        probe.isOpen = true;
        try {
            return this.#note(await call());
        }
        finally {
            probe.isOpen = false;
        }
    }

    #note<T extends { readonly status: string; }>(outcome: T): T {
        const isFailure = outcome.status === "unavailable" || outcome.status === "refused" ||
            outcome.status === "unknown";
        this.#failures = isFailure ? this.#failures + 1 : 0;
        return outcome;
    }

    get #isLost(): boolean {
        return this.#failures >= LostAfterFailures;
    }
}
