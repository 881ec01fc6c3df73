/** Builds the request with which the gateway asks the admission for an upstream. */
import type { AdmissionRequest } from "../features/admission/admissionTypes.js";
import type { WorkClass } from "../features/config/configTypes.js";
import type { RoutePlan } from "../routing/routePlan.js";
import type { CallerRequest } from "./gatewayTypes.js";

/**
 * @param workClass Class in which the request runs; a priority grant raises the class of the plan.
 * @param excluded Names of the upstreams that were tried.
 * @param elapsedMs Time since the request was read.
 */
export function createAdmissionRequest(
    { requestId, team }: CallerRequest,
    plan: RoutePlan,
    workClass: WorkClass,
    excluded: readonly string[],
    elapsedMs: number,
): AdmissionRequest {
    return {
        requestId,
        team,
        workClass,
        long: plan.long,
        repeatable: plan.repeatable,
        candidates: plan.candidates,
        fallbacks: plan.fallbacks,
        weights: plan.weights,
        maxInFlightPerUpstream: plan.maxInFlightPerUpstream,
        prefixKey: plan.prefixKey,
        promptTokens: plan.promptTokens,
        maxOutputTokens: plan.maxOutputTokens,
        maxQueueWaitMs: Math.max(0, plan.deadlineMs - elapsedMs),
        excludedUpstreams: [...excluded],
    };
}
