/** Decides whether a request is sent once more. */
import type { RequestQuarantine } from "../quarantine/requestQuarantine.js";
import type { AttemptOutcome } from "./attempt.js";
import type { AttemptHistory } from "./attemptHistory.js";
import type { EdgeRequest, FlowDependencies } from "./flowTypes.js";
import type { OpenAttempts } from "./openAttempts.js";
import type { RequestStop } from "./requestStop.js";
import type { StreamRelay } from "./streamRelay.js";
import type { UpstreamSelector } from "./upstreamSelector.js";

/** Minimum time before the deadline for a repeated send to be useful, in milliseconds. */
const MinUsefulMs = 30;

/** State of the request on which the decisions depend. */
export interface ResendState {
    readonly service: string;
    readonly history: AttemptHistory;
    readonly openAttempts: OpenAttempts;
    readonly relay: StreamRelay;
    readonly upstreams: UpstreamSelector;
    readonly quarantine: RequestQuarantine;
    readonly stop: RequestStop;
}

/** Decides by the route, the attempts so far, the remaining time, a stop of the process, the upstreams and the retry budget. */
export class ResendPolicy {
    readonly #dependencies: FlowDependencies;
    readonly #request: EdgeRequest;
    readonly #state: ResendState;

    constructor(dependencies: FlowDependencies, request: EdgeRequest, state: ResendState) {
        this.#dependencies = dependencies;
        this.#request = request;
        this.#state = state;
    }

    /**
     * @param outcome Outcome of the attempt that has just ended.
     * @returns Whether another send is allowed, useful and within the retry budget, which counts it.
     */
    canResend(outcome: AttemptOutcome): boolean {
        const { history, openAttempts } = this.#state;
        const isAllowed = openAttempts.count > 0 ?
            this.canSendBeside() :
            history.canRetry(outcome, this.#canContinue) && this.#remainingMs >= MinUsefulMs && this.#canEnd;
        if (!isAllowed) {
            return false;
        }
        // A silent attempt is ended only after the retry budget has allowed the next send.
        const isAcquired = outcome.status === "interrupted" && outcome.reason === "silent";
        return isAcquired || outcome.status === "unreachable" || this.tryAcquireRetry();
    }

    /** @returns Whether the request may be sent once more beside its open attempts, all of which are silent. */
    canSendBeside(): boolean {
        const { history, openAttempts, upstreams, quarantine } = this.#state;
        return history.canSendBeside(openAttempts.count) && openAttempts.areAllSilent &&
            this.#remainingMs >= MinUsefulMs && upstreams.hasUntried && quarantine.mayRepeat && this.#canEnd;
    }

    /**
     * @param needsHealthy Whether only a healthy upstream counts.
     * @returns Whether the request may be sent once more after its attempt has been ended, and another upstream could send
     * its first bytes in time.
     */
    canSendInstead(needsHealthy: boolean): boolean {
        const { history, upstreams, quarantine } = this.#state;
        const minRemainingMs = Math.max(MinUsefulMs, this.#request.route.objectiveMs);
        return history.canRetryNextRun && this.#canContinue && this.#remainingMs >= minRemainingMs &&
            quarantine.mayRepeat && this.#canEnd &&
            (needsHealthy ? upstreams.hasHealthyUntried : upstreams.hasUntried);
    }

    /** @returns Whether the retry budget allows one more send; counts it if so. */
    tryAcquireRetry(): boolean {
        return this.#dependencies.retryBudgets.tryAcquire(this.#state.service, this.#dependencies.clock.monotonicMs());
    }

    /** @returns Whether another upstream can continue the relayed events, if there are any. */
    get #canContinue(): boolean {
        const { relay } = this.#state;
        return !relay.hasRelayedEvents || relay.lastEventId !== undefined;
    }

    /** @returns Whether the request, sent once more, can end before the process stops. */
    get #canEnd(): boolean {
        return this.#state.stop.findRefusal() === undefined;
    }

    get #remainingMs(): number {
        return this.#request.deadlineAtMs - this.#dependencies.clock.monotonicMs();
    }
}
