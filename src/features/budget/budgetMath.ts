/** Sizes of draws, limits, returns and transfers. Pure functions over token counts. */

/**
 * Part of the obtainable tokens that one host's demand may take. With even parts of 6 hosts, 43 % of the coverable
 * requests were refused in a store outage of 30 s; see docs/fuzzing.md.
 */
const DemandPart = 1 / 4;

/** What the size of a draw depends on. */
export interface DrawInput {
    readonly demandTokensPerS: number;
    readonly horizonMs: number;
    readonly largestCostTokens: number;
    /** Share that is held without demand. */
    readonly standingTokens: number;
    /** G minus net consumption: what is left of the own share. */
    readonly unusedTokens: number;
    /** Tokens that no host holds. */
    readonly unallocatedTokens: number;
    readonly liveHostCount: number;
    /** Smallest draw that is worth a store write when nothing waits. */
    readonly minimumTokens: number;
    /** Tokens that waiting requests need beyond the own share. */
    readonly neededTokens: number;
}

/**
 * What a host should hold unused. Without demand that is at most an even part of half of what can be had; measured
 * demand may take up to {@link DemandPart}, because a busy host with an even part runs dry within seconds of a store
 * outage. Counting the own unused tokens in keeps a host from drawing part after part until nothing is free.
 */
export function computeTargetUnusedTokens(input: DrawInput): number {
    const obtainable = input.unallocatedTokens + Math.max(0, input.unusedTokens);
    const evenPart = 1 / (2 * Math.max(1, input.liveHostCount));
    const evenTokens = Math.max(Math.floor(obtainable * evenPart), input.minimumTokens === 1 ? 1 : 0);
    const demand = Math.ceil(input.demandTokensPerS * input.horizonMs / 1_000);
    return Math.max(
        Math.min(demand, Math.floor(obtainable * Math.max(evenPart, DemandPart))),
        Math.min(Math.max(input.largestCostTokens, input.standingTokens), evenTokens),
    );
}

/** @returns Tokens that a host should hold unused when plenty are free. */
function wishedTokens({ demandTokensPerS, horizonMs, largestCostTokens, standingTokens }: DrawInput): number {
    return Math.ceil(Math.max(demandTokensPerS * horizonMs / 1_000, largestCostTokens, standingTokens));
}

/**
 * Size of a draw. What a draw without a waiting request would leave too small stays free for those that need it.
 * @returns Tokens to draw; 0 when the share suffices or nothing is free.
 */
export function computeDrawSize(input: DrawInput): number {
    const target = computeTargetUnusedTokens(input);
    // The lower bound keeps small requests from causing a store write each.
    const wished = input.unusedTokens < target / 2 ? target - input.unusedTokens : 0;
    // The smallest draw is a part of the paid tokens, which may exceed all that a host should ever hold.
    const smallest = Math.min(input.minimumTokens, wishedTokens(input) / 2);
    const worthwhile = wished >= smallest ? wished : 0;
    return Math.max(0, Math.min(input.unallocatedTokens, Math.max(worthwhile, input.neededTokens)));
}

/** What the size of a limit depends on. */
export interface SpendingLimitInput {
    /** S + R + O - I. */
    readonly usedTokens: number;
    readonly grantedTokens: number;
    readonly largestCostTokens: number;
    readonly demandTokensPerS: number;
    readonly horizonMs: number;
    /** Headroom that is declared without demand. */
    readonly standingTokens: number;
    /** Tokens that waiting requests and transfers need. */
    readonly neededTokens: number;
}

/** @returns The limit to declare: the net consumption plus headroom, at most the granted tokens. */
export function computeSpendingLimit(input: SpendingLimitInput): number {
    const headroom = Math.max(
        2 * input.largestCostTokens,
        input.demandTokensPerS * input.horizonMs / 1_000,
        input.standingTokens,
        input.neededTokens,
    );
    return Math.max(0, Math.min(input.grantedTokens, Math.ceil(input.usedTokens + headroom)));
}

/** Decides how much a host draws and declares. */
export interface SharePolicy {
    readonly computeDrawSize: (input: DrawInput) => number;
    readonly computeSpendingLimit: (input: SpendingLimitInput) => number;
}

/** Draws and limits that follow the demand. */
export const DemandPolicy: SharePolicy = { computeDrawSize, computeSpendingLimit };

/** @returns Tokens to give to a peer; 0 when the minimum cannot be spared. */
export function computeTransferSize(spareTokens: number, wantedTokens: number, minimumTokens: number): number {
    return spareTokens < minimumTokens ? 0 : Math.min(wantedTokens, spareTokens);
}

/** Exponential moving average of an amount per second. */
export class DemandAverage {
    #tokens = 0;
    #atMs: number;
    readonly #windowMs: number;

    /**
     * @param windowMs Time constant.
     * @param nowMs Monotonic time.
     */
    constructor(windowMs: number, nowMs: number) {
        this.#windowMs = windowMs;
        this.#atMs = nowMs;
    }

    /** Adds tokens that are demanded now. */
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
        this.#tokens *= Math.exp((this.#atMs - nowMs) / this.#windowMs);
        this.#atMs = nowMs;
    }
}

/** Largest amount of a sliding window, in two halves. */
export class SlidingWindowMaximum {
    #current = 0;
    #previous = 0;
    #rotatedMs: number;
    readonly #halfWindowMs: number;

    constructor(windowMs: number, nowMs: number) {
        this.#halfWindowMs = windowMs / 2;
        this.#rotatedMs = nowMs;
    }

    add(amount: number, nowMs: number): void {
        this.#rotate(nowMs);
        this.#current = Math.max(this.#current, amount);
    }

    maximum(nowMs: number): number {
        this.#rotate(nowMs);
        return Math.max(this.#current, this.#previous);
    }

    #rotate(nowMs: number): void {
        const elapsedMs = nowMs - this.#rotatedMs;
        if (elapsedMs >= this.#halfWindowMs) {
            this.#previous = elapsedMs >= 2 * this.#halfWindowMs ? 0 : this.#current;
            this.#current = 0;
            this.#rotatedMs = nowMs;
        }
    }
}
