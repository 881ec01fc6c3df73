/** Collects bytes in memory that an account counts. */
import type { GrowingBuffer } from "../base/growingBuffer.js";
import type { CallerMemory, MemoryHolder } from "./callerMemory.js";

/** Why a chunk is not appended: it exceeds the maximum length, or its holder is the one to refuse. */
export type AppendRefusal = "tooLarge" | "noMemory";

/** Whether the old allocation is counted beside the new one while a buffer grows. */
export type GrowthCount = "newOnly" | "both";

/**
 * Appends a chunk to a buffer, whose allocation is taken from the account before it grows.
 * @returns Why the chunk was not appended; `undefined` if it was.
 */
export function appendCounted(
    buffer: GrowingBuffer,
    chunk: Uint8Array,
    memory: CallerMemory,
    holder: MemoryHolder,
    growthCount: GrowthCount = "newOnly",
): AppendRefusal | undefined {
    if (!buffer.hasRoomFor(chunk.length)) {
        return "tooLarge";
    }
    const { allocatedBytes } = buffer;
    const addedBytes = buffer.allocatedBytesAfter(chunk.length) - allocatedBytes;
    const replacedBytes = addedBytes > 0 && growthCount === "both" ? allocatedBytes : 0;
    if (addedBytes > 0 && !memory.tryTake(holder, addedBytes + replacedBytes)) {
        return "noMemory";
    }
    buffer.append(chunk);
    memory.release(holder, replacedBytes);
    memory.recordProgress(holder);
    return undefined;
}
