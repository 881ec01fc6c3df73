/** A byte buffer that grows as bytes arrive. */

/** Allocation of the first small chunk, in bytes; most bodies in small chunks fit without a second allocation. */
const MinAllocationBytes = 1_024;

/** Allocations double up to this size, in bytes; larger ones grow by less, so that less of the memory is unused. */
const DoublingLimitBytes = 65_536;
const LargeGrowthFactor = 1.5;

/**
 * Collects bytes in one contiguous allocation. Every chunk is copied: a chunk is a view of a whole receive buffer, so that a kept chunk
 * of one byte would retain 64 KB.
 */
export class GrowingBuffer {
    readonly #maxBytes: number;
    #buffer: Buffer | undefined;
    #length = 0;

    /** @param maxBytes Maximum length in bytes; the allocation never exceeds it. */
    constructor(maxBytes: number) {
        this.#maxBytes = maxBytes;
    }

    /** @returns Number of bytes appended so far. */
    get length(): number {
        return this.#length;
    }

    /** @returns Size of the allocation in bytes. */
    get allocatedBytes(): number {
        return this.#buffer?.length ?? 0;
    }

    /** @returns Whether a chunk fits into the maximum length. */
    hasRoomFor(chunkBytes: number): boolean {
        return this.#length + chunkBytes <= this.#maxBytes;
    }

    /**
     * The first allocation has the size of the first chunk, so that a body that arrives at once takes no more than its length; later ones
     * have fixed sizes.
     * @returns Size of the allocation after a chunk has been appended, in bytes.
     */
    allocatedBytesAfter(chunkBytes: number): number {
        const needed = this.#length + chunkBytes;
        if (needed <= this.allocatedBytes) {
            return this.allocatedBytes;
        }
        let size = MinAllocationBytes;
        while (size < needed) {
            size = Math.floor(size * (size < DoublingLimitBytes ? 2 : LargeGrowthFactor));
        }
        const isFirst = this.allocatedBytes === 0;
        return Math.max(needed, isFirst && needed > MinAllocationBytes ? needed : Math.min(size, this.#maxBytes));
    }

    /**
     * Appends a copy of a chunk.
     * @throws RangeError when the maximum length would be exceeded.
     */
    append(chunk: Uint8Array): void {
        if (!this.hasRoomFor(chunk.length)) {
            throw new RangeError(`${this.#length + chunk.length} bytes exceed the maximum of ${this.#maxBytes}`);
        }
        const size = this.allocatedBytesAfter(chunk.length);
        if (this.#buffer === undefined || size > this.#buffer.length) {
            // Not from the shared pool, which a small body would retain as a whole.
            const grown = Buffer.allocUnsafeSlow(size);
            this.#buffer?.copy(grown, 0, 0, this.#length);
            this.#buffer = grown;
        }
        this.#buffer.set(chunk, this.#length);
        this.#length += chunk.length;
    }

    /** @returns The bytes, without a copy; the buffer is empty afterwards. */
    take(): Buffer {
        const bytes = this.#buffer?.subarray(0, this.#length) ?? Buffer.alloc(0);
        this.clear();
        return bytes;
    }

    /** Discards the bytes and their allocation. */
    clear(): void {
        this.#buffer = undefined;
        this.#length = 0;
    }
}
