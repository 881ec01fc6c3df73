/** An immutable map whose modified copies share most of their memory with the original. */
import { hash32 } from "./hashing.js";

/** Number of buckets. An edit copies the bucket table and one bucket; with 41,000 entries, a bucket holds 160. */
const BucketCount = 256;

type Bucket<V> = ReadonlyMap<string, V>;

const EmptyBucket: Bucket<never> = new Map<string, never>();

/** An immutable map from names to values; iterates in the order of buckets, not of insertion. */
export class PersistentMap<V> implements ReadonlyMap<string, V> {
    readonly #buckets: readonly Bucket<V>[];
    readonly size: number;

    private constructor(buckets: readonly Bucket<V>[], size: number) {
        this.#buckets = buckets;
        this.size = size;
    }

    /** @returns A map without entries. */
    static empty<V>(): PersistentMap<V> {
        return new PersistentMap<V>(Array.from({ length: BucketCount }, () => EmptyBucket), 0);
    }

    /**
     * Applies edits to a copy.
     * @param edits New values by name; `undefined` removes the name.
     * @returns A map with the edits applied; this map is not changed.
     */
    with(edits: ReadonlyMap<string, V | undefined>): PersistentMap<V> {
        const buckets = [...this.#buckets];
        const copiedBuckets = new Map<number, Map<string, V>>();
        let size = this.size;
        for (const [name, value] of edits) {
            const index = bucketIndex(name);
            const bucket = copiedBuckets.get(index) ?? new Map(buckets[index]);
            copiedBuckets.set(index, bucket);
            buckets[index] = bucket;
            size -= bucket.size;
            if (value === undefined) {
                bucket.delete(name);
            }
            else {
                bucket.set(name, value);
            }
            size += bucket.size;
        }
        return new PersistentMap(buckets, size);
    }

    get(name: string): V | undefined {
        return this.#buckets[bucketIndex(name)]!.get(name);
    }

    has(name: string): boolean {
        return this.#buckets[bucketIndex(name)]!.has(name);
    }

    forEach(visit: (value: V, name: string, map: ReadonlyMap<string, V>) => void): void {
        for (const [name, value] of this) {
            visit(value, name, this);
        }
    }

    *entries(): Generator<[string, V], undefined, unknown> {
        for (const bucket of this.#buckets) {
            yield* bucket;
        }
        return undefined;
    }

    *keys(): Generator<string, undefined, unknown> {
        for (const bucket of this.#buckets) {
            yield* bucket.keys();
        }
        return undefined;
    }

    *values(): Generator<V, undefined, unknown> {
        for (const bucket of this.#buckets) {
            yield* bucket.values();
        }
        return undefined;
    }

    [Symbol.iterator](): Generator<[string, V], undefined, unknown> {
        return this.entries();
    }

    /** @returns The entries as an object, for the state dump. */
    toJSON(): Record<string, V> {
        return Object.fromEntries(this);
    }
}

function bucketIndex(name: string): number {
    return hash32(name) % BucketCount;
}
