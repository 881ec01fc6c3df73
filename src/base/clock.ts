/** Time sources. Decisions take time only from a {@link Clock}, so that tests can control it. */

/** Source of time for decisions. */
export abstract class Clock {
    /** @returns Monotonic time in milliseconds. Never goes backwards; not comparable between hosts. */
    abstract monotonicMs(): number;
    /** @returns Wall-clock time in milliseconds since the Unix epoch. For display and records only. */
    abstract wallMs(): number;
}

/** The clock of the machine. */
export class SystemClock extends Clock {
    override monotonicMs(): number {
        return performance.now();
    }

    override wallMs(): number {
        return Date.now();
    }
}

/** A clock that moves only when it is told to. */
export class ManualClock extends Clock {
    #elapsedMs = 0;
    readonly #startWallMs: number;

    /** @param startWallMs Wall-clock time at which the clock starts, in milliseconds. */
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

    /** @param durationMs Time to add, in milliseconds. */
    advance(durationMs: number): void {
        this.#elapsedMs += durationMs;
    }
}
