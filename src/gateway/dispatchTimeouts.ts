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
    const factor = plan.workClass === "background" ? settings.backgroundTimeoutFactor : 1;
    const completeResponseMs = settings.answerTimeoutMs + plan.maxOutputTokens * settings.answerTimeoutPerTokenMs;
    const firstByteMs = responseKind === "chatStream" ? settings.firstByteTimeoutMs : completeResponseMs;
    return { firstByteTimeoutMs: firstByteMs * factor, progressTimeoutMs: settings.progressTimeoutMs * factor };
}
