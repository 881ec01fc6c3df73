/** Waiting for the event loop to look at its sockets. */

/**
 * @returns A promise that is settled after the event loop has polled its sockets once more and handled what it found. The first
 * immediate runs before that poll, the second one after it.
 */
export function waitForEventLoopPoll(): Promise<void> {
    return new Promise(resolve => setImmediate(() => setImmediate(resolve)));
}
