/**
 * How full the host's network link is, and what follows. Answers the load of a host that the balancer's hash gives far more callers
 * than others: on a small link requests then wait for each other until their deadlines pass, while other hosts are idle.
 */

/** Time over which the rate is taken, in milliseconds: ten large requests at once are a fifth of a small link. */
const RateWindowMs = 1_000;

/**
 * Part of the link from which the host wants no more callers, and below which it takes them again. A link that is overrun takes
 * many seconds to recover, as every caller sends its request again, so there must be room for a team that sends three times as much.
 */
const BusyPart = 0.4;
const CalmPart = 0.2;

/**
 * Time for which the rate must stay below, in milliseconds. The balancer's hash is the same each time: callers that come back are
 * too many again, and a burst must not meet them here.
 */
const CalmAfterMs = 15_000;

/** Part of the link from which a request is refused: it would wait, and another host can serve it at once. */
const FullPart = 0.9;

/**
 * Time from which kept connections end with their next answer, in milliseconds: the balancer takes a host out after two checks
 * a second apart, and would send callers back before that.
 */
const MoveAfterMs = 2_300;

/** Bytes seen up to a time. */
interface Sample {
    readonly atMs: number;
    readonly bytes: number;
}

/** Load of one link by the bytes that callers sent and got. What callers send goes out to upstreams, and answers come in. */
export class LinkLoad {
    readonly #linkBytesPerS: number;
    readonly #samples: Sample[] = [];
    #busySinceMs: number | undefined;
    #calmSinceMs: number | undefined;
    #rateBytesPerS = 0;

    /** @param linkBytesPerS Capacity in each direction; `undefined` when it is not known, and never full. */
    constructor(linkBytesPerS: number | undefined) {
        this.#linkBytesPerS = linkBytesPerS ?? Number.POSITIVE_INFINITY;
    }

    /** @returns Part of the link in use, 0 to 1 and a little more. */
    get usedFraction(): number {
        return this.#rateBytesPerS / this.#linkBytesPerS;
    }

    /** @returns Whether new callers should go to other hosts. */
    get isBusy(): boolean {
        return this.#busySinceMs !== undefined;
    }

    /** @returns Whether a request that arrives now should be refused. */
    get isFull(): boolean {
        return this.usedFraction >= FullPart;
    }

    /** @returns Whether callers should connect anew, as the balancer sends them elsewhere by now. */
    shouldCloseConnections(nowMs: number): boolean {
        return this.#busySinceMs !== undefined && nowMs - this.#busySinceMs >= MoveAfterMs;
    }

    /**
     * Takes over a count.
     * @param bytes Bytes that callers sent and got so far, since the start.
     */
    recordBytes(bytes: number, nowMs: number): void {
        this.#samples.push({ atMs: nowMs, bytes });
        while (this.#samples.length > 2 && nowMs - this.#samples[1]!.atMs >= RateWindowMs) {
            this.#samples.shift();
        }
        const [oldest] = this.#samples;
        const elapsedMs = nowMs - oldest!.atMs;
        this.#rateBytesPerS = elapsedMs > 0 ? (bytes - oldest!.bytes) * 1_000 / Math.max(elapsedMs, RateWindowMs) : 0;
        this.#decide(nowMs);
    }

    #decide(nowMs: number): void {
        if (this.usedFraction >= BusyPart) {
            this.#busySinceMs ??= nowMs;
        }
        if (this.usedFraction > CalmPart) {
            this.#calmSinceMs = undefined;
            return;
        }
        this.#calmSinceMs ??= nowMs;
        if (nowMs - this.#calmSinceMs >= CalmAfterMs) {
            this.#busySinceMs = undefined;
        }
    }
}
