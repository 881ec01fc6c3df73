/** Bill lines of one incarnation, from settlement until they are in a segment. */
import type { BillDraft } from "../budget/budgetTypes.js";
import type { BillLine } from "./journalTypes.js";

/** Lines that the next record holds. */
export interface BillLineSelection {
    readonly lines: readonly BillLine[];
    /** Tokens by budget of settled lines that do not fit; the record's S leaves them out. */
    readonly excludedTokens: ReadonlyMap<string, number>;
}

/** Approximate size of a line as JSON. */
const LineBytes = 280;

/** Lines in order of their sequence, without gaps. */
export class BillLineBuffer {
    readonly #lines: BillLine[] = [];
    #lastSequence = 0;
    #durableSequence = 0;
    #segmentCount = 0;
    #segment: readonly BillLine[] | undefined;

    /** @returns Segments that are certainly stored. */
    get segmentCount(): number {
        return this.#segmentCount;
    }

    /** @returns Number of the first segment that no earlier write can have used. */
    get firstUnusedSegment(): number {
        return this.#segmentCount + (this.#segment === undefined ? 0 : 1);
    }

    /** @returns Lines that are not in a segment. */
    get lineCount(): number {
        return this.#lines.length;
    }

    /** Adds a line. */
    add(draft: BillDraft, atMs: number): void {
        this.#lastSequence++;
        this.#lines.push({ ...draft, sequence: this.#lastSequence, atMs });
    }

    /** @param count Largest number of lines. */
    selectLines(count: number): BillLineSelection {
        const excludedTokens = new Map<string, number>();
        for (const line of this.#lines.slice(count)) {
            excludedTokens.set(line.budget, (excludedTokens.get(line.budget) ?? 0) + line.tokens);
        }
        return { lines: this.#lines.slice(0, count), excludedTokens };
    }

    /** Marks the lines of an acknowledged record as durable. */
    markDurable(lines: readonly BillLine[]): void {
        this.#durableSequence = Math.max(this.#durableSequence, lines.at(-1)?.sequence ?? 0);
    }

    /** @returns Lines that are not durable, for the late settlement. */
    getNonDurableLines(): BillLine[] {
        return this.#lines.filter(line => line.sequence > this.#durableSequence);
    }

    /**
     * Starts a segment when enough durable lines have gathered.
     * @returns The segment's lines; the same until {@link removeStoredSegment} is called.
     */
    getOrOpenSegment(minimumBytes: number): readonly BillLine[] | undefined {
        const durableCount = this.#durableSequence - (this.#lines[0]?.sequence ?? this.#durableSequence + 1) + 1;
        if (this.#segment === undefined && durableCount * LineBytes > minimumBytes) {
            this.#segment = this.#lines.slice(0, durableCount);
        }
        return this.#segment;
    }

    /** Drops the lines of the open segment. */
    removeStoredSegment(): void {
        this.#lines.splice(0, this.#segment?.length ?? 0);
        this.#segment = undefined;
        this.#segmentCount++;
    }
}
