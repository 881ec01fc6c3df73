/** Waiting until the event loop has polled its sockets. */

/**
 * Waits until the event loop has polled its sockets once more and handled the events found. The first immediate runs
 * before that poll, the second one after it.
 */
export function waitForEventLoopPoll(): Promise<void> {
    return new Promise(resolve => setImmediate(() => setImmediate(resolve)));
}
