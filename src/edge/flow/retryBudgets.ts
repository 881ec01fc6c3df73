/** Limits repeated sends to each service. The limit of the fleet is divided among its hosts without communication. */
import { AttemptBudget, SlidingWindowCounter } from "../../features/admission/retryBudget.js";

/** Limits on repeated sends to one service over the whole fleet. */
export interface RetryBudgetLimits {
    /** Maximum ratio of repeated sends to requests. */
    readonly ratio: number;
    /** Time over which both are counted, in milliseconds. */
    readonly windowMs: number;
    /** Repeated sends that all hosts together may make within the window, however few requests there are. */
    readonly minRetryCount: number;
}

/** Counters of one service. */
interface ServiceBudget {
    readonly requests: SlidingWindowCounter;
    readonly retries: AttemptBudget;
}

/** Retry budgets by service. */
export class RetryBudgets {
    readonly #limits: RetryBudgetLimits;
    readonly #services = new Map<string, ServiceBudget>();
    readonly #hostCount: () => number;
    readonly #rank: number;

    /**
     * @param hostCount Returns the number of hosts in the fleet, which may change.
     * @param rank Number from 0 to 1 that is spread evenly over the hosts. In a fleet with more hosts than minimum retries, it
     * decides which hosts have one.
     */
    constructor(limits: RetryBudgetLimits, hostCount: () => number, rank: number) {
        this.#limits = limits;
        this.#hostCount = hostCount;
        this.#rank = rank;
    }

    /** Counts a request for a service. */
    recordRequest(service: string, nowMs: number): void {
        this.#budget(service).requests.add(nowMs);
    }

    /** @returns Whether one more repeated send is allowed; counts it if so. */
    tryAcquire(service: string, nowMs: number): boolean {
        const { requests, retries } = this.#budget(service);
        return retries.tryAcquire(requests.count(nowMs), nowMs, this.#minimum);
    }

    /** @returns This host's part of the minimum; the parts of all hosts add up to about that of the fleet. */
    get #minimum(): number {
        return Math.floor(this.#limits.minRetryCount / this.#hostCount() + this.#rank);
    }

    #budget(service: string): ServiceBudget {
        let budget = this.#services.get(service);
        if (budget === undefined) {
            const { ratio, windowMs } = this.#limits;
            budget = {
                requests: new SlidingWindowCounter(windowMs),
                retries: new AttemptBudget(ratio, 0, windowMs),
            };
            this.#services.set(service, budget);
        }
        return budget;
    }
}
