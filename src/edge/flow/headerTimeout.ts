/** Time limit for request heads across changes of the configuration. */

/** A limit that was replaced by a lower one. */
interface ReplacedLimit {
    readonly limitMs: number;
    readonly replacedAtMs: number;
}

/**
 * Limit that the server may apply to all heads at once: a lower limit takes effect when every head that began under the higher one has
 * had its time. A higher limit takes effect at once.
 */
export class HeaderTimeout {
    #limitMs: number;
    /** Limits that still apply to some heads, each higher than those behind it, so that there are few. */
    #replaced: ReplacedLimit[] = [];

    constructor(limitMs: number) {
        this.#limitMs = limitMs;
    }

    /** Sets the limit of heads that begin from now on, in milliseconds. */
    set(limitMs: number, nowMs: number): void {
        this.#replaced.push({ limitMs: this.#limitMs, replacedAtMs: nowMs });
        this.#limitMs = limitMs;
        this.#removeExpired(nowMs);
    }

    /** @returns The limit to apply at this time, in milliseconds. */
    effectiveMs(nowMs: number): number {
        this.#removeExpired(nowMs);
        return Math.max(this.#limitMs, ...this.#replaced.map(({ limitMs }) => limitMs));
    }

    #removeExpired(nowMs: number): void {
        this.#replaced = this.#replaced.filter(({ limitMs, replacedAtMs }, index) =>
            limitMs > this.#limitMs && nowMs - replacedAtMs < limitMs &&
            this.#replaced.slice(index + 1).every(later => later.limitMs < limitMs)
        );
    }
}
