/** Bounds retries and hedges to shares of the recent requests. */

/** Number of buckets that make up the window. */
const Buckets = 10;

/** Counts events within a sliding window. */
export class SlidingWindowCounter {
    readonly #bucketMs: number;
    readonly #counts = new Array<number>(Buckets).fill(0);
    #bucket = 0;

    constructor(windowMs: number) {
        this.#bucketMs = windowMs / Buckets;
    }

    add(nowMs: number): void {
        this.#advance(nowMs);
        this.#counts[this.#bucket % Buckets]!++;
    }

    count(nowMs: number): number {
        this.#advance(nowMs);
        return this.#counts.reduce((total, count) => total + count, 0);
    }

    #advance(nowMs: number): void {
        const bucket = Math.floor(nowMs / this.#bucketMs);
        for (let step = Math.max(this.#bucket + 1, bucket - Buckets + 1); step <= bucket; step++) {
            this.#counts[step % Buckets] = 0;
        }
        this.#bucket = Math.max(this.#bucket, bucket);
    }
}

/** Allowance of one kind of extra attempts. */
export class AttemptBudget {
    readonly #ratio: number;
    readonly #minimum: number;
    readonly #attempts: SlidingWindowCounter;

    /**
     * @param ratio Attempts as a share of the requests.
     * @param minimum Attempts that are allowed within the window however few requests there are.
     */
    constructor(ratio: number, minimum: number, windowMs: number) {
        this.#ratio = ratio;
        this.#minimum = minimum;
        this.#attempts = new SlidingWindowCounter(windowMs);
    }

    /**
     * @param requests Requests within the window.
     * @returns Whether another attempt is allowed; counts it if so.
     */
    tryAcquire(requests: number, nowMs: number): boolean {
        const allowed = Math.max(this.#minimum, requests * this.#ratio);
        if (this.#attempts.count(nowMs) + 1 > allowed) {
            return false;
        }
        this.#attempts.add(nowMs);
        return true;
    }
}

/** Hedges that a quiet host saves up at most, for the moment when an upstream becomes slow. */
const MaxSavedHedges = 20;

/** Sums of shares fall short of whole numbers by less than this. */
const RoundingError = 1e-6;

/** Allowance of hedges: a share of all requests, part of which can be saved for later. */
export class HedgeBudget {
    readonly #ratio: number;
    #saved = 1;

    /** @param ratio Hedges as a share of the requests. */
    constructor(ratio: number) {
        this.#ratio = ratio;
    }

    /** @returns Whether a hedge is allowed now. */
    get isAvailable(): boolean {
        return this.#saved >= 1 - RoundingError;
    }

    /** Counts a first attempt. */
    recordRequest(): void {
        this.#saved = Math.min(MaxSavedHedges, this.#saved + this.#ratio);
    }

    /** @returns Whether a hedge is allowed; counts it if so. */
    tryAcquire(): boolean {
        if (!this.isAvailable) {
            return false;
        }
        this.#saved--;
        return true;
    }
}

/** Settings of {@link RetryBudget}. */
export interface RetryBudgetSettings {
    readonly retryRatio: number;
    readonly hedgeRatio: number;
    readonly probeRatio: number;
    readonly retryWindowMs: number;
}

/** Retries allowed within the window at any rate; without them the first failures of a quiet host reach the caller. */
const MinRetries = 10;
/** Probes allowed within the window at any rate. */
const MinProbes = 2;

/** Budgets of retries, hedges and probes. */
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

    /** @returns First attempts within the window. */
    countRequests(nowMs: number): number {
        return this.#requests.count(nowMs);
    }
}
