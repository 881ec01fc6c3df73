/** Records the attempts of one request and decides whether another one is allowed. */
import type { ExecutionState } from "../../base/resultCodes.js";
import type { Route } from "../edgeTypes.js";
import type { AttemptOutcome } from "./attempt.js";

/** Maximum number of repeated sends of one request after sends that were not executed; they do not count as runs. */
const MaxExtraSends = 2;

/** @returns Whether requests of the route may run more than once. */
export function isRepeatable({ kind, isResumable }: Route): boolean {
    return kind === "idempotent" || (kind === "streaming" && isResumable);
}

/** Counts the sends and the possible runs of one request. */
export class AttemptHistory {
    /** Upstreams to which the request was sent. */
    readonly triedUpstreamIds = new Set<string>();
    readonly #route: Route;
    #sendCount = 0;
    /** Attempts that ran or may have run. */
    #runCount = 0;
    #ran: ExecutionState = "no";

    constructor(route: Route) {
        this.#route = route;
    }

    /** @returns Number of sends so far. */
    get sendCount(): number {
        return this.#sendCount;
    }

    /** @returns Whether the request has run, as far as the edge knows. */
    get ran(): ExecutionState {
        return this.#ran;
    }

    /** @returns Whether the request may run more than once. */
    get isRepeatable(): boolean {
        return isRepeatable(this.#route);
    }

    /** @returns Whether the request may run again if its next run fails. */
    get canRetryNextRun(): boolean {
        return this.isRepeatable && this.#runCount + 1 < this.#route.maxAttempts;
    }

    /** Records that the request is about to be sent. */
    recordSend(upstreamId: string): void {
        this.#sendCount++;
        this.triedUpstreamIds.add(upstreamId);
    }

    /**
     * Records how an attempt ended.
     * @param hasEvents Whether output was relayed to the caller.
     */
    recordOutcome(outcome: AttemptOutcome, hasEvents: boolean): void {
        if (outcome.status === "answered") {
            this.#runCount++;
            this.#ran = "yes";
        }
        else if (outcome.status === "interrupted") {
            this.#runCount++;
            this.recordCancellation(hasEvents);
        }
    }

    /** Records that an attempt was cancelled because another one was answered. It may have run. */
    recordCancelledRun(): void {
        this.#runCount++;
        this.recordCancellation(false);
    }

    /** Records that a running attempt was cancelled or broke off. Whether it ran is unknown unless output was relayed. */
    recordCancellation(hasEvents: boolean): void {
        this.#ran = hasEvents ? "yes" : this.#ran === "no" ? "unknown" : this.#ran;
    }

    /** @returns Whether the request may be sent once more while attempts are open, each of which may run it. */
    canSendBeside(openCount: number): boolean {
        return this.isRepeatable && this.#runCount + openCount < this.#route.maxAttempts &&
            this.#sendCount - this.#runCount - openCount <= MaxExtraSends;
    }

    /**
     * @param canContinue Whether the relayed output, if any, can be continued by another upstream.
     * @returns Whether the kind of request allows another send after an attempt with this outcome, if none is open; see
     * {@link canSendBeside}.
     */
    canRetry(outcome: AttemptOutcome, canContinue: boolean): boolean {
        if (outcome.status === "unreachable" || outcome.status === "notExecuted") {
            return this.#sendCount - this.#runCount <= MaxExtraSends;
        }
        return this.isRepeatable && this.#runCount < this.#route.maxAttempts && canContinue;
    }
}
