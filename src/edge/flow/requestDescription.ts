/** Fields that log entries about a request share. */
import type { AttemptHistory } from "./attemptHistory.js";
import type { EdgeRequest } from "./flowTypes.js";
import type { ResponseTiming } from "./responseTiming.js";

/**
 * @param eventCount Number of events relayed so far.
 * @param nowMs Monotonic time, in milliseconds.
 * @returns The fields by name.
 */
export function describeRequest(
    { route, team, table, arrivedAtMs }: EdgeRequest,
    history: AttemptHistory,
    timing: ResponseTiming,
    eventCount: number,
    nowMs: number,
): Record<string, unknown> {
    return {
        route: route.name,
        team: team?.name,
        configuration: table.configuration.version,
        upstreams: [...history.triedUpstreamIds].join(","),
        sends: history.sendCount,
        ran: history.ran,
        events: eventCount,
        firstByteMs: timing.firstByteMs,
        longestPauseMs: timing.longestPauseMs,
        elapsedMs: Math.round(nowMs - arrivedAtMs),
    };
}
