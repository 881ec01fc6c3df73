/** Timeouts for data that arrives over sockets. */
import { waitForEventLoopPoll } from "./eventLoopPoll.js";

/** A running timeout; see {@link startResponseTimeout}. */
export interface ResponseTimeout {
    /** Prevents the callback; no effect once it has run. */
    cancel(): void;
}

/**
 * Calls back after a time, unless cancelled. When the process was paused or its event loop is behind, timers that are due run before
 * the sockets are read, so that data which arrived in time would count as missing. The callback therefore runs after one more poll of
 * the sockets, whose events may cancel it.
 * @param delayMs Time in milliseconds.
 */
export function startResponseTimeout(callback: () => void, delayMs: number): ResponseTimeout {
    let isCancelled = false;
    const timer = setTimeout(() => {
        void waitForEventLoopPoll().then(() => {
            if (!isCancelled) {
                callback();
            }
        });
    }, delayMs);
    return {
        cancel: () => {
            isCancelled = true;
            clearTimeout(timer);
        },
    };
}
