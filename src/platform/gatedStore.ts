/** Spares a store that does not answer: while it is lost, one call at a time tests whether it is back. */
import type { Clock } from "../base/clock.js";
import {
    type ListOutcome,
    PlatformStore,
    type ReadOutcome,
    type WatchOutcome,
    type WriteOutcome,
} from "./platformStore.js";

/** Shortest time between the starts of two calls to a lost store, in milliseconds. Each call is priced, also a refused one. */
const ProbeIntervalMs = 500;

const Lost = "the store is lost and is being tested";

/** Failures in a row after which the store counts as lost; a single lost answer says little. */
const LostAfterFailures = 2;

/** Longest wait of a watch that may test a lost store, in milliseconds; a longer one would hold up all other calls. */
const LongestProbeWaitMs = 100;

/** Passes calls on; while the store is lost, most are refused without a call. */
export class GatedStore extends PlatformStore {
    readonly #store: PlatformStore;
    readonly #clock: Clock;
    #failures = 0;
    #probeMs = Number.NEGATIVE_INFINITY;
    #isProbing = false;

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
        return this.#pass(() => this.#store.list(prefix, afterKey, limit), { status: "unavailable", reason: Lost });
    }

    override watch(prefix: string, afterRevision: number, waitMs: number): Promise<WatchOutcome> {
        const lost: WatchOutcome = { status: "unavailable", reason: Lost };
        if (this.#isLost && waitMs > LongestProbeWaitMs) {
            return Promise.resolve(lost);
        }
        return this.#pass(() => this.#store.watch(prefix, afterRevision, waitMs), lost);
    }

    async #pass<T extends { readonly status: string; }>(call: () => Promise<T>, lost: T): Promise<T> {
        if (!this.#isLost) {
            return this.#note(await call());
        }
        const nowMs = this.#clock.monotonicMs();
        if (this.#isProbing || nowMs - this.#probeMs < ProbeIntervalMs) {
            return lost;
        }
        this.#probeMs = nowMs;
        this.#isProbing = true;
        try {
            return this.#note(await call());
        }
        finally {
            this.#isProbing = false;
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
