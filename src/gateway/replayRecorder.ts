/** Records a response, so that a repeated request with the same idempotency key gets the same response. */
import { isUtf8 } from "node:buffer";
import { MaxStoredResponseBytes, type StoredResponse } from "../features/idempotency/idempotencyTypes.js";
import type { ResponseHead } from "./attempt.js";

/**
 * Copies the bytes that are relayed to one caller. Recording stops when the response exceeds
 * {@link MaxStoredResponseBytes}.
 */
export class ReplayRecorder {
    /** `undefined` when the response is not recorded or has become too large. */
    #chunks: Buffer[] | undefined;
    #totalBytes = 0;

    /** @param shouldRecord Whether the request has an idempotency key, so that its response may be requested again. */
    constructor(shouldRecord: boolean) {
        this.#chunks = shouldRecord ? [] : undefined;
    }

    /** Adds bytes of the response body. */
    add(bytes: Buffer): void {
        this.#totalBytes += bytes.length;
        if (this.#totalBytes > MaxStoredResponseBytes) {
            this.#chunks = undefined;
        }
        // Copied, because undici passes views of a buffer that it reuses.
        this.#chunks?.push(Buffer.from(bytes));
    }

    /** @returns The recorded response, or `undefined` when it was not recorded, is too large or is not valid UTF-8. */
    toStoredResponse(head: ResponseHead | undefined): StoredResponse | undefined {
        const body = Buffer.concat(this.#chunks ?? []);
        if (head === undefined || this.#chunks === undefined || !isUtf8(body)) {
            return undefined;
        }
        return {
            httpStatus: head.statusCode,
            contentType: head.headers["content-type"] ?? "application/octet-stream",
            body: body.toString("utf8"),
        };
    }
}
