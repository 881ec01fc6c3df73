/** Classifies disconnects of callers by the stage that the request has reached, for the counters and the log. */
import { EdgeCounterNames } from "../metrics.js";
import type { Attempt } from "./attempt.js";

/** Name of the counter of disconnects in each stage. `waiting` is before the first send, or between two sends. */
export const DisconnectCounters = {
    waiting: EdgeCounterNames.callersDisconnectedWaiting,
    connecting: EdgeCounterNames.callersDisconnectedConnecting,
    sent: EdgeCounterNames.callersDisconnectedSent,
    answering: EdgeCounterNames.callersDisconnectedResponding,
} as const;

/** Stage of a request when its caller disconnects. */
export type DisconnectStage = keyof typeof DisconnectCounters;

/** State of a request when its caller disconnected, as it is logged. */
export interface CallerDisconnect {
    readonly stage: DisconnectStage;
    /** Time since the request was written, in milliseconds; `undefined` when nothing was written. */
    readonly writtenAgeMs: number | undefined;
}

/**
 * Determines the stage of a request whose caller has disconnected.
 * @param attempt The running attempt, if any.
 * @param hasResponseStarted Whether the response from the upstream has begun.
 * @param nowMs Monotonic time, in milliseconds.
 */
export function describeDisconnect(
    attempt: Attempt | undefined,
    hasResponseStarted: boolean,
    nowMs: number,
): CallerDisconnect {
    if (attempt === undefined) {
        return { stage: "waiting", writtenAgeMs: undefined };
    }
    const { writtenAtMs } = attempt;
    if (writtenAtMs === undefined) {
        return { stage: "connecting", writtenAgeMs: undefined };
    }
    return { stage: hasResponseStarted ? "answering" : "sent", writtenAgeMs: Math.round(nowMs - writtenAtMs) };
}
