/** Exponential backoff with jitter, whose waits end early when a watcher stops. */
import type { Random } from "../base/random.js";

/** Minimum and maximum wait after a failure, before jitter, in milliseconds. */
export interface BackoffBounds {
    readonly minMs: number;
    readonly maxMs: number;
}

/**
 * Times the calls of a watcher. The wait doubles with each consecutive failure. Jitter keeps the hosts of a fleet from
 * calling the platform at the same time.
 */
export class Backoff {
    readonly #bounds: BackoffBounds;
    readonly #random: Random;
    #failureCount = 0;
    #cancel: () => void = () => undefined;
    #stopped = false;

    constructor(bounds: BackoffBounds, random: Random) {
        this.#bounds = bounds;
        this.#random = random;
    }

    /** @returns Whether the watcher has been stopped. */
    get isStopped(): boolean {
        return this.#stopped;
    }

    /** Ends the current wait; later waits end at once. */
    stop(): void {
        this.#stopped = true;
        this.#cancel();
    }

    /** Records a success: the next wait after a failure is the minimum again. */
    reset(): void {
        this.#failureCount = 0;
    }

    /** Records a failure and waits, longer after each consecutive failure. */
    waitAfterFailure(): Promise<void> {
        const delayMs = Math.min(this.#bounds.maxMs, this.#bounds.minMs * 2 ** Math.min(this.#failureCount, 20));
        this.#failureCount++;
        return this.wait(delayMs);
    }

    /** Waits for a random time between 0.5 and 1.5 times the given time, in milliseconds. */
    wait(delayMs: number): Promise<void> {
        return new Promise(resolve => {
            if (this.#stopped) {
                resolve();
                return;
            }
            const timer = setTimeout(resolve, delayMs * (0.5 + this.#random.next()));
            timer.unref();
            this.#cancel = () => {
                clearTimeout(timer);
                resolve();
            };
        });
    }
}
