/** Tracks the newest configuration that this process has received; it never reverts to an older version. */
import type { Clock } from "../base/clock.js";
import { log } from "../base/log.js";
import type { PlatformStore, StoredObject } from "../platform/platformStore.js";
import type { ObjectCodec } from "./protocolCodec.js";
import { RouteTable } from "./routing/routeTable.js";
import { StoreFeed } from "./storeFeed.js";

/**
 * Maximum time since the store last confirmed the configuration, in milliseconds, for it to count as fresh. While it is fresh,
 * unknown paths and keys are refused permanently; otherwise the caller may retry.
 */
const MaxFreshAgeMs = 4_200;

/** Follows the configuration object in the store and holds the version in force. Unreadable versions are logged and ignored. */
export class ConfigurationTracker {
    readonly #codec: ObjectCodec;
    readonly #clock: Clock;
    readonly #feed: StoreFeed;
    readonly #onChange: (table: RouteTable) => void;
    #table: RouteTable | undefined;
    /** The stored object of the configuration in force. */
    #object: StoredObject | undefined;

    /** @param onChange Called after a newer version has come into force. */
    constructor(store: PlatformStore, codec: ObjectCodec, clock: Clock, onChange: (table: RouteTable) => void) {
        this.#codec = codec;
        this.#clock = clock;
        this.#onChange = onChange;
        const prefix = codec.configurationKey.slice(0, codec.configurationKey.indexOf("/") + 1);
        this.#feed = new StoreFeed(store, prefix, clock, {
            onSnapshot: objects => this.#apply(objects),
            onChanges: changes => this.#apply(changes.flatMap(change => change.object ?? [])),
        });
    }

    /** @returns Routes of the configuration in force; `undefined` until the first one has been read. */
    get routeTable(): RouteTable | undefined {
        return this.#table;
    }

    /** @returns Whether the store confirmed the configuration within the last {@link MaxFreshAgeMs}. */
    get isFresh(): boolean {
        return this.#feed.isConnected && this.#clock.monotonicMs() - this.#feed.lastSuccessMs <= MaxFreshAgeMs;
    }

    /** @returns Whether the store is reachable, by the outcome of the last call. */
    get isConnected(): boolean {
        return this.#feed.isConnected;
    }

    /** @returns History of the store that the configuration comes from; see {@link StoreFeed.history}. */
    get storeHistory(): number | undefined {
        return this.#feed.history;
    }

    /** Starts to follow the store. */
    start(): void {
        this.#feed.start();
    }

    /** Stops following the store. */
    stop(): void {
        this.#feed.stop();
    }

    #apply(objects: readonly StoredObject[]): void {
        for (const object of objects) {
            if (object.key === this.#codec.configurationKey) {
                this.#applyObject(object);
            }
        }
    }

    /** A version that was lost with the store's last writes may be written again with another content. */
    #isLater(object: StoredObject, version: number, current: number): boolean {
        return version > current ||
            (version === current && object.revision > (this.#object?.revision ?? 0) &&
                JSON.stringify(object.value) !== JSON.stringify(this.#object?.value));
    }

    #applyObject(object: StoredObject): void {
        const configuration = this.#codec.readConfiguration(object.value);
        const current = this.#table?.configuration.version;
        if (typeof configuration === "string") {
            log.error("configuration not readable", { problem: configuration, revision: object.revision, current });
            return;
        }
        if (current !== undefined && !this.#isLater(object, configuration.version, current)) {
            return;
        }
        this.#object = object;
        this.#table = new RouteTable(configuration);
        log.info("configuration in force", {
            version: configuration.version,
            previous: current,
            revision: object.revision,
            routes: configuration.routes.length,
        });
        this.#onChange(this.#table);
    }
}
