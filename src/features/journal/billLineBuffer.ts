/** Holds the bill lines of one incarnation from their settlement until they are stored in a segment. */
import type { BillDraft } from "../budget/budgetTypes.js";
import type { BillLine } from "./journalTypes.js";

/** Lines for the next host record. */
export interface BillLineSelection {
    readonly lines: readonly BillLine[];
    /** Tokens by budget of settled lines that do not fit; the settled tokens (S) of the record exclude them. */
    readonly excludedTokens: ReadonlyMap<string, number>;
}

/** Approximate size of a line as JSON, in bytes. */
const LineBytes = 280;

/** Buffer of bill lines in the order of their sequence, without gaps. */
export class BillLineBuffer {
    readonly #lines: BillLine[] = [];
    #lastSequence = 0;
    /** Sequence of the last line that an acknowledged or sealed record contains. */
    #durableSequence = 0;
    #segmentCount = 0;
    #segment: readonly BillLine[] | undefined;

    /** @returns Number of segments that are certainly stored. */
    get segmentCount(): number {
        return this.#segmentCount;
    }

    /** @returns Number of the first segment that no earlier write can have used. */
    get firstUnusedSegment(): number {
        return this.#segmentCount + (this.#segment === undefined ? 0 : 1);
    }

    /** @returns Number of lines that are not in a stored segment. */
    get lineCount(): number {
        return this.#lines.length;
    }

    /**
     * Adds a line with the next sequence.
     * @param atMs Wall-clock time of the settlement in milliseconds.
     */
    add(draft: BillDraft, atMs: number): void {
        this.#lastSequence++;
        this.#lines.push({ ...draft, sequence: this.#lastSequence, atMs });
    }

    /**
     * Selects the oldest lines for the next record.
     * @param count Maximum number of lines.
     */
    selectLines(count: number): BillLineSelection {
        const excludedTokens = new Map<string, number>();
        for (const line of this.#lines.slice(count)) {
            excludedTokens.set(line.budget, (excludedTokens.get(line.budget) ?? 0) + line.tokens);
        }
        return { lines: this.#lines.slice(0, count), excludedTokens };
    }

    /** Marks the lines of an acknowledged or sealed record, and all lines before them, as durable. */
    markDurable(lines: readonly BillLine[]): void {
        this.#durableSequence = Math.max(this.#durableSequence, lines.at(-1)?.sequence ?? 0);
    }

    /** @returns Lines that are not durable and must be stored as late bill lines. */
    getNonDurableLines(): BillLine[] {
        return this.#lines.filter(line => line.sequence > this.#durableSequence);
    }

    /**
     * Opens a segment when the durable lines exceed a size.
     * @param minimumBytes Approximate size in bytes that the durable lines must exceed.
     * @returns The segment's lines; the same until {@link removeStoredSegment} is called.
     */
    getOrOpenSegment(minimumBytes: number): readonly BillLine[] | undefined {
        const durableCount = this.#durableSequence - (this.#lines[0]?.sequence ?? this.#durableSequence + 1) + 1;
        if (this.#segment === undefined && durableCount * LineBytes > minimumBytes) {
            this.#segment = this.#lines.slice(0, durableCount);
        }
        return this.#segment;
    }

    /** Removes the lines of the open segment after it was stored. */
    removeStoredSegment(): void {
        this.#lines.splice(0, this.#segment?.length ?? 0);
        this.#segment = undefined;
        this.#segmentCount++;
    }
}
