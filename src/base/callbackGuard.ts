/** Confines errors in callbacks to the request that they belong to. */

/**
 * Runs the callbacks of one request. Sockets, timers and promises call back outside any `try` block, so that an error would end the
 * process, and every request of other callers with it.
 */
export class CallbackGuard {
    readonly #onError: (error: unknown) => void;

    /** @param onError Called with each error; must not throw. */
    constructor(onError: (error: unknown) => void) {
        this.#onError = onError;
    }

    /**
     * Runs a callback.
     * @returns The result of the callback; `undefined` if it threw an error.
     */
    run<Result>(callback: () => Result): Result | undefined {
        try {
            return callback();
        }
        catch (error) {
            this.#onError(error);
            return undefined;
        }
    }

    /** @returns A callback that runs the given one; its result is dropped. */
    wrap<Arguments extends unknown[]>(callback: (...values: Arguments) => unknown): (...values: Arguments) => void {
        return (...values) => void this.run(() => callback(...values));
    }
}

/** Frames of a stack trace that are logged. */
const MaxLoggedFrames = 6;

/** @returns An error with the first frames of its stack trace, for the log. */
export function describeError(error: unknown): string {
    return error instanceof Error ?
        (error.stack ?? error.message).split("\n").slice(0, MaxLoggedFrames + 1).map(line => line.trim()).join(" | ") :
        String(error);
}
