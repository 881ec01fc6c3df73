/** Outcomes of requests. */
import { EdgeCounterNames } from "../metrics.js";

/** Counter of each outcome of a request; the keys are logged. */
export const OutcomeCounters = {
    complete: EdgeCounterNames.requestsComplete,
    upstreamFailure: EdgeCounterNames.requestsUpstreamFailure,
    callerGone: EdgeCounterNames.requestsCallerDisconnected,
    failed: EdgeCounterNames.requestsFailed,
} as const;
export type RequestOutcome = keyof typeof OutcomeCounters;
