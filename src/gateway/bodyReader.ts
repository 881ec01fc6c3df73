/** Reads request bodies with a limit on their size and time. */
import type { IncomingMessage } from "node:http";

/** Outcome of reading a body. */
export type BodyReadOutcome =
    | { readonly status: "read"; readonly body: Buffer; }
    | { readonly status: "tooLarge"; }
    /** The connection broke off or was too slow. */
    | { readonly status: "broken"; };

/**
 * Reads a whole body.
 * @param maxBytes Largest body; a longer one is refused by its stated length or as soon as it exceeds the limit.
 * @param timeoutMs Longest time until the end of the body.
 */
export function readBody(incoming: IncomingMessage, maxBytes: number, timeoutMs: number): Promise<BodyReadOutcome> {
    if (Number(incoming.headers["content-length"] ?? 0) > maxBytes) {
        return Promise.resolve({ status: "tooLarge" });
    }
    return new Promise(resolve => {
        const pieces: Buffer[] = [];
        let bytes = 0;
        const timer = setTimeout(() => finish({ status: "broken" }), timeoutMs);
        const finish = (outcome: BodyReadOutcome): void => {
            clearTimeout(timer);
            incoming.removeAllListeners("data");
            resolve(outcome);
        };
        incoming.on("data", (piece: Buffer) => {
            pieces.push(piece);
            bytes += piece.length;
            if (bytes > maxBytes) {
                finish({ status: "tooLarge" });
            }
        });
        incoming.once("end", () => finish({ status: "read", body: Buffer.concat(pieces) }));
        incoming.once("error", () => finish({ status: "broken" }));
        incoming.once("close", () => finish({ status: "broken" }));
    });
}

/** Longest time for which the rest of a refused body is read and dropped. */
const DiscardTimeMs = 2_000;

/**
 * Drops the rest of a body that is not wanted. Closing the connection at once would reset it, and the caller could
 * lose the answer; an endless body is cut off after a short time.
 */
export function discardRemainingBody(incoming: IncomingMessage): void {
    if (incoming.complete) {
        return;
    }
    incoming.resume();
    const timer = setTimeout(() => incoming.destroy(), DiscardTimeMs);
    timer.unref();
    incoming.once("end", () => clearTimeout(timer));
}
