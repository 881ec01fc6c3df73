/** Time sources. Code whose decisions depend on time reads it only from a {@link Clock}, so that tests can control it. */

/** Source of monotonic and wall-clock time. */
export abstract class Clock {
    /** @returns Monotonic time in milliseconds. It never decreases and cannot be compared between hosts. */
    abstract monotonicMs(): number;
    /** @returns Wall-clock time in milliseconds since the Unix epoch. For display and stored records only. */
    abstract wallMs(): number;
}

/** Clock of the operating system. */
export class SystemClock extends Clock {
    override monotonicMs(): number {
        return performance.now();
    }

    override wallMs(): number {
        return Date.now();
    }
}

/** A clock for tests whose time only changes by {@link ManualClock.advance}. */
export class ManualClock extends Clock {
    #elapsedMs = 0;
    readonly #startWallMs: number;

    /** @param startWallMs Wall-clock time at which the clock starts, in milliseconds since the Unix epoch. */
    constructor(startWallMs = 1_700_000_000_000) {
        super();
        this.#startWallMs = startWallMs;
    }

    override monotonicMs(): number {
        return this.#elapsedMs;
    }

    override wallMs(): number {
        return this.#startWallMs + this.#elapsedMs;
    }

    /**
     * Advances the clock.
     * @param durationMs Time to add, in milliseconds.
     */
    advance(durationMs: number): void {
        this.#elapsedMs += durationMs;
    }
}
