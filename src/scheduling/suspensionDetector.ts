/** Detects that the process was suspended, from the clocks alone. */

/**
 * Minimum gap that counts as a suspension, in milliseconds. It is well above the delays of a busy event loop, and well below the time
 * within which an evacuation must be in force.
 */
const MinGapMs = 500;

/**
 * Compares the clocks between two observations. A stopped process sees a gap in the monotonic clock; on a suspended machine that clock
 * stands still and only the wall clock goes on. A step of the wall clock forwards also counts as a suspension.
 */
export class SuspensionDetector {
    #last: { readonly monotonicMs: number; readonly wallMs: number; } | undefined;

    /**
     * Records the time; called with every tick of the process, and before each decision that a suspension affects.
     * @returns Length of the suspension since the last call, in milliseconds; `undefined` if there was none.
     */
    observe(monotonicMs: number, wallMs: number): number | undefined {
        const last = this.#last;
        this.#last = { monotonicMs, wallMs };
        if (last === undefined) {
            return undefined;
        }
        const elapsedMs = monotonicMs - last.monotonicMs;
        const elapsedWallMs = wallMs - last.wallMs;
        if (elapsedMs >= MinGapMs) {
            return elapsedMs;
        }
        return elapsedWallMs - elapsedMs >= MinGapMs ? elapsedWallMs : undefined;
    }
}
