/** Pure functions that compute the sizes of draws, spending limits, returns and transfers from token counts. */

/**
 * Largest fraction of the obtainable tokens that one host may hold for its measured demand. When 6 hosts were limited to
 * even fractions, 43 % of the requests that the budget could have covered were refused in a store outage of 30 s; see
 * docs/fuzzing.md.
 */
const MaxDemandFraction = 1 / 4;

/** Input of {@link computeDrawSize}. Amounts are tokens, or uses for a grant. */
export interface DrawInput {
    /** Moving average of the demand. */
    readonly demandTokensPerS: number;
    /** Time for which the draw should cover the demand, in milliseconds. */
    readonly horizonMs: number;
    /** Cost of the largest recent request. */
    readonly largestCostTokens: number;
    /** Tokens that the host holds even without demand. */
    readonly standingTokens: number;
    /** Unused tokens of the host's own share: G minus net consumption; negative when the share is overspent. */
    readonly unusedTokens: number;
    /** Tokens that no host holds. */
    readonly unallocatedTokens: number;
    /** Live hosts, this one included. */
    readonly liveHostCount: number;
    /** Minimum size of a draw that is worth a store write when no request waits. */
    readonly minimumTokens: number;
    /** Tokens that waiting requests need beyond the host's own share. */
    readonly neededTokens: number;
}

/**
 * Computes how many unused tokens a host should hold. Without demand this is at most an even fraction of half of the
 * obtainable tokens. Measured demand may take up to {@link MaxDemandFraction}, because a busy host with an even fraction
 * runs out of tokens within seconds of a store outage. The obtainable tokens include the host's own unused ones; otherwise
 * the host would draw one fraction after another until no tokens are unallocated.
 */
export function computeTargetUnusedTokens(input: DrawInput): number {
    const obtainable = input.unallocatedTokens + Math.max(0, input.unusedTokens);
    const evenFraction = 1 / (2 * Math.max(1, input.liveHostCount));
    const evenShareTokens = Math.max(Math.floor(obtainable * evenFraction), input.minimumTokens === 1 ? 1 : 0);
    const demandTokens = Math.ceil(input.demandTokensPerS * input.horizonMs / 1_000);
    return Math.max(
        Math.min(demandTokens, Math.floor(obtainable * Math.max(evenFraction, MaxDemandFraction))),
        Math.min(Math.max(input.largestCostTokens, input.standingTokens), evenShareTokens),
    );
}

/** @returns Unused tokens that a host should hold when unallocated tokens are plentiful. */
function computeUnboundedTargetTokens(
    { demandTokensPerS, horizonMs, largestCostTokens, standingTokens }: DrawInput,
): number {
    return Math.ceil(Math.max(demandTokensPerS * horizonMs / 1_000, largestCostTokens, standingTokens));
}

/**
 * Computes the size of a draw. When no request waits, a draw below the minimum size is not made, so that the tokens stay
 * unallocated for hosts that need them.
 * @returns Tokens to draw; 0 when the share suffices or no tokens are unallocated.
 */
export function computeDrawSize(input: DrawInput): number {
    const target = computeTargetUnusedTokens(input);
    // Refilling only below half of the target avoids a store write per small request.
    const refillTokens = input.unusedTokens < target / 2 ? target - input.unusedTokens : 0;
    // The minimum draw is a fraction of the paid tokens, which may exceed everything that a host should ever hold.
    const minRefillTokens = Math.min(input.minimumTokens, computeUnboundedTargetTokens(input) / 2);
    const worthwhileTokens = refillTokens >= minRefillTokens ? refillTokens : 0;
    return Math.max(0, Math.min(input.unallocatedTokens, Math.max(worthwhileTokens, input.neededTokens)));
}

