/** Estimates how long bytes that are written now wait for the host's network link. */
import type { Clock } from "../../base/clock.js";

/** Payload of a full TCP segment on Ethernet, and the size of its headers without options, in bytes. */
const SegmentBytes = 1_460;
const SegmentHeaderBytes = 40;

const MsPerS = 1_000;

/**
 * Estimated backlog in the outgoing direction. The kernel accepts bytes long before a small link has transmitted them
 * and does not report how many are waiting, so the host compares the bytes that it writes with the capacity of the
 * link.
 */
export class OutgoingLinkBacklog {
    readonly #bytesPerMs: number;
    readonly #clock: Clock;
    #backlogBytes = 0;
    #drainedAtMs = 0;

    /** @param linkBytesPerS Capacity in bytes per second; `undefined` if unknown, and there is then never a backlog. */
    constructor(linkBytesPerS: number | undefined, clock: Clock) {
        this.#bytesPerMs = (linkBytesPerS ?? Number.POSITIVE_INFINITY) / MsPerS;
        this.#clock = clock;
    }

    /** @returns Time for which bytes written now would wait, in milliseconds. */
    get backlogMs(): number {
        this.#drain();
        return this.#backlogBytes / this.#bytesPerMs;
    }

    /** Records bytes that are written to any connection; adds the size of the TCP headers. */
    recordWritten(bytes: number): void {
        this.#drain();
        this.#backlogBytes += bytes + SegmentHeaderBytes * Math.ceil(bytes / SegmentBytes);
    }

    #drain(): void {
        const nowMs = this.#clock.monotonicMs();
        const elapsedMs = nowMs - this.#drainedAtMs;
        if (elapsedMs > 0) {
            this.#backlogBytes = Math.max(0, this.#backlogBytes - elapsedMs * this.#bytesPerMs);
            this.#drainedAtMs = nowMs;
        }
    }
}
