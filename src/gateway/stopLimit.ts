/** Decides whether a request can still end before this host stops. */
import type { RoutePlan } from "../routing/routePlan.js";
import type { Attempt } from "./attempt.js";
import { getLongestResponseMs } from "./dispatchTimeouts.js";
import { DurationEstimator, type ResponseSample } from "./durationEstimator.js";
import type { CallerRequest, GatewayDependencies } from "./gatewayTypes.js";

/**
 * Limits the requests of a host that stops. From the signal on, a request is sent only if it can end before the end of
 * requests that the lifecycle controller has set: otherwise its caller would lose the response, and pay for it.
 */
export class StopLimit {
    readonly #dependencies: Pick<GatewayDependencies, "clock" | "kernel" | "settings">;
    readonly #estimator: DurationEstimator;

    constructor(dependencies: Pick<GatewayDependencies, "clock" | "kernel" | "settings">) {
        this.#dependencies = dependencies;
        this.#estimator = new DurationEstimator(dependencies.clock);
    }

    /** Records how long a whole response took. */
    record(request: CallerRequest, plan: RoutePlan, attempt: Attempt): void {
        const sample = createSample(request, attempt);
        if (sample !== undefined) {
            this.#estimator.record(kindOf(request, plan), sample);
        }
    }

    /** @returns Time for which the request may still wait before it is sent, in milliseconds; infinite unless this host stops. */
    getRemainingWaitMs(request: CallerRequest, plan: RoutePlan): number {
        const { clock, kernel } = this.#dependencies;
        const { requestsEndAtMs } = kernel.board.lifecycle;
        return requestsEndAtMs === undefined ?
            Number.POSITIVE_INFINITY :
            requestsEndAtMs - clock.monotonicMs() - this.#getDurationMs(request, plan);
    }

    /** @returns Whether the request would end in time if it were sent now. */
    canBegin(request: CallerRequest, plan: RoutePlan): boolean {
        return this.getRemainingWaitMs(request, plan) >= 0;
    }

    /** Work that may run once only counts with its longest duration, as its outcome would be unknown after a cut. */
    #getDurationMs(request: CallerRequest, plan: RoutePlan): number {
        const longestMs = getLongestResponseMs(this.#dependencies.settings, plan);
        const estimateMs = plan.repeatable ?
            this.#estimator.estimateMs(kindOf(request, plan), plan.maxOutputTokens) :
            undefined;
        return Math.min(longestMs, estimateMs ?? longestMs);
    }
}

/** Requests of one kind take similar times: the same target, format and work class, which engines pause in different ways. */
function kindOf({ query, responseKind }: CallerRequest, plan: RoutePlan): string {
    return JSON.stringify([responseKind, plan.workClass, query.model, query.service]);
}

/** @returns The sample of a whole response; `undefined` if it does not tell the time of a token. */
function createSample({ responseKind }: CallerRequest, attempt: Attempt): ResponseSample | undefined {
    const { firstBytesAfterMs, durationMs, reader } = attempt;
    if (firstBytesAfterMs === undefined || durationMs === undefined) {
        return undefined;
    }
    if (responseKind === "service") {
        return { baseMs: durationMs, perTokenMs: 0 };
    }
    if (responseKind === "chatJson") {
        return { baseMs: 0, perTokenMs: durationMs / Math.max(1, reader.outputTokens) };
    }
    const laterTokens = reader.outputTokens - 1;
    return laterTokens < 1 ?
        undefined :
        { baseMs: firstBytesAfterMs, perTokenMs: (durationMs - firstBytesAfterMs) / laterTokens };
}
