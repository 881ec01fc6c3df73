/** Cache of the newest applied changes, for peers that miss them. */
import type { ConfigSettings } from "./configSettings.js";
import type { ReceivedChange } from "./configTypes.js";

/** Maximum total size of the changes in one reply, in bytes of JSON. Stays below the 256 KB limit of a peer message. */
const MaxReplyBytes = 200_000;

/** A change with its size in bytes of JSON. */
interface CachedChange {
    readonly change: ReceivedChange;
    readonly sizeBytes: number;
}

/** Keeps the newest changes, which have consecutive versions, up to the number and total size in the settings. */
export class RecentChangeCache {
    readonly #settings: ConfigSettings;
    readonly #cachedChanges: CachedChange[] = [];
    #totalBytes = 0;

    constructor(settings: ConfigSettings) {
        this.#settings = settings;
    }

    /** @returns Number of cached changes. */
    get length(): number {
        return this.#cachedChanges.length;
    }

    /** Adds the change of the next version and drops the oldest ones beyond the limits. */
    add(change: ReceivedChange): void {
        const sizeBytes = Buffer.byteLength(JSON.stringify(change));
        this.#cachedChanges.push({ change, sizeBytes });
        this.#totalBytes += sizeBytes;
        while (this.#cachedChanges.length > this.#settings.keptChanges || this.#totalBytes > this.#settings.keptBytes) {
            this.#totalBytes -= this.#cachedChanges.shift()!.sizeBytes;
        }
    }

    /** Removes all changes; needed when a snapshot skips versions. */
    clear(): void {
        this.#cachedChanges.length = 0;
        this.#totalBytes = 0;
    }

    /** @returns The changes directly after a version, up to the size limit; empty if the first is not cached or too large. */
    changesAfter(version: number): ReceivedChange[] {
        const first = this.#cachedChanges[0]?.change.version;
        if (first === undefined || version + 1 < first) {
            return [];
        }
        const changes: ReceivedChange[] = [];
        let totalBytes = 0;
        for (const { change, sizeBytes } of this.#cachedChanges.slice(version + 1 - first)) {
            totalBytes += sizeBytes;
            if (totalBytes > MaxReplyBytes) {
                break;
            }
            changes.push(change);
        }
        return changes;
    }
}
