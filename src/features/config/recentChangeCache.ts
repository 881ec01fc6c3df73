/** The newest applied changes, kept for peers that miss them. */
import type { ConfigSettings } from "./configSettings.js";
import type { ReceivedChange } from "./configTypes.js";

/** Largest total of changes in one answer, in bytes of JSON. Leaves room in a peer message of 256 KB. */
const MaxAnswerBytes = 200_000;

interface KeptChange {
    readonly change: ReceivedChange;
    readonly sizeBytes: number;
}

/** A bounded run of consecutive versions. */
export class RecentChangeCache {
    readonly #settings: ConfigSettings;
    readonly #kept: KeptChange[] = [];
    #totalBytes = 0;

    constructor(settings: ConfigSettings) {
        this.#settings = settings;
    }

    /** @returns Number of changes kept. */
    get length(): number {
        return this.#kept.length;
    }

    /** Adds the next version and drops the oldest ones beyond the bounds. */
    add(change: ReceivedChange): void {
        const sizeBytes = Buffer.byteLength(JSON.stringify(change));
        this.#kept.push({ change, sizeBytes });
        this.#totalBytes += sizeBytes;
        while (this.#kept.length > this.#settings.keptChanges || this.#totalBytes > this.#settings.keptBytes) {
            this.#totalBytes -= this.#kept.shift()!.sizeBytes;
        }
    }

    /** Forgets everything; used when versions are skipped. */
    clear(): void {
        this.#kept.length = 0;
        this.#totalBytes = 0;
    }

    /** @returns The versions directly after the given one; empty when the first of them is not kept or too large. */
    changesAfter(version: number): ReceivedChange[] {
        const first = this.#kept[0]?.change.version;
        if (first === undefined || version + 1 < first) {
            return [];
        }
        const changes: ReceivedChange[] = [];
        let totalBytes = 0;
        for (const { change, sizeBytes } of this.#kept.slice(version + 1 - first)) {
            totalBytes += sizeBytes;
            if (totalBytes > MaxAnswerBytes) {
                break;
            }
            changes.push(change);
        }
        return changes;
    }
}
