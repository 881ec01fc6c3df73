/** What a request was doing when its caller left. */
import { EdgeCounterNames } from "../metrics.js";
import type { Attempt } from "./attempt.js";

/** Counter of each stage. `waiting` is before the first send, or between two. */
export const DisconnectCounters = {
    waiting: EdgeCounterNames.callersDisconnectedWaiting,
    connecting: EdgeCounterNames.callersDisconnectedConnecting,
    sent: EdgeCounterNames.callersDisconnectedSent,
    answering: EdgeCounterNames.callersDisconnectedResponding,
} as const;
export type DisconnectStage = keyof typeof DisconnectCounters;

/** Stage of a request at the time of the leave. */
export interface CallerDisconnect {
    readonly stage: DisconnectStage;
    /** Time since the request was written, in milliseconds; `undefined` when no byte was. */
    readonly writtenAgeMs: number | undefined;
}

/**
 * @param attempt The running attempt, if any.
 * @param isAnswering Whether an answer has begun.
 */
export function describeDisconnect(
    attempt: Attempt | undefined,
    isAnswering: boolean,
    nowMs: number,
): CallerDisconnect {
    if (attempt === undefined) {
        return { stage: "waiting", writtenAgeMs: undefined };
    }
    const { writtenAtMs } = attempt;
    if (writtenAtMs === undefined) {
        return { stage: "connecting", writtenAgeMs: undefined };
    }
    return { stage: isAnswering ? "answering" : "sent", writtenAgeMs: Math.round(nowMs - writtenAtMs) };
}
