/**
 * Measures the load of the host's network link and decides when to send callers elsewhere. The load balancer's hash can
 * give one host far more callers than others: on a small link requests then wait for each other until their deadlines
 * pass, while other hosts are idle.
 */

/**
 * Time over which the rate is averaged, in milliseconds. Ten large requests at once then count as a fifth of the
 * capacity of a small link.
 */
const RateWindowMs = 1_000;

/**
 * Fraction of the link in use from which the host accepts no more callers, and below which it accepts them again. An
 * overloaded link takes many seconds to recover, as every caller sends its request again, so there must be capacity for
 * a team that sends three times as much.
 */
const BusyFraction = 0.4;
const CalmFraction = 0.2;

/**
 * Time for which the rate must stay below {@link CalmFraction} before callers are accepted again, in milliseconds. The load
 * balancer's hash does not change, so the callers that return are too many again and must not coincide with a burst.
 */
const CalmDurationMs = 15_000;

/** Fraction of the link in use from which requests are refused: they would wait, while another host can serve them at once. */
const FullFraction = 0.9;

/**
 * Time that a link must have been busy before open connections are closed after their next response, in milliseconds. The load
 * balancer removes a host after two checks a second apart, and would send the callers back before that.
 */
const CloseConnectionsAfterMs = 2_300;

/** Total bytes up to a time. */
interface Sample {
    readonly atMs: number;
    readonly bytes: number;
}

/**
 * Load of one link, by the bytes that callers sent and received. Bytes that callers send also go out to upstreams, and response
 * bytes also come in from upstreams.
 */
export class LinkLoad {
    readonly #linkBytesPerS: number;
    readonly #samples: Sample[] = [];
    #busySinceMs: number | undefined;
    #calmSinceMs: number | undefined;
    #rateBytesPerS = 0;

    /**
     * @param linkBytesPerS Capacity in each direction, in bytes per second; `undefined` if unknown, and the link is
     * then never full.
     */
    constructor(linkBytesPerS: number | undefined) {
        this.#linkBytesPerS = linkBytesPerS ?? Number.POSITIVE_INFINITY;
    }

    /** @returns Fraction of the link in use; may slightly exceed 1. */
    get usedFraction(): number {
        return this.#rateBytesPerS / this.#linkBytesPerS;
    }

    /** @returns Whether new callers should go to other hosts. */
    get isBusy(): boolean {
        return this.#busySinceMs !== undefined;
    }

    /** @returns Whether a request that arrives now should be refused. */
    get isFull(): boolean {
        return this.usedFraction >= FullFraction;
    }

    /** @returns Whether callers should reconnect, as the load balancer now sends them to other hosts. */
    shouldCloseConnections(nowMs: number): boolean {
        return this.#busySinceMs !== undefined && nowMs - this.#busySinceMs >= CloseConnectionsAfterMs;
    }

    /**
     * Updates the rate from a byte count.
     * @param bytes Bytes that callers sent and received since the start.
     * @param nowMs Monotonic time, in milliseconds.
     */
    recordBytes(bytes: number, nowMs: number): void {
        this.#samples.push({ atMs: nowMs, bytes });
        while (this.#samples.length > 2 && nowMs - this.#samples[1]!.atMs >= RateWindowMs) {
            this.#samples.shift();
        }
        const [oldest] = this.#samples;
        const elapsedMs = nowMs - oldest!.atMs;
        this.#rateBytesPerS = elapsedMs > 0 ? (bytes - oldest!.bytes) * 1_000 / Math.max(elapsedMs, RateWindowMs) : 0;
        this.#updateBusy(nowMs);
    }

    #updateBusy(nowMs: number): void {
        if (this.usedFraction >= BusyFraction) {
            this.#busySinceMs ??= nowMs;
        }
        if (this.usedFraction > CalmFraction) {
            this.#calmSinceMs = undefined;
            return;
        }
        this.#calmSinceMs ??= nowMs;
        if (nowMs - this.#calmSinceMs >= CalmDurationMs) {
            this.#busySinceMs = undefined;
        }
    }
}
