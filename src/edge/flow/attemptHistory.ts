/** What the attempts of one request have done so far, and whether another one is allowed. */
import type { ExecutionState } from "../../base/resultCodes.js";
import type { Route } from "../edgeTypes.js";
import type { AttemptOutcome } from "./attempt.js";

/** Sends at which nothing ran that one request may cause beyond its attempts. */
const MaxExtraSends = 2;

/** Counts sends and runs of one request. */
export class AttemptHistory {
    readonly triedUpstreamIds = new Set<string>();
    readonly #route: Route;
    #sends = 0;
    /** Attempts that may have run. */
    #runs = 0;
    #ran: ExecutionState = "no";

    constructor(route: Route) {
        this.#route = route;
    }

    /** @returns Sends so far. */
    get sendCount(): number {
        return this.#sends;
    }

    /** @returns Whether the request has run. */
    get ran(): ExecutionState {
        return this.#ran;
    }

    /** @returns Whether the request may run more than once. */
    get isRepeatable(): boolean {
        const { kind, isResumable } = this.#route;
        return kind === "idempotent" || (kind === "streaming" && isResumable);
    }

    /** @returns Whether the request may run again if its next run fails. */
    get canRetryNextRun(): boolean {
        return this.isRepeatable && this.#runs + 1 < this.#route.maxAttempts;
    }

    /** A request is about to be sent. */
    recordSend(upstreamId: string): void {
        this.#sends++;
        this.triedUpstreamIds.add(upstreamId);
    }

    /** @param hasEvents Whether output was relayed to the caller. */
    recordOutcome(end: AttemptOutcome, hasEvents: boolean): void {
        if (end.status === "answered") {
            this.#runs++;
            this.#ran = "yes";
        }
        else if (end.status === "interrupted") {
            this.#runs++;
            this.recordCancellation(hasEvents);
        }
    }

    /** A running attempt was stopped: without output nobody knows whether it ran. */
    recordCancellation(hasEvents: boolean): void {
        this.#ran = hasEvents ? "yes" : this.#ran === "no" ? "unknown" : this.#ran;
    }

    /**
     * @param canContinue Whether the relayed output, if any, can be continued by another upstream.
     * @returns Whether the kind of request allows another send after this end.
     */
    canRetry(end: AttemptOutcome, canContinue: boolean): boolean {
        if (end.status === "unreachable" || end.status === "notExecuted") {
            return this.#sends - this.#runs <= MaxExtraSends;
        }
        return this.isRepeatable && this.#runs < this.#route.maxAttempts && canContinue;
    }
}
