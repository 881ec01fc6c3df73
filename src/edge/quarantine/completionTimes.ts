/** Remembers when answers with a prompt part were last completed. */

/** Number of parts in each of the two generations; together they cover the parts of some minutes. */
const GenerationParts = 1_024;

/** Times of the last completed answer by part. A full generation replaces the older one, so memory is bounded. */
export class CompletionTimes {
    #current = new Map<string, number>();
    #previous = new Map<string, number>();

    /** Records a completed answer with the part. */
    record(partId: string, nowMs: number): void {
        this.#current.set(partId, nowMs);
        if (this.#current.size >= GenerationParts) {
            this.#previous = this.#current;
            this.#current = new Map();
        }
    }

    /** @returns Time of the last completed answer with the part, if it is remembered. */
    lastCompletedAtMs(partId: string): number | undefined {
        return this.#current.get(partId) ?? this.#previous.get(partId);
    }
}
