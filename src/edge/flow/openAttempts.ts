/** The attempts of one request that are open at the same time. */
import { log } from "../../base/log.js";
import type { Attempt } from "./attempt.js";
import type { AttemptHistory } from "./attemptHistory.js";

/** Open attempts of one request: one, or several while those that were sent first are silent. */
export class OpenAttempts {
    readonly #requestId: string;
    readonly #history: AttemptHistory;
    readonly #attempts = new Set<Attempt>();
    #wasRunCancelled = false;

    /** @param history Learns of the attempts that are cancelled. */
    constructor(requestId: string, history: AttemptHistory) {
        this.#requestId = requestId;
        this.#history = history;
    }

    /** @returns Whether {@link cancelAll} has cancelled an attempt whose request was written. */
    get wasRunCancelled(): boolean {
        return this.#wasRunCancelled;
    }

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
     * Cancels and removes all attempts. Output that they generated after the last event received is unknown.
     * @param hasEvents Whether output was relayed to the caller.
     */
    cancelAll(hasEvents: boolean): void {
        for (const { writtenAtMs } of this.#cancel()) {
            if (writtenAtMs !== undefined) {
                this.#wasRunCancelled = true;
                this.#history.recordCancellation(hasEvents);
            }
        }
    }

    /** Cancels and removes the other attempts, as the response of one is relayed. */
    cancelOthers(answered: Attempt): void {
        for (const { input, isSilent, writtenAtMs } of this.#cancel(answered)) {
            if (writtenAtMs !== undefined) {
                this.#history.recordCancelledRun();
            }
            log.info("attempt cancelled: another one was answered", {
                request: this.#requestId,
                upstream: input.upstream.entry.id,
                isSilent,
                answeredBy: answered.input.upstream.entry.id,
            });
        }
    }

    /** @returns The cancelled attempts: all but the one that is kept. */
    #cancel(kept?: Attempt): readonly Attempt[] {
        const cancelled = [...this.#attempts].filter(attempt => attempt !== kept);
        for (const attempt of cancelled) {
            this.#attempts.delete(attempt);
            attempt.cancel();
        }
        return cancelled;
    }
}
