/** Call accounting and rate limits of the platform stand-in. */
import type { Clock } from "../../base/clock.js";
import type { Counters } from "../../base/counters.js";
import type { CallKind } from "./faultInjector.js";

/** Rates of the object API, for the whole fleet. */
export interface RateSettings {
    readonly writesPerS: number;
    /** Reads; a watch counts as one. */
    readonly readsPerS: number;
}

/** Calls of one host. */
export interface CallTotals {
    reads: number;
    writes: number;
    watches: number;
    /** Calls over the rate limit; also counted by kind. */
    rateLimited: number;
    requestBytes: number;
    answerBytes: number;
}

/** Fills at a fixed rate up to one second's worth. */
class TokenBucket {
    readonly #ratePerS: number;
    readonly #clock: Clock;
    #level: number;
    #filledAtMs: number;

    constructor(ratePerS: number, clock: Clock) {
        this.#ratePerS = ratePerS;
        this.#clock = clock;
        this.#level = ratePerS;
        this.#filledAtMs = clock.monotonicMs();
    }

    take(): boolean {
        const nowMs = this.#clock.monotonicMs();
        this.#level = Math.min(this.#ratePerS, this.#level + (nowMs - this.#filledAtMs) * this.#ratePerS / 1_000);
        this.#filledAtMs = nowMs;
        if (this.#level < 1) {
            return false;
        }
        this.#level--;
        return true;
    }
}

const TotalOfKind = { read: "reads", write: "writes", watch: "watches" } as const;

/** Counts calls per host and kind and applies the rate limits. */
export class CallRateLimiter {
    readonly #totals = new Map<string, CallTotals>();
    readonly #writeBucket: TokenBucket;
    readonly #readBucket: TokenBucket;

    readonly #counters: Counters;

    constructor(settings: RateSettings, clock: Clock, counters: Counters) {
        this.#counters = counters;
        this.#writeBucket = new TokenBucket(settings.writesPerS, clock);
        this.#readBucket = new TokenBucket(settings.readsPerS, clock);
    }

    /**
     * Counts a call.
     * @returns Whether the call is within the rate limit.
     */
    admit(hostId: string, kind: CallKind, requestBytes: number): boolean {
        const totals = this.#of(hostId);
        totals[TotalOfKind[kind]]++;
        totals.requestBytes += requestBytes;
        const admitted = (kind === "write" ? this.#writeBucket : this.#readBucket).take();
        totals.rateLimited += admitted ? 0 : 1;
        this.#counters.add(`platform.${TotalOfKind[kind]}`);
        this.#counters.add("platform.rateLimited", admitted ? 0 : 1);
        return admitted;
    }

    /** Counts the body of an answer. */
    recordResponse(hostId: string, answerBytes: number): void {
        this.#of(hostId).answerBytes += answerBytes;
    }

    /** @returns The calls by host id; callers without an identity are listed as an empty id. */
    snapshot(): Record<string, CallTotals> {
        return Object.fromEntries([...this.#totals].sort(([a], [b]) => a < b ? -1 : 1));
    }

    #of(hostId: string): CallTotals {
        let totals = this.#totals.get(hostId);
        if (totals === undefined) {
            totals = { reads: 0, writes: 0, watches: 0, rateLimited: 0, requestBytes: 0, answerBytes: 0 };
            this.#totals.set(hostId, totals);
        }
        return totals;
    }
}
