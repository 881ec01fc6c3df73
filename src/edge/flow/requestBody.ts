/** Bodies of callers' requests. */
import type { IncomingMessage } from "node:http";
import type { BodyShare } from "./bodyMemory.js";

/** @returns Whether the head of a request announces a body. */
export function hasBody(message: IncomingMessage): boolean {
    return message.headers["transfer-encoding"] !== undefined || Number(message.headers["content-length"] ?? 0) > 0;
}

/** Why a body is not collected: it exceeds its own limit, or there is no memory for it beside those of other requests. */
export type BodyRefusal = "tooLarge" | "noMemory";

/**
 * Collects a body.
 * @param share Memory that the body takes; released when it is not collected, otherwise by the owner of the request.
 * @param done Called once with the body or the reason why it is not collected; never when the caller disconnects first.
 */
export function collectBody(
    message: IncomingMessage,
    maxBytes: number,
    share: BodyShare,
    done: (body: Buffer | BodyRefusal) => void,
): void {
    const chunks: Buffer[] = [];
    let size = 0;
    let refusal: BodyRefusal | undefined;
    message.on("data", (chunk: Buffer) => {
        if (refusal !== undefined) {
            return;
        }
        size += chunk.length;
        refusal = size > maxBytes ? "tooLarge" : share.tryAdd(chunk.length) ? undefined : "noMemory";
        if (refusal === undefined) {
            chunks.push(chunk);
            return;
        }
        chunks.length = 0;
        share.release();
        done(refusal);
    });
    message.on("end", () => {
        if (refusal === undefined) {
            done(Buffer.concat(chunks));
        }
    });
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
