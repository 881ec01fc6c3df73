/** Applies the upstream entries in the platform's store to the directory of upstreams. */
import type { Clock } from "../../base/clock.js";
import { log } from "../../base/log.js";
import type { PlatformStore, StoredObject } from "../../platform/platformStore.js";
import type { UpstreamEntry } from "../edgeTypes.js";
import type { ObjectCodec } from "../protocolCodec.js";
import type { ColdLimits } from "../rateLimit/coldLimits.js";
import { StoreFeed } from "../storeFeed.js";
import type { UpstreamDirectory } from "./upstreamDirectory.js";

/** Time after a store outage within which running upstreams renew their entries, in milliseconds. */
const OutageGraceMs = 2_000;

/** Watches the entries of upstreams and updates the directory; entries that cannot be read are logged and ignored. */
export class UpstreamFeed {
    readonly #codec: ObjectCodec;
    readonly #clock: Clock;
    readonly #directory: UpstreamDirectory;
    readonly #feed: StoreFeed;
    readonly #cold: ColdLimits | undefined;
    /** Monotonic time at which the entries of a store that came back from a copy were listed, in milliseconds. */
    #restoredAtMs = Number.NEGATIVE_INFINITY;

    /** @param cold Gets the remaining cold time of each entry. */
    constructor(
        store: PlatformStore,
        codec: ObjectCodec,
        clock: Clock,
        directory: UpstreamDirectory,
        cold?: ColdLimits,
    ) {
        this.#cold = cold;
        this.#codec = codec;
        this.#clock = clock;
        this.#directory = directory;
        this.#feed = new StoreFeed(store, codec.upstreamPrefix, clock, {
            onSnapshot: (objects, isNewHistory) => {
                this.#restoredAtMs = isNewHistory ? clock.monotonicMs() : this.#restoredAtMs;
                const entries = objects.flatMap(object => this.#readEntry(object) ?? []);
                cold?.endFirstList();
                // An upstream that was removed after the copy was made may be listed in it.
                const isCurrent = (entry: UpstreamEntry) => !directory.hasEnded(entry.id, entry.startedAtMs);
                directory.replaceAll(isNewHistory ? entries.filter(isCurrent) : entries, this.#lapseGraceMs());
            },
            onChanges: changes => {
                for (const { key, object } of changes) {
                    this.#applyChange(key, object);
                }
            },
        });
    }

    /** @returns Monotonic time of the store's last response, in milliseconds; `-Infinity` before the first. */
    get lastSuccessMs(): number {
        return this.#feed.lastSuccessMs;
    }

    /** Starts to watch the store. */
    start(): void {
        this.#feed.start();
    }

    /** Stops watching; the directory keeps its upstreams. */
    stop(): void {
        this.#feed.stop();
    }

    #applyChange(key: string, object: StoredObject | undefined): void {
        const entry = object === undefined ? undefined : this.#readEntry(object);
        if (entry === undefined) {
            this.#directory.remove(this.#idOf(key), this.#lapseGraceMs());
        }
        else {
            this.#directory.put(entry);
        }
    }

    #readEntry(object: StoredObject): UpstreamEntry | undefined {
        const entry = this.#codec.readUpstream(this.#idOf(object.key), object.value);
        if (typeof entry === "string") {
            log.warn("upstream entry ignored", { key: object.key, revision: object.revision, problem: entry });
            return undefined;
        }
        this.#cold?.recordEntry(entry, object.revision);
        return entry;
    }

    /**
     * @returns Remaining grace period for missing entries, in milliseconds: an entry that is missing shortly after an
     * outage may have lapsed because the store could not renew it, or may be written again as a copy lacks it.
     */
    #lapseGraceMs(): number {
        const sinceOutageMs = this.#clock.monotonicMs() - Math.max(this.#feed.lastFailureMs, this.#restoredAtMs);
        return Math.max(0, OutageGraceMs - sinceOutageMs);
    }

    #idOf(key: string): string {
        return key.slice(this.#codec.upstreamPrefix.length);
    }
}
