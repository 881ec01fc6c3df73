/** Holds the newest configuration that this process has seen; it never goes back to an older one. */
import type { Clock } from "../base/clock.js";
import { log } from "../base/log.js";
import type { PlatformStore, StoredObject } from "../platform/platformStore.js";
import type { ObjectCodec } from "./protocolCodec.js";
import { RouteTable } from "./routing/routeTable.js";
import { StoreFeed } from "./storeFeed.js";

/** Age of the last confirmation up to which unknown paths and keys are refused for good, in milliseconds. */
const FreshMs = 4_200;

/** Keeper of the configuration in force. */
export class ConfigurationTracker {
    readonly #codec: ObjectCodec;
    readonly #clock: Clock;
    readonly #feed: StoreFeed;
    readonly #onChange: (table: RouteTable) => void;
    #table: RouteTable | undefined;

    /** @param onChange Called after a newer version came into force. */
    constructor(store: PlatformStore, codec: ObjectCodec, clock: Clock, onChange: (table: RouteTable) => void) {
        this.#codec = codec;
        this.#clock = clock;
        this.#onChange = onChange;
        const kind = codec.configurationKey.slice(0, codec.configurationKey.indexOf("/") + 1);
        this.#feed = new StoreFeed(store, kind, clock, {
            onSnapshot: objects => this.#apply(objects),
            onChanges: changes => this.#apply(changes.flatMap(change => change.object ?? [])),
        });
    }

    /** @returns The configuration in force. */
    get routeTable(): RouteTable | undefined {
        return this.#table;
    }

    /** @returns Whether the store confirmed the configuration a moment ago. */
    get isFresh(): boolean {
        return this.#feed.isConnected && this.#clock.monotonicMs() - this.#feed.lastSuccessMs <= FreshMs;
    }

    /** @returns Whether the store answers. */
    get isConnected(): boolean {
        return this.#feed.isConnected;
    }

    start(): void {
        this.#feed.start();
    }

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

    #applyObject(object: StoredObject): void {
        const configuration = this.#codec.readConfiguration(object.value);
        const current = this.#table?.configuration.version;
        if (typeof configuration === "string") {
            log.error("configuration not readable", { problem: configuration, revision: object.revision, current });
            return;
        }
        if (current !== undefined && configuration.version <= current) {
            return;
        }
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
