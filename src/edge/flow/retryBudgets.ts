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

    /** @param hostCount Returns the number of hosts in the fleet; read once for each service. */
    constructor(limits: RetryBudgetLimits, hostCount: () => number) {
        this.#limits = limits;
        this.#hostCount = hostCount;
    }

    /** Counts a request for a service. */
    recordRequest(service: string, nowMs: number): void {
        this.#budget(service).requests.add(nowMs);
    }

    /** @returns Whether one more repeated send is allowed; counts it if so. */
    tryAcquire(service: string, nowMs: number): boolean {
        const { requests, retries } = this.#budget(service);
        return retries.tryAcquire(requests.count(nowMs), nowMs);
    }

    #budget(service: string): ServiceBudget {
        let budget = this.#services.get(service);
        if (budget === undefined) {
            const { ratio, windowMs, minRetryCount } = this.#limits;
            const minimum = Math.max(1, Math.floor(minRetryCount / this.#hostCount()));
            budget = {
                requests: new SlidingWindowCounter(windowMs),
                retries: new AttemptBudget(ratio, minimum, windowMs),
            };
            this.#services.set(service, budget);
        }
        return budget;
    }
}
