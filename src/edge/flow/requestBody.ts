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
