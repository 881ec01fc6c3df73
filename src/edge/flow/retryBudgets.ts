/** Bounds repeated sends to each service; the fleet's bound is divided among its hosts without messages. */
import { AttemptBudget, SlidingWindowCounter } from "../../features/admission/retryBudget.js";

/** Figures of the fleet's bound. */
export interface RetryBudgetLimits {
    readonly ratio: number;
    readonly windowMs: number;
    /** Sends allowed within the window over all hosts however few requests there are. */
    readonly minRetryCount: number;
}

interface ServiceBudget {
    readonly requests: SlidingWindowCounter;
    readonly repeats: AttemptBudget;
}

/** Retry budgets by service. */
export class RetryBudgets {
    readonly #figures: RetryBudgetLimits;
    readonly #services = new Map<string, ServiceBudget>();
    readonly #hostCount: () => number;

    constructor(figures: RetryBudgetLimits, hostCount: () => number) {
        this.#figures = figures;
        this.#hostCount = hostCount;
    }

    /** Counts a request for a service. */
    recordRequest(service: string, nowMs: number): void {
        this.#budget(service).requests.add(nowMs);
    }

    /** @returns Whether one more send is allowed; counts it if so. */
    tryAcquire(service: string, nowMs: number): boolean {
        const { requests, repeats } = this.#budget(service);
        return repeats.tryAcquire(requests.count(nowMs), nowMs);
    }

    #budget(service: string): ServiceBudget {
        let budget = this.#services.get(service);
        if (budget === undefined) {
            const { ratio, windowMs, minRetryCount } = this.#figures;
            const minimum = Math.max(1, Math.floor(minRetryCount / this.#hostCount()));
            budget = {
                requests: new SlidingWindowCounter(windowMs),
                repeats: new AttemptBudget(ratio, minimum, windowMs),
            };
            this.#services.set(service, budget);
        }
        return budget;
    }
}
