/** Circuit breaker for the platform's store: while the store is unreachable, most calls are refused without being sent. */
import type { Clock } from "../base/clock.js";
import {
    type ListOutcome,
    PlatformStore,
    type ReadOutcome,
    type WatchOutcome,
    type WriteOutcome,
} from "./platformStore.js";

/** Default time between the starts of two probes, in milliseconds. */
const DefaultProbeIntervalMs = 500;

/** Reason in the outcome of a call that is refused without being sent. */
const CircuitOpenReason = "the store is unreachable and is being probed";

/** Consecutive failures that open the circuit. One failure is not enough: a single lost response says little. */
const FailureThreshold = 2;

/** Maximum wait of a watch that may be a probe, in milliseconds. A longer one would block all other probes. */
const MaxProbeWaitMs = 100;

/** State of the probes of one kind: calls that are sent to an unreachable store to test it, one at a time. */
interface Probe {
    /** Monotonic time at which the newest probe started. */
    startedMs: number;
    /** Whether a probe is in flight. */
    isRunning: boolean;
}

/**
 * Forwards calls to a store until {@link FailureThreshold} calls in a row fail. The circuit is then open: calls end as
 * `unavailable` or `refused` without being sent, except for one probe at a time, started at least `probeIntervalMs` after
 * the one before. Listings of each prefix have probes of their own. The first call that succeeds closes the circuit.
 */
export class CircuitBreakerStore extends PlatformStore {
    readonly #store: PlatformStore;
    readonly #clock: Clock;
    /** Minimum time between the starts of two probes of the same kind, in milliseconds. */
    probeIntervalMs = DefaultProbeIntervalMs;
    #consecutiveFailures = 0;
    /** Probes by all calls but listings. */
    readonly #sharedProbe: Probe = { startedMs: Number.NEGATIVE_INFINITY, isRunning: false };
    /** Probes by listings, by prefix: other calls must not use up the probes of a process that has no configuration yet. */
    readonly #listProbes = new Map<string, Probe>();

    /** @param store Store that receives the calls. */
    constructor(store: PlatformStore, clock: Clock) {
        super();
        this.#store = store;
        this.#clock = clock;
    }

    override get(key: string): Promise<ReadOutcome> {
        return this.#callOrRefuse(() => this.#store.get(key), { status: "unavailable", reason: CircuitOpenReason });
    }

    override put(key: string, value: unknown, expectedVersion: number): Promise<WriteOutcome> {
        return this.#callOrRefuse(() => this.#store.put(key, value, expectedVersion), {
            status: "refused",
            reason: CircuitOpenReason,
        });
    }

    /** A refusal of a status says nothing about whether the store can be reached, so that it is not counted. */
    override putStatus(key: string, status: unknown, expectedVersion: number): Promise<WriteOutcome> {
        return this.isCircuitOpen ?
            Promise.resolve({ status: "refused", reason: CircuitOpenReason }) :
            this.#store.putStatus(key, status, expectedVersion);
    }

    override delete(key: string, expectedVersion: number): Promise<WriteOutcome> {
        return this.#callOrRefuse(() => this.#store.delete(key, expectedVersion), {
            status: "refused",
            reason: CircuitOpenReason,
        });
    }

    override list(prefix: string, afterKey: string, limit: number): Promise<ListOutcome> {
        const probe = this.#listProbes.get(prefix) ?? { startedMs: Number.NEGATIVE_INFINITY, isRunning: false };
        this.#listProbes.set(prefix, probe);
        const refusal: ListOutcome = { status: "unavailable", reason: CircuitOpenReason };
        return this.#callOrRefuse(() => this.#store.list(prefix, afterKey, limit), refusal, probe);
    }

    override watch(prefix: string, afterRevision: number, waitMs: number): Promise<WatchOutcome> {
        const refusal: WatchOutcome = { status: "unavailable", reason: CircuitOpenReason };
        if (this.isCircuitOpen && waitMs > MaxProbeWaitMs) {
            return Promise.resolve(refusal);
        }
        return this.#callOrRefuse(() => this.#store.watch(prefix, afterRevision, waitMs), refusal);
    }

    async #callOrRefuse<T extends { readonly status: string; }>(
        call: () => Promise<T>,
        refusal: T,
        probe = this.#sharedProbe,
    ): Promise<T> {
        if (!this.isCircuitOpen) {
            return this.#recordOutcome(await call());
        }
        const nowMs = this.#clock.monotonicMs();
        if (probe.isRunning || nowMs - probe.startedMs < this.probeIntervalMs) {
            return refusal;
        }
        probe.startedMs = nowMs;
        probe.isRunning = true;
        try {
            return this.#recordOutcome(await call());
        }
        finally {
            probe.isRunning = false;
        }
    }

    #recordOutcome<T extends { readonly status: string; }>(outcome: T): T {
        const isFailure = outcome.status === "unavailable" || outcome.status === "refused" ||
            outcome.status === "unknown";
        this.#consecutiveFailures = isFailure ? this.#consecutiveFailures + 1 : 0;
        return outcome;
    }

    /** @returns Whether the store counts as unreachable, so that most calls are refused without being sent. */
    get isCircuitOpen(): boolean {
        return this.#consecutiveFailures >= FailureThreshold;
    }
}
