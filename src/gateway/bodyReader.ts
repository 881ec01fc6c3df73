/** Reads request bodies with limits on size, time and memory. */
import type { IncomingMessage } from "node:http";
import { GrowingBuffer } from "../base/growingBuffer.js";
import type { CallerMemory, MemoryHolder } from "../scheduling/callerMemory.js";
import { appendCounted } from "../scheduling/countedBuffer.js";

/** Heap that a request occupies from its begin to the end of its response, besides its body, in bytes. */
const RequestBytes = 10_240;

/** Outcome of reading a body. */
export type BodyReadOutcome =
    /** The memory of the request is held until its holder is closed. */
    | { readonly status: "read"; readonly body: Buffer; readonly holder: MemoryHolder; }
    | { readonly status: "tooLarge"; }
    /** Callers hold too much memory, and this request is the one to refuse. */
    | { readonly status: "noMemory"; }
    /** Parsing takes too long beside other requests. */
    | { readonly status: "noProcessorTime"; }
    /** The connection was closed or the body did not arrive in time. */
    | { readonly status: "broken"; };

/** Limits of a body. */
export interface BodyLimits {
    /** Maximum size in bytes; a larger body is refused by its stated length or as soon as it exceeds the limit. */
    readonly maxBytes: number;
    /** Maximum time until the end of the body, in milliseconds. */
    readonly timeoutMs: number;
    readonly memory: CallerMemory;
    /** Registers a callback that ends the reading when parsing the body takes too long beside other requests. */
    onEvict(evict: () => void): void;
}

/**
 * Reads a complete body.
 * @returns The outcome. Never rejects.
 */
export function readBody(incoming: IncomingMessage, limits: BodyLimits): Promise<BodyReadOutcome> {
    const { maxBytes, timeoutMs, memory } = limits;
    if (Number(incoming.headers["content-length"] ?? 0) > maxBytes) {
        return Promise.resolve({ status: "tooLarge" });
    }
    return new Promise(resolve => {
        const buffer = new GrowingBuffer(maxBytes);
        const finish = (outcome: BodyReadOutcome): void => {
            clearTimeout(timer);
            incoming.removeAllListeners("data");
            if (outcome.status !== "read") {
                memory.close(holder);
                buffer.clear();
            }
            resolve(outcome);
        };
        const timer = setTimeout(() => finish({ status: "broken" }), timeoutMs);
        const holder = memory.open(() => finish({ status: "noMemory" }));
        limits.onEvict(() => finish({ status: "noProcessorTime" }));
        if (!memory.tryTake(holder, RequestBytes)) {
            finish({ status: "noMemory" });
            return;
        }
        incoming.on("data", (chunk: Buffer) => {
            const refusal = appendCounted(buffer, chunk, memory, holder, "both");
            if (refusal !== undefined) {
                finish({ status: refusal });
            }
        });
        incoming.once("end", () => {
            if (!holder.isClosed) {
                memory.protect(holder);
                finish({ status: "read", body: buffer.take(), holder });
            }
        });
        const finishBroken = (): void => {
            if (!incoming.readableEnded) {
                finish({ status: "broken" });
            }
        };
        incoming.once("error", finishBroken);
        incoming.once("close", finishBroken);
    });
}

/** Maximum time for which the remainder of a refused body is read and discarded. */
const DiscardTimeMs = 2_000;

/**
 * Reads and discards the remainder of the body of a refused request. Closing the connection at once would reset it, and
 * the caller could lose the response.
 * @param done Called once when the body has been read, its connection is closed, or {@link DiscardTimeMs} have passed.
 */
export function discardRemainingBody(incoming: IncomingMessage, done: () => void): void {
    if (incoming.complete) {
        done();
        return;
    }
    const finish = (): void => {
        clearTimeout(timer);
        incoming.off("end", finish);
        incoming.off("close", finish);
        done();
    };
    const timer = setTimeout(finish, DiscardTimeMs);
    timer.unref();
    incoming.once("end", finish);
    incoming.once("close", finish);
    incoming.resume();
}
