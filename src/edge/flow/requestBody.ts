/** Bodies of callers' requests. */
import type { IncomingMessage } from "node:http";

/** @returns Whether the head of a request announces a body. */
export function hasBody(message: IncomingMessage): boolean {
    return message.headers["transfer-encoding"] !== undefined || Number(message.headers["content-length"] ?? 0) > 0;
}

/** Collects a body; reports `undefined` when it exceeds the limit, and nothing when the caller disconnects first. */
export function collectBody(
    message: IncomingMessage,
    maxBytes: number,
    done: (body: Buffer | undefined) => void,
): void {
    const chunks: Buffer[] = [];
    let size = 0;
    message.on("data", (chunk: Buffer) => {
        size += chunk.length;
        if (size <= maxBytes) {
            chunks.push(chunk);
        }
        else if (size - chunk.length <= maxBytes) {
            done(undefined);
        }
    });
    message.on("end", () => {
        if (size <= maxBytes) {
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
