/** Follows the evacuations in the platform's store. */
import type { Clock } from "../../base/clock.js";
import { log } from "../../base/log.js";
import { listObjects } from "../../platform/listObjects.js";
import type { PlatformStore, StoredObject } from "../../platform/platformStore.js";
import type { ObjectCodec } from "../protocolCodec.js";
import { StoreFeed } from "../storeFeed.js";

/** The evacuated zones as of a version of the store. */
export interface StoredEvacuations {
    readonly zones: ReadonlySet<string>;
    readonly version: number;
}

/** An object that requests an evacuation. */
export interface StoredEvacuation {
    readonly zone: string;
    /** Version of the object. */
    readonly version: number;
    readonly status: unknown;
}

/** Reports the complete set with each response of the store. An object that cannot be read costs one warning and is ignored. */
export class EvacuationFeed {
    readonly #store: PlatformStore;
    readonly #codec: ObjectCodec;
    readonly #feed: StoreFeed;
    readonly #zones = new Map<string, StoredEvacuation>();
    /** Keys of objects whose problem was logged. */
    readonly #unreadableKeys = new Set<string>();

    /**
     * @param onConfirmed Called with the set and the time since the store's response, in milliseconds, also when it has not changed.
     */
    constructor(
        store: PlatformStore,
        codec: ObjectCodec,
        clock: Clock,
        onConfirmed: (evacuations: StoredEvacuations, ageMs: number) => void,
    ) {
        this.#store = store;
        this.#codec = codec;
        this.#feed = new StoreFeed(store, codec.evacuationPrefix, clock, {
            onSnapshot: objects => {
                this.#zones.clear();
                const keys = new Set(objects.map(({ key }) => key));
                [...this.#unreadableKeys].filter(key => !keys.has(key)).forEach(key =>
                    this.#unreadableKeys.delete(key)
                );
                this.#readZones(objects).forEach(stored => this.#zones.set(stored.zone, stored));
            },
            onChanges: changes => changes.forEach(({ key, object }) => this.#applyChange(key, object)),
            onConfirmed: (version, ageMs) => onConfirmed({ zones: new Set(this.#zones.keys()), version }, ageMs),
        });
    }

    /** Starts to watch the store. */
    start(): void {
        this.#feed.start();
    }

    /** Stops watching. */
    stop(): void {
        this.#feed.stop();
    }

    /** @returns The object for a zone as the store reported it last. */
    find(zone: string): StoredEvacuation | undefined {
        return this.#zones.get(zone);
    }

    /** @returns The set by a listing that begins now; `undefined` if the store cannot be reached. */
    async list(): Promise<StoredEvacuations | undefined> {
        const listing = await listObjects(this.#store, this.#codec.evacuationPrefix);
        if (listing.status === "unavailable" || listing.revision === undefined) {
            return undefined;
        }
        const zones = new Set(this.#readZones(listing.objects).map(({ zone }) => zone));
        return { zones, version: listing.revision };
    }

    #applyChange(key: string, object: StoredObject | undefined): void {
        if (object === undefined) {
            this.#unreadableKeys.delete(key);
        }
        this.#zones.delete(this.#nameOf(key));
        if (object !== undefined) {
            this.#readZones([object]).forEach(stored => this.#zones.set(stored.zone, stored));
        }
    }

    /** @returns The evacuations that the objects request, without those whose object is being removed. */
    #readZones(objects: readonly StoredObject[]): StoredEvacuation[] {
        return objects.filter(({ isDeleting }) => isDeleting !== true).flatMap(({ key, value, version, status }) => {
            const outcome = this.#codec.readEvacuation(this.#nameOf(key), value);
            if ("problem" in outcome) {
                this.#warnOnce(key, outcome.problem);
                return [];
            }
            this.#unreadableKeys.delete(key);
            return [{ zone: outcome.zone, version, status }];
        });
    }

    #warnOnce(key: string, problem: string): void {
        if (!this.#unreadableKeys.has(key)) {
            this.#unreadableKeys.add(key);
            log.warn("evacuation ignored: the object cannot be read", { key, problem });
        }
    }

    #nameOf(key: string): string {
        return key.slice(this.#codec.evacuationPrefix.length);
    }
}
