/** Decides when a second, parallel attempt (a hedge) is worthwhile. */
import type { RoutePlan } from "../routing/routePlan.js";
import type { CallerRequest, GatewayDependencies } from "./gatewayTypes.js";

/**
 * @param upstream Name of the upstream that runs the request.
 * @returns Time without a first byte after which a hedge is requested, in milliseconds; 0 if it must not be hedged.
 */
export function getHedgeDelayMs(
    { settings, kernel }: Pick<GatewayDependencies, "settings" | "kernel">,
    { responseKind }: Pick<CallerRequest, "responseKind">,
    plan: RoutePlan,
    upstream: string,
): number {
    if (!plan.repeatable || responseKind === "chatJson") {
        // A response that is not streamed arrives only when it is complete, so a late first byte says nothing about the upstream.
        return 0;
    }
    const status = responseKind === "chatStream" ? kernel.board.upstream.statuses.get(upstream) : undefined;
    return Math.min(settings.hedgeAfterMs, status?.hedgeAfterMs ?? settings.hedgeAfterMs);
}
