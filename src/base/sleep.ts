/** Waiting for a fixed time. */

/** @returns A promise that resolves after `durationMs` milliseconds. */
export function sleep(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}