/** Input of {@link computeSpendingLimit}. Amounts are tokens, or uses for a grant. */
export interface SpendingLimitInput {
    /** Net consumption including reservations: S + R + O - I. */
    readonly usedTokens: number;
    /** G: tokens granted to the host; the limit never exceeds them. */
    readonly grantedTokens: number;
    /** Cost of the largest recent request. */
    readonly largestCostTokens: number;
    /** Moving average of the demand. */
    readonly demandTokensPerS: number;
    /** Time for which the limit should cover the demand, in milliseconds. */
    readonly horizonMs: number;
    /** Headroom that is declared even without demand. */
    readonly standingTokens: number;
    /** Tokens that waiting requests and transfers need. */
    readonly neededTokens: number;
}

/** @returns The spending limit to declare: net consumption plus headroom, at most the granted tokens. */
export function computeSpendingLimit(input: SpendingLimitInput): number {
    const headroom = Math.max(
        2 * input.largestCostTokens,
        input.demandTokensPerS * input.horizonMs / 1_000,
        input.standingTokens,
        input.neededTokens,
    );
    return Math.max(0, Math.min(input.grantedTokens, Math.ceil(input.usedTokens + headroom)));
}

/** Computes how many tokens a host draws and which spending limit it declares. */
export interface SharePolicy {
    readonly computeDrawSize: (input: DrawInput) => number;
    readonly computeSpendingLimit: (input: SpendingLimitInput) => number;
}

/** Default policy: draws and spending limits follow the measured demand. */
export const DemandPolicy: SharePolicy = { computeDrawSize, computeSpendingLimit };

/** @returns Tokens to give to a peer: at most the available ones; 0 when fewer than the minimum are available. */
export function computeTransferSize(availableTokens: number, requestedTokens: number, minimumTokens: number): number {
    return availableTokens < minimumTokens ? 0 : Math.min(requestedTokens, availableTokens);
}

/** Exponential moving average of the demanded tokens per second. */
export class DemandAverage {
    #tokens = 0;
    #updatedAtMs: number;
    readonly #windowMs: number;

    /**
     * @param windowMs Time constant in milliseconds.
     * @param nowMs Current monotonic time in milliseconds.
     */
    constructor(windowMs: number, nowMs: number) {
        this.#windowMs = windowMs;
        this.#updatedAtMs = nowMs;
    }

    /** Adds tokens that a request demands at the given time. */
    add(tokens: number, nowMs: number): void {
        this.#decay(nowMs);
        this.#tokens += tokens;
    }

    /** @returns The average in tokens per second; 0 when it is below a thousandth. */
    tokensPerS(nowMs: number): number {
        this.#decay(nowMs);
        const rate = this.#tokens * 1_000 / this.#windowMs;
        return rate < 0.001 ? 0 : rate;
    }

    #decay(nowMs: number): void {
        this.#tokens *= Math.exp((this.#updatedAtMs - nowMs) / this.#windowMs);
        this.#updatedAtMs = nowMs;
    }
}

/**
 * Maximum of the amounts added within a sliding window. The window consists of two halves; an amount is remembered for at
 * least half of the window.
 */
export class SlidingWindowMaximum {
    #current = 0;
    #previous = 0;
    #rotatedAtMs: number;
    readonly #halfWindowMs: number;

    /**
     * @param windowMs Length of the window in milliseconds.
     * @param nowMs Current monotonic time in milliseconds.
     */
    constructor(windowMs: number, nowMs: number) {
        this.#halfWindowMs = windowMs / 2;
        this.#rotatedAtMs = nowMs;
    }

    /** Adds an amount. */
    add(amount: number, nowMs: number): void {
        this.#rotate(nowMs);
        this.#current = Math.max(this.#current, amount);
    }

    /** @returns The maximum; 0 when the window holds no amount. */
    maximum(nowMs: number): number {
        this.#rotate(nowMs);
        return Math.max(this.#current, this.#previous);
    }

    #rotate(nowMs: number): void {
        const elapsedMs = nowMs - this.#rotatedAtMs;
        if (elapsedMs >= this.#halfWindowMs) {
            this.#previous = elapsedMs >= 2 * this.#halfWindowMs ? 0 : this.#current;
            this.#current = 0;
            this.#rotatedAtMs = nowMs;
        }
    }
}
