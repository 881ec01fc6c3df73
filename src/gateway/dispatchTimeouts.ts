/** Computes how long an upstream may stay silent. */
import type { RoutePlan } from "../routing/routePlan.js";
import type { GatewaySettings } from "./gatewaySettings.js";
import type { ResponseKind } from "./gatewayTypes.js";
import type { UpstreamCallRequest } from "./upstreamClient.js";

/** @returns Timeouts of one dispatch, in milliseconds. */
export function getDispatchTimeouts(
    settings: GatewaySettings,
    responseKind: ResponseKind,
    plan: RoutePlan,
): Pick<UpstreamCallRequest, "firstByteTimeoutMs" | "progressTimeoutMs"> {
    const factor = getTimeoutFactor(settings, plan);
    const firstByteMs = responseKind === "chatStream" ?
        settings.firstByteTimeoutMs * factor :
        getCompleteResponseMs(settings, plan);
    return { firstByteTimeoutMs: firstByteMs, progressTimeoutMs: settings.progressTimeoutMs * factor };
}

/**
 * @returns Longest duration of a dispatch with a whole response, in milliseconds. A stream has no timeout as a whole; it
 * counts like a response of as many tokens that is not streamed.
 */
export function getLongestResponseMs(settings: GatewaySettings, plan: RoutePlan): number {
    return settings.connectTimeoutMs + getCompleteResponseMs(settings, plan);
}

function getCompleteResponseMs(settings: GatewaySettings, plan: RoutePlan): number {
    const completeResponseMs = settings.answerTimeoutMs + plan.maxOutputTokens * settings.answerTimeoutPerTokenMs;
    return completeResponseMs * getTimeoutFactor(settings, plan);
}

function getTimeoutFactor(settings: GatewaySettings, plan: RoutePlan): number {
    return plan.workClass === "background" ? settings.backgroundTimeoutFactor : 1;
}
