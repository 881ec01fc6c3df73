/** Stores the bill lines of a sealed incarnation of this process that its sealed record does not contain. */
import type { WriteOutcome } from "../../platform/platformStore.js";
import type { BillLineBuffer } from "./billLineBuffer.js";
import { type BillLine, billSegmentKey, type HostRecord } from "./journalTypes.js";

/** Bill lines that are stored under one key. */
interface Chunk {
    readonly key: string;
    readonly lines: readonly BillLine[];
}

/** Writes the late bill lines of one sealed incarnation in chunks, one at a time. */
export class LateBillWriter {
    readonly hostKey: string;
    readonly billLines: BillLineBuffer;
    readonly sealedRecord: HostRecord;
    #chunks: Chunk[] | undefined;
    #inFlight = false;
    /** Earliest monotonic time of the next write in milliseconds. */
    #notBeforeMs = Number.NEGATIVE_INFINITY;

    /**
     * @param billLines Bill lines of the incarnation.
     * @param sealedRecord The record as it was sealed; its bill lines are durable.
     */
    constructor(hostKey: string, billLines: BillLineBuffer, sealedRecord: HostRecord) {
        this.hostKey = hostKey;
        this.billLines = billLines;
        this.sealedRecord = sealedRecord;
        billLines.markDurable(sealedRecord.bills);
    }

    /** @returns Whether all late lines are stored. */
    get areAllLinesStored(): boolean {
        return this.#chunks?.length === 0;
    }

    /**
     * Writes the next chunk unless a write is in flight or delayed. Must be called only when no request of the incarnation
     * is open, since the first call divides the lines into chunks.
     * @param put Creates the key if it is absent.
     */
    writeNextChunk(linesPerChunk: number, put: (key: string, lines: readonly BillLine[]) => void, nowMs: number): void {
        this.#chunks ??= this.#splitIntoChunks(linesPerChunk);
        const chunk = this.#chunks[0];
        if (chunk !== undefined && !this.#inFlight && nowMs >= this.#notBeforeMs) {
            this.#inFlight = true;
            put(chunk.key, chunk.lines);
        }
    }

    /** Handles the result of a write. Only this process writes these keys, so a conflict shows an earlier successful attempt. */
    handleWriteResult(outcome: WriteOutcome, retryMs: number, nowMs: number): void {
        this.#inFlight = false;
        if (outcome.status === "applied" || outcome.status === "conflict") {
            this.#chunks?.shift();
        }
        else {
            this.#notBeforeMs = nowMs + retryMs;
        }
    }

    #splitIntoChunks(linesPerChunk: number): Chunk[] {
        const lines = this.billLines.getNonDurableLines();
        const chunks: Chunk[] = [];
        let segment = this.billLines.firstUnusedSegment;
        for (let start = 0; start < lines.length; start += linesPerChunk) {
            const isLast = start + linesPerChunk >= lines.length;
            const key = billSegmentKey(this.hostKey, isLast ? "late" : segment++);
            chunks.push({ key, lines: lines.slice(start, start + linesPerChunk) });
        }
        return chunks;
    }
}
