/** Keeps a copy of an answer, so that a repeated request with the same key gets it again. */
import { isUtf8 } from "node:buffer";
import { MaxStoredResponseBytes, type StoredResponse } from "../features/idempotency/idempotencyTypes.js";
import type { ResponseHead } from "./attempt.js";

/** Copy of the bytes that were relayed to one caller. */
export class ReplayRecorder {
    /** `undefined` when the answer is not kept or has become too large. */
    #pieces: Buffer[] | undefined;
    #totalBytes = 0;

    /** @param isKept Whether the request has a key, so that its answer may be asked for again. */
    constructor(isKept: boolean) {
        this.#pieces = isKept ? [] : undefined;
    }

    /** Adds bytes of the answer. */
    add(bytes: Buffer): void {
        this.#totalBytes += bytes.length;
        if (this.#totalBytes > MaxStoredResponseBytes) {
            this.#pieces = undefined;
        }
        // A copy: undici hands out views of a buffer that it uses again.
        this.#pieces?.push(Buffer.from(bytes));
    }

    /** @returns The answer, or `undefined` when it is too large or not text. */
    toStoredResponse(head: ResponseHead | undefined): StoredResponse | undefined {
        const body = Buffer.concat(this.#pieces ?? []);
        if (head === undefined || this.#pieces === undefined || !isUtf8(body)) {
            return undefined;
        }
        return {
            httpStatus: head.statusCode,
            contentType: head.headers["content-type"] ?? "application/octet-stream",
            body: body.toString("utf8"),
        };
    }
}
