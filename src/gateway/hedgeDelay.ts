/** When a second attempt is worth while. */
import type { RoutePlan } from "../routing/routePlan.js";
import type { CallerRequest, GatewayDependencies } from "./gatewayTypes.js";

/**
 * @param upstream Name of the upstream that runs the request.
 * @returns Time without a first byte after which a hedge is asked for; 0 never asks.
 */
export function hedgeDelayMs(
    { settings, kernel }: Pick<GatewayDependencies, "settings" | "kernel">,
    { responseKind }: Pick<CallerRequest, "responseKind">,
    plan: RoutePlan,
    upstream: string,
): number {
    if (!plan.repeatable || responseKind === "chatJson") {
        // The first byte of a whole answer arrives when it is complete, which tells nothing about the upstream.
        return 0;
    }
    const status = responseKind === "chatStream" ? kernel.board.upstream.statuses.get(upstream) : undefined;
    return Math.min(settings.hedgeAfterMs, status?.hedgeAfterMs ?? settings.hedgeAfterMs);
}
