/** Reads request bodies with limits on size and time. */
import type { IncomingMessage } from "node:http";

/** Outcome of reading a body. */
export type BodyReadOutcome =
    | { readonly status: "read"; readonly body: Buffer; }
    | { readonly status: "tooLarge"; }
    /** The connection was closed or the body did not arrive in time. */
    | { readonly status: "broken"; };

/**
 * Reads a complete body.
 * @param maxBytes Maximum size; a larger body is refused by its stated length or as soon as it exceeds the limit.
 * @param timeoutMs Maximum time until the end of the body.
 * @returns The outcome. Never rejects.
 */
export function readBody(incoming: IncomingMessage, maxBytes: number, timeoutMs: number): Promise<BodyReadOutcome> {
    if (Number(incoming.headers["content-length"] ?? 0) > maxBytes) {
        return Promise.resolve({ status: "tooLarge" });
    }
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        const timer = setTimeout(() => finish({ status: "broken" }), timeoutMs);
        const finish = (outcome: BodyReadOutcome): void => {
            clearTimeout(timer);
            incoming.removeAllListeners("data");
            resolve(outcome);
        };
        incoming.on("data", (chunk: Buffer) => {
            chunks.push(chunk);
            bytes += chunk.length;
            if (bytes > maxBytes) {
                finish({ status: "tooLarge" });
            }
        });
        incoming.once("end", () => finish({ status: "read", body: Buffer.concat(chunks) }));
        incoming.once("error", () => finish({ status: "broken" }));
        incoming.once("close", () => finish({ status: "broken" }));
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
