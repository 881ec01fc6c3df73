/** Limits retries, hedges and probes to fractions of the requests. */

/** Number of buckets of a sliding window. */
const BucketCount = 10;

/** Counts events within a sliding window. */
export class SlidingWindowCounter {
    readonly #bucketMs: number;
    readonly #counts = new Array<number>(BucketCount).fill(0);
    #bucket = 0;

    /** @param windowMs Length of the window in milliseconds. */
    constructor(windowMs: number) {
        this.#bucketMs = windowMs / BucketCount;
    }

    /** Counts an event. */
    add(nowMs: number): void {
        this.#advance(nowMs);
        this.#counts[this.#bucket % BucketCount]!++;
    }

    /** @returns Number of events within the window. */
    count(nowMs: number): number {
        this.#advance(nowMs);
        return this.#counts.reduce((total, count) => total + count, 0);
    }

    #advance(nowMs: number): void {
        const bucket = Math.floor(nowMs / this.#bucketMs);
        for (let index = Math.max(this.#bucket + 1, bucket - BucketCount + 1); index <= bucket; index++) {
            this.#counts[index % BucketCount] = 0;
        }
        this.#bucket = Math.max(this.#bucket, bucket);
    }
}

/** Limits one kind of extra attempts, such as retries, to a fraction of the requests within a sliding window. */
export class AttemptBudget {
    readonly #ratio: number;
    readonly #minimum: number;
    readonly #attempts: SlidingWindowCounter;

    /**
     * @param ratio Maximum attempts as a fraction of the requests.
     * @param minimum Attempts that are always allowed within the window, however few requests there are.
     * @param windowMs Length of the window in milliseconds.
     */
    constructor(ratio: number, minimum: number, windowMs: number) {
        this.#ratio = ratio;
        this.#minimum = minimum;
        this.#attempts = new SlidingWindowCounter(windowMs);
    }

    /**
     * @param requests Number of requests within the window.
     * @param minimum Replaces the minimum of the constructor where that changes with the size of the fleet.
     * @returns Whether another attempt is allowed; if so, it is counted.
     */
    tryAcquire(requests: number, nowMs: number, minimum = this.#minimum): boolean {
        const maxAttempts = Math.max(minimum, requests * this.#ratio);
        if (this.#attempts.count(nowMs) + 1 > maxAttempts) {
            return false;
        }
        this.#attempts.add(nowMs);
        return true;
    }
}

/** Maximum number of hedges that a host with few hedges saves for the time when an upstream becomes slow. */
const MaxSavedHedges = 20;

/** Sums of ratios fall short of whole numbers by less than this, due to rounding. */
const RoundingTolerance = 1e-6;

/** Limits hedges to a fraction of all requests. A limited number of unused hedges is saved for later. */
export class HedgeBudget {
    readonly #ratio: number;
    #savedHedges = 1;

    /** @param ratio Maximum hedges as a fraction of the requests. */
    constructor(ratio: number) {
        this.#ratio = ratio;
    }

    /** @returns Whether a hedge is allowed now. */
    get isAvailable(): boolean {
        return this.#savedHedges >= 1 - RoundingTolerance;
    }

    /** Counts a first attempt. */
    recordRequest(): void {
        this.#savedHedges = Math.min(MaxSavedHedges, this.#savedHedges + this.#ratio);
    }

    /** @returns Whether a hedge is allowed; if so, it is counted. */
    tryAcquire(): boolean {
        if (!this.isAvailable) {
            return false;
        }
        this.#savedHedges--;
        return true;
    }
}

/** Settings of {@link RetryBudget}; a subset of `AdmissionSettings`. */
export interface RetryBudgetSettings {
    readonly retryRatio: number;
    readonly hedgeRatio: number;
    readonly probeRatio: number;
    readonly retryWindowMs: number;
}

/** Retries that are always allowed within the window; without them, the first failures on an idle host reach the caller. */
const MinRetries = 10;
/** Probes that are always allowed within the window. */
const MinProbes = 2;

/** Budgets for retries, hedges and probes of one host. */
export class RetryBudget {
    readonly retries: AttemptBudget;
    readonly hedges: HedgeBudget;
    readonly probes: AttemptBudget;
    readonly #requests: SlidingWindowCounter;

    constructor(settings: RetryBudgetSettings) {
        this.retries = new AttemptBudget(settings.retryRatio, MinRetries, settings.retryWindowMs);
        this.hedges = new HedgeBudget(settings.hedgeRatio);
        this.probes = new AttemptBudget(settings.probeRatio, MinProbes, settings.retryWindowMs);
        this.#requests = new SlidingWindowCounter(settings.retryWindowMs);
    }

    /** Counts a first attempt. */
    recordRequest(nowMs: number): void {
        this.#requests.add(nowMs);
        this.hedges.recordRequest();
    }

    /** @returns Number of first attempts within the window. */
    countRequests(nowMs: number): number {
        return this.#requests.count(nowMs);
    }
}
