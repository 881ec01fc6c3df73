/** Keeps the directory of upstreams in step with the entries in the platform's store. */
import type { Clock } from "../../base/clock.js";
import { log } from "../../base/log.js";
import type { PlatformStore, StoredObject } from "../../platform/platformStore.js";
import type { UpstreamEntry } from "../edgeTypes.js";
import type { ObjectCodec } from "../protocolCodec.js";
import { StoreFeed } from "../storeFeed.js";
import type { UpstreamDirectory } from "./upstreamDirectory.js";

/** Time after an outage of the store in which entries of living upstreams come back, in milliseconds. */
const ReturnMs = 2_000;

/** Follows the entries of upstreams. */
export class UpstreamFeed {
    readonly #codec: ObjectCodec;
    readonly #clock: Clock;
    readonly #directory: UpstreamDirectory;
    readonly #feed: StoreFeed;

    constructor(store: PlatformStore, codec: ObjectCodec, clock: Clock, directory: UpstreamDirectory) {
        this.#codec = codec;
        this.#clock = clock;
        this.#directory = directory;
        this.#feed = new StoreFeed(store, codec.upstreamPrefix, clock, {
            onSnapshot: objects => {
                directory.replaceAll(objects.flatMap(object => this.#read(object) ?? []), this.#lapseGraceMs());
            },
            onChanges: changes => {
                for (const { key, object } of changes) {
                    this.#change(key, object);
                }
            },
        });
    }

    start(): void {
        this.#feed.start();
    }

    stop(): void {
        this.#feed.stop();
    }

    #change(key: string, object: StoredObject | undefined): void {
        const entry = object === undefined ? undefined : this.#read(object);
        if (entry === undefined) {
            this.#directory.remove(this.#idOf(key), this.#lapseGraceMs());
        }
        else {
            this.#directory.put(entry);
        }
    }

    #read(object: StoredObject): UpstreamEntry | undefined {
        const entry = this.#codec.readUpstream(this.#idOf(object.key), object.value);
        if (typeof entry === "string") {
            log.warn("upstream entry ignored", { key: object.key, revision: object.revision, problem: entry });
            return undefined;
        }
        return entry;
    }

    /** An entry that is missing shortly after an outage may have lapsed while the store could not renew it. */
    #lapseGraceMs(): number {
        const sinceFailureMs = this.#clock.monotonicMs() - this.#feed.lastFailureMs;
        return Math.max(0, ReturnMs - sinceFailureMs);
    }

    #idOf(key: string): string {
        return key.slice(this.#codec.upstreamPrefix.length);
    }
}
