/** How long an upstream may be silent. */
import type { RoutePlan } from "../routing/routePlan.js";
import type { GatewaySettings } from "./gatewaySettings.js";
import type { ResponseKind } from "./gatewayTypes.js";
import type { UpstreamCallRequest } from "./upstreamClient.js";

/** @returns Timeouts of one dispatch. */
export function dispatchTimeouts(
    settings: GatewaySettings,
    answerKind: ResponseKind,
    plan: RoutePlan,
): Pick<UpstreamCallRequest, "firstByteTimeoutMs" | "progressTimeoutMs"> {
    const factor = plan.workClass === "background" ? settings.backgroundTimeoutFactor : 1;
    const wholeAnswerMs = settings.answerTimeoutMs + plan.maxOutputTokens * settings.answerTimeoutPerTokenMs;
    const firstByteMs = answerKind === "chatStream" ? settings.firstByteTimeoutMs : wholeAnswerMs;
    return { firstByteTimeoutMs: firstByteMs * factor, progressTimeoutMs: settings.progressTimeoutMs * factor };
}
