/** When a second attempt is worth while. */
import type { UpstreamStatus } from "../features/upstream/upstreamBoard.js";
import type { CallerRequest } from "./gatewayParts.js";
import type { GatewaySettings } from "./gatewaySettings.js";

/**
 * @param status What is known of the upstream that runs the request.
 * @returns Time without a first byte after which a hedge is asked for; 0 never asks.
 */
export function hedgeDelayMs(
    settings: GatewaySettings,
    answerKind: CallerRequest["answerKind"],
    status: UpstreamStatus | undefined,
): number {
    if (answerKind === "chatJson") {
        // The first byte of a whole answer arrives when it is complete, which tells nothing about the upstream.
        return 0;
    }
    const measuredMs = answerKind === "chatStream" ? status?.hedgeAfterMs : undefined;
    return Math.min(settings.hedgeAfterMs, measuredMs ?? settings.hedgeAfterMs);
}
