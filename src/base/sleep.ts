/** Waiting without a decision. */

/** @returns A promise that is settled after a time in milliseconds. */
export function sleep(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}
