/** How long bytes that are written now wait for the host's network link, by what was written before. */
import type { Clock } from "../../base/clock.js";

/** Payload of a full TCP segment on Ethernet, and its headers without options, in bytes. */
const SegmentBytes = 1_460;
const SegmentHeaderBytes = 40;

const MsPerS = 1_000;

/**
 * Backlog of the outgoing direction. The kernel takes bytes long before a small link has carried them and does not tell how many
 * still wait, so the host counts what it writes against the link's rate.
 */
export class OutgoingLinkBacklog {
    readonly #bytesPerMs: number;
    readonly #clock: Clock;
    #backlogBytes = 0;
    #countedAtMs = 0;

    /** @param linkBytesPerS Capacity; `undefined` when it is not known, and without a backlog. */
    constructor(linkBytesPerS: number | undefined, clock: Clock) {
        this.#bytesPerMs = (linkBytesPerS ?? Number.POSITIVE_INFINITY) / MsPerS;
        this.#clock = clock;
    }

    /** @returns Time that bytes written now wait, in milliseconds. */
    get backlogMs(): number {
        this.#drain();
        return this.#backlogBytes / this.#bytesPerMs;
    }

    /** Counts bytes that are written to any connection. */
    recordWritten(bytes: number): void {
        this.#drain();
        this.#backlogBytes += bytes + SegmentHeaderBytes * Math.ceil(bytes / SegmentBytes);
    }

    #drain(): void {
        const nowMs = this.#clock.monotonicMs();
        const elapsedMs = nowMs - this.#countedAtMs;
        if (elapsedMs > 0) {
            this.#backlogBytes = Math.max(0, this.#backlogBytes - elapsedMs * this.#bytesPerMs);
            this.#countedAtMs = nowMs;
        }
    }
}
