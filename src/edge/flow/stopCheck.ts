/** Checks whether requests can end before the process stops. */
import type { Route } from "../edgeTypes.js";
import type { StopRefusal, StopRequest } from "../stop/stopAdmission.js";
import { isRepeatable } from "./attemptHistory.js";
import { silentAfterMs } from "./attemptInput.js";
import type { EdgeRequest, FlowDependencies } from "./flowTypes.js";

/** The parts of a request that determine how long it may take. */
export type TimedRequest = Pick<EdgeRequest, "route" | "metadata" | "table" | "service" | "deadlineAtMs">;

/** Collaborators that know how long requests may take, and how long the process runs. */
export type StopCheckDependencies = Pick<FlowDependencies, "clock" | "durations" | "stopAdmission">;

/**
 * @param relayedEventCount Number of events of the request's stream that need not be sent any more.
 * @returns Why the request must not be begun or sent now; `undefined` if it may be.
 */
export function findStopRefusal(
    { clock, stopAdmission }: StopCheckDependencies,
    request: TimedRequest,
    relayedEventCount = 0,
): StopRefusal | undefined {
    const timeLimitMs = request.deadlineAtMs - clock.monotonicMs();
    return stopAdmission.findRefusal(describeForStop(request, timeLimitMs, relayedEventCount));
}

/**
 * @param timeLimitMs Time limit of the request from its arrival, in milliseconds.
 * @returns Time that the request is expected to need from its arrival, in milliseconds: an upper estimate, or the time limit.
 */
export function expectedDurationMs(
    { durations }: StopCheckDependencies,
    request: TimedRequest,
    timeLimitMs: number,
): number {
    return Math.min(timeLimitMs, durations.estimateMs(describeForStop(request, timeLimitMs, 0)) ?? timeLimitMs);
}

function describeForStop(
    { route, metadata, table, service }: TimedRequest,
    timeLimitMs: number,
    relayedEventCount: number,
): StopRequest {
    const { tokenCounts } = metadata;
    const tokensPerEvent = table.findService(service)?.engine?.tokensPerEvent ?? 1;
    const isPlain = route.kind !== "streaming" && !route.isGeneration;
    // How long a generation takes depends on its output, whose pace only a stream shows.
    const eventLimit = tokenCounts === undefined || route.kind !== "streaming" ?
        Number.POSITIVE_INFINITY :
        Math.ceil(tokenCounts.maxOutputTokens / tokensPerEvent);
    return {
        kind: kindOfRequest(route, service),
        maxEvents: isPlain ? undefined : Math.max(1, eventLimit - relayedEventCount),
        isRepeatable: isRepeatable(route),
        timeLimitMs,
        // Another upstream gets an idempotent request as well when the first one has been silent for this time.
        maxPauseMs: isPlain ? silentAfterMs(route) : undefined,
    };
}

/** @returns Kind under which the durations of requests are recorded; see {@link ExpectedWork}. */
export function kindOfRequest({ name }: Pick<Route, "name">, service: string): string {
    return `${service} ${name}`;
}
