/** Growing waits between attempts, with jitter, and waits that end early when a watcher stops. */
import type { Random } from "../base/random.js";

/** Bounds of the waits. */
export interface BackoffBounds {
    readonly minMs: number;
    readonly maxMs: number;
}

/** Waits for a watcher. Jitter keeps the hosts of a fleet from calling the platform in step. */
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

    /** Ends the current wait and all later ones. */
    stop(): void {
        this.#stopped = true;
        this.#cancel();
    }

    /** Records a success. */
    reset(): void {
        this.#failureCount = 0;
    }

    /** Waits after a failure. */
    waitAfterFailure(): Promise<void> {
        const delayMs = Math.min(this.#bounds.maxMs, this.#bounds.minMs * 2 ** Math.min(this.#failureCount, 20));
        this.#failureCount++;
        return this.wait(delayMs);
    }

    /** Waits for half to one and a half times the given time. */
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
