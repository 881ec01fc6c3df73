/** Times of the response to one request, for its log lines. */
export class ResponseTiming {
    readonly #arrivedAtMs: number;
    #firstByteMs: number | undefined;
    #firstBodyAtMs: number | undefined;
    #lastBodyAtMs: number | undefined;
    #longestPauseMs = 0;

    /** @param arrivedAtMs Monotonic time at which the request arrived, in milliseconds. */
    constructor(arrivedAtMs: number) {
        this.#arrivedAtMs = arrivedAtMs;
    }

    /** @returns Time from the arrival of the request to the first byte of the response, in whole milliseconds. */
    get firstByteMs(): number | undefined {
        return this.#firstByteMs;
    }

    /** @returns Time from the arrival of the request to the first bytes of its stream, in milliseconds. */
    get firstBodyMs(): number | undefined {
        return this.#firstBodyAtMs === undefined ? undefined : this.#firstBodyAtMs - this.#arrivedAtMs;
    }

    /** @returns Time from the arrival of the request to the latest bytes of its stream, in milliseconds. */
    get lastBodyMs(): number | undefined {
        return this.#lastBodyAtMs === undefined ? undefined : this.#lastBodyAtMs - this.#arrivedAtMs;
    }

    /** @returns Longest pause between bytes of a stream, in whole milliseconds. */
    get longestPauseMs(): number {
        return Math.round(this.#longestPauseMs);
    }

    /** Records when the head of the latest response, or of the one that is relayed, arrived. */
    recordHead(headAtMs: number | undefined): void {
        if (headAtMs !== undefined) {
            this.#firstByteMs = Math.round(headAtMs - this.#arrivedAtMs);
        }
    }

    /** Records the arrival of bytes of a stream. */
    recordBody(nowMs: number): void {
        this.#longestPauseMs = Math.max(this.#longestPauseMs, nowMs - (this.#lastBodyAtMs ?? nowMs));
        this.#firstBodyAtMs ??= nowMs;
        this.#lastBodyAtMs = nowMs;
    }
}
