/** Bodies of callers' requests. */
import type { IncomingMessage } from "node:http";
import { GrowingBuffer } from "../../base/growingBuffer.js";
import type { CallerMemory, MemoryHolder } from "../../scheduling/callerMemory.js";
import { appendCounted, type AppendRefusal } from "../../scheduling/countedBuffer.js";

/** @returns Whether the head of a request announces a body. */
export function hasBody(message: IncomingMessage): boolean {
    return message.headers["transfer-encoding"] !== undefined || Number(message.headers["content-length"] ?? 0) > 0;
}

/** @returns Length that the head of a request announces for its body, in bytes; `undefined` for one in chunks. */
export function announcedLength({ headers }: IncomingMessage): number | undefined {
    const length = headers["content-length"];
    return length === undefined || headers["transfer-encoding"] !== undefined ? undefined : Number(length);
}

/** Why a body is not collected: it exceeds its own limit, or there is no memory for it beside those of other requests. */
export type BodyRefusal = AppendRefusal;

/**
 * Collects a body.
 * @param memory Account of the memory that the body takes.
 * @param holder Holder of that memory; released when the body is not collected, otherwise by the owner of the request.
 * @param done Called once with the body or the reason why it is not collected; never when the caller disconnects first.
 * @returns Discards what has been collected, when the holder has been evicted.
 */
export function collectBody(
    message: IncomingMessage,
    maxBytes: number,
    memory: CallerMemory,
    holder: MemoryHolder,
    done: (body: Buffer | BodyRefusal) => void,
): () => void {
    const buffer = new GrowingBuffer(Math.min(maxBytes, announcedLength(message) ?? maxBytes));
    let refusal: BodyRefusal | undefined;
    message.on("data", (chunk: Buffer) => {
        if (refusal !== undefined || holder.isClosed) {
            return;
        }
        refusal = appendCounted(buffer, chunk, memory, holder);
        if (refusal !== undefined) {
            buffer.clear();
            memory.close(holder);
            done(refusal);
        }
    });
    message.on("end", () => {
        if (refusal === undefined && !holder.isClosed) {
            memory.protect(holder);
            done(buffer.take());
        }
    });
    return () => buffer.clear();
}

/** Maximum time for which the body of a refused request is read, in milliseconds. */
const DiscardTimeMs = 2_000;

/**
 * Reads and discards the rest of a refused request's body.
 * @param done Called once, when the body has been read, its connection is closed, or {@link DiscardTimeMs} have passed. A connection that
 * is closed before that is reset, and the caller may lose the refusal.
 */
export function discardBody(message: IncomingMessage, done: () => void): void {
    message.resume();
    if (!hasBody(message) || message.complete) {
        done();
        return;
    }
    const finish = (): void => {
        clearTimeout(timer);
        message.off("end", finish);
        message.off("close", finish);
        done();
    };
    const timer = setTimeout(finish, DiscardTimeMs);
    message.once("end", finish);
    message.once("close", finish);
}
