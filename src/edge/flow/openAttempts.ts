/** The attempts of one request that are open at the same time. */
import type { Attempt } from "./attempt.js";

/** Open attempts of one request: one, or several while those that were sent first are silent. */
export class OpenAttempts {
    readonly #attempts = new Set<Attempt>();

    /** @returns Number of open attempts. */
    get count(): number {
        return this.#attempts.size;
    }

    /** @returns Whether no open attempt receives bytes. */
    get areAllSilent(): boolean {
        return [...this.#attempts].every(attempt => attempt.isSilent);
    }

    /** @returns The attempt that has advanced furthest: one with a response, otherwise one that is written. */
    get furthest(): Attempt | undefined {
        const attempts = [...this.#attempts];
        return attempts.find(attempt => attempt.headAtMs !== undefined) ??
            attempts.find(attempt => attempt.writtenAtMs !== undefined) ?? attempts[0];
    }

    /** Adds an attempt that has just been started. */
    add(attempt: Attempt): void {
        this.#attempts.add(attempt);
    }

    /** Removes an attempt that has ended. */
    remove(attempt: Attempt): void {
        this.#attempts.delete(attempt);
    }

    /**
     * Cancels and removes the attempts.
     * @param kept Attempt that continues.
     * @returns The cancelled attempts.
     */
    cancelAll(kept?: Attempt): readonly Attempt[] {
        const cancelled = [...this.#attempts].filter(attempt => attempt !== kept);
        for (const attempt of cancelled) {
            this.#attempts.delete(attempt);
            attempt.cancel();
        }
        return cancelled;
    }
}
