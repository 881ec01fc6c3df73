/** Fields that log entries about a request share. */
import type { AttemptHistory } from "./attemptHistory.js";
import type { EdgeRequest } from "./flowTypes.js";
import type { ResponseTiming } from "./responseTiming.js";

/** State of a request that log entries show. */
export interface RequestState {
    readonly history: AttemptHistory;
    readonly timing: ResponseTiming;
    /** Number of events relayed so far. */
    readonly eventCount: number;
    /** Monotonic time, in milliseconds. */
    readonly nowMs: number;
}

/** @returns The fields by name. */
export function describeRequest(
    { route, team, table, arrivedAtMs }: EdgeRequest,
    { history, timing, eventCount, nowMs }: RequestState,
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
