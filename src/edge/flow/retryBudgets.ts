/** Bounds repeated sends to each service; the fleet's bound is divided among its hosts without messages. */
import { AttemptBudget, SlidingCount } from "../../features/admission/retryBudget.js";

/** Figures of the fleet's bound. */
export interface RetryBudgetFigures {
    readonly ratio: number;
    readonly windowMs: number;
    /** Sends allowed within the window over all hosts however few requests there are. */
    readonly slackCount: number;
}

interface ServiceBudget {
    readonly requests: SlidingCount;
    readonly repeats: AttemptBudget;
}

/** Retry budgets by service. */
export class RetryBudgets {
    readonly #figures: RetryBudgetFigures;
    readonly #services = new Map<string, ServiceBudget>();
    readonly #hostCount: () => number;

    constructor(figures: RetryBudgetFigures, hostCount: () => number) {
        this.#figures = figures;
        this.#hostCount = hostCount;
    }

    /** Counts a request for a service. */
    countRequest(service: string, nowMs: number): void {
        this.#budget(service).requests.add(nowMs);
    }

    /** @returns Whether one more send is allowed; counts it if so. */
    take(service: string, nowMs: number): boolean {
        const { requests, repeats } = this.#budget(service);
        return repeats.take(requests.sum(nowMs), nowMs);
    }

    #budget(service: string): ServiceBudget {
        let budget = this.#services.get(service);
        if (budget === undefined) {
            const { ratio, windowMs, slackCount } = this.#figures;
            const minimum = Math.max(1, Math.floor(slackCount / this.#hostCount()));
            budget = {
                requests: new SlidingCount(windowMs),
                repeats: new AttemptBudget(ratio, minimum, windowMs),
            };
            this.#services.set(service, budget);
        }
        return budget;
    }
}
