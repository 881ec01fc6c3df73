/** Call statistics and rate limits of the platform stand-in. */
import type { Clock } from "../../base/clock.js";
import type { Counters } from "../../base/counters.js";
import type { CallKind } from "./faultInjector.js";

/** Rate limits of the object API, shared by all hosts of the fleet. */
export interface RateSettings {
    /** Writes per second. */
    readonly writesPerS: number;
    /** Reads per second; a watch counts as one read. */
    readonly readsPerS: number;
}

/** Number of calls and body bytes of one host. */
export interface CallTotals {
    reads: number;
    writes: number;
    watches: number;
    /** Calls that exceeded the rate limit; they are also counted by kind. */
    rateLimited: number;
    requestBytes: number;
    /** Bytes of the response bodies. */
    answerBytes: number;
}

/** Token bucket that refills at a fixed rate and holds at most the tokens of one second. */
class TokenBucket {
    readonly #ratePerS: number;
    readonly #clock: Clock;
    #availableTokens: number;
    #refilledAtMs: number;

    constructor(ratePerS: number, clock: Clock) {
        this.#ratePerS = ratePerS;
        this.#clock = clock;
        this.#availableTokens = ratePerS;
        this.#refilledAtMs = clock.monotonicMs();
    }

    /** @returns Whether a token was available; it is taken. */
    tryTake(): boolean {
        const nowMs = this.#clock.monotonicMs();
        this.#availableTokens = Math.min(
            this.#ratePerS,
            this.#availableTokens + (nowMs - this.#refilledAtMs) * this.#ratePerS / 1_000,
        );
        this.#refilledAtMs = nowMs;
        if (this.#availableTokens < 1) {
            return false;
        }
        this.#availableTokens--;
        return true;
    }
}

const TotalNameByKind = { read: "reads", write: "writes", watch: "watches" } as const;

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
        const totals = this.#totalsOf(hostId);
        totals[TotalNameByKind[kind]]++;
        totals.requestBytes += requestBytes;
        const admitted = (kind === "write" ? this.#writeBucket : this.#readBucket).tryTake();
        totals.rateLimited += admitted ? 0 : 1;
        this.#counters.add(`platform.${TotalNameByKind[kind]}`);
        this.#counters.add("platform.rateLimited", admitted ? 0 : 1);
        return admitted;
    }

    /** Counts the body of a response. */
    recordResponse(hostId: string, responseBytes: number): void {
        this.#totalsOf(hostId).answerBytes += responseBytes;
    }

    /** @returns Totals by host id, sorted; callers that send no host id are listed under the empty string. */
    snapshot(): Record<string, CallTotals> {
        return Object.fromEntries([...this.#totals].sort(([a], [b]) => a < b ? -1 : 1));
    }

    #totalsOf(hostId: string): CallTotals {
        let totals = this.#totals.get(hostId);
        if (totals === undefined) {
            totals = { reads: 0, writes: 0, watches: 0, rateLimited: 0, requestBytes: 0, answerBytes: 0 };
            this.#totals.set(hostId, totals);
        }
        return totals;
    }
}
