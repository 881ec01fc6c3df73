/** Settles a sealed incarnation of this process: stores the bill lines that its record does not hold. */
import type { WriteOutcome } from "../../platform/platformStore.js";
import type { BillLineBuffer } from "./billLineBuffer.js";
import { type BillLine, billSegmentKey, type HostRecord } from "./journalTypes.js";

interface Chunk {
    readonly key: string;
    readonly lines: readonly BillLine[];
}

/** Late bill lines of one incarnation. */
export class LateBillWriter {
    readonly hostKey: string;
    readonly billLines: BillLineBuffer;
    readonly sealedRecord: HostRecord;
    #chunks: Chunk[] | undefined;
    #inFlight = false;
    #notBeforeMs = Number.NEGATIVE_INFINITY;

    /** @param sealedRecord The record as it was sealed. */
    constructor(hostKey: string, book: BillLineBuffer, sealedRecord: HostRecord) {
        this.hostKey = hostKey;
        this.billLines = book;
        this.sealedRecord = sealedRecord;
        book.markDurable(sealedRecord.bills);
    }

    /** @returns Whether all lines are stored. */
    get areAllLinesStored(): boolean {
        return this.#chunks?.length === 0;
    }

    /**
     * Writes the next chunk. Called only when no request of the incarnation is open.
     * @param put Creates a key if it is absent.
     */
    writeNextChunk(linesPerChunk: number, put: (key: string, lines: readonly BillLine[]) => void, nowMs: number): void {
        this.#chunks ??= this.#split(linesPerChunk);
        const chunk = this.#chunks[0];
        if (chunk !== undefined && !this.#inFlight && nowMs >= this.#notBeforeMs) {
            this.#inFlight = true;
            put(chunk.key, chunk.lines);
        }
    }

    /** Handles the result of a write. Only this process writes these keys, so a conflict shows an earlier attempt. */
    handleWriteResult(outcome: WriteOutcome, retryMs: number, nowMs: number): void {
        this.#inFlight = false;
        if (outcome.status === "applied" || outcome.status === "conflict") {
            this.#chunks?.shift();
        }
        else {
            this.#notBeforeMs = nowMs + retryMs;
        }
    }

    #split(linesPerChunk: number): Chunk[] {
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
