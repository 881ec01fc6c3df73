/** Writes the answer of one request to the raw Node response. */
import type { OutgoingHttpHeaders, ServerResponse } from "node:http";
import { errorBody, type ExecutionState, type ResultCodeName, ResultCodes } from "../base/resultCodes.js";

/** Longest wait until the error event of an interrupted answer is flushed, before the connection is destroyed. */
const InterruptFlushMs = 1_000;

/** Longest detail that is appended to an error message. */
const MaxDetailLength = 300;

/** Facts of an error answer. */
export interface ErrorResponse {
    readonly code: ResultCodeName;
    /** Overrides the code's own state. */
    readonly ran?: ExecutionState | undefined;
    readonly retryAfterMs?: number | undefined;
    readonly detail?: string | undefined;
}

/** The answer of one request. */
export class CallerResponse {
    readonly #outgoing: ServerResponse;
    readonly #requestId: string;

    constructor(outgoing: ServerResponse, requestId: string) {
        this.#outgoing = outgoing;
        this.#requestId = requestId;
    }

    /** @returns Whether the caller went away before the answer was complete. */
    get isCallerDisconnected(): boolean {
        return this.#outgoing.destroyed && !this.#outgoing.writableFinished;
    }

    /** @returns Whether the head was written. */
    get isHeadWritten(): boolean {
        return this.#outgoing.headersSent;
    }

    /** Calls back when the connection closes before the answer is complete. */
    onCallerDisconnect(callback: () => void): void {
        this.#outgoing.once("close", () => {
            if (!this.#outgoing.writableFinished) {
                callback();
            }
        });
    }

    /** Writes the head. */
    writeHead(statusCode: number, headers: OutgoingHttpHeaders): void {
        if (!this.isCallerDisconnected) {
            this.#outgoing.writeHead(statusCode, { ...headers, "x-request-id": this.#requestId });
        }
    }

    /**
     * Writes a piece of the body.
     * @returns Whether more may be written at once; otherwise {@link onDrain} tells when.
     */
    write(bytes: Buffer): boolean {
        return this.isCallerDisconnected || this.#outgoing.write(bytes);
    }

    onDrain(callback: () => void): void {
        this.#outgoing.once("drain", callback);
    }

    /** Destroys the connection. */
    destroy(): void {
        this.#outgoing.destroy();
    }

    /** Ends a whole answer. */
    end(): void {
        if (!this.isCallerDisconnected) {
            this.#outgoing.end();
        }
    }

    /** Answers with an error. Ends the connection when the request was not read to its end. */
    sendError(failure: ErrorResponse): void {
        if (this.isCallerDisconnected || this.isHeadWritten) {
            return;
        }
        writeErrorResponse(this.#outgoing, this.#requestId, failure);
    }

    /** Ends an answer that cannot be completed. A stream gets an error event; the connection is destroyed. */
    interrupt(failure: ErrorResponse, stream: boolean): void {
        if (this.isCallerDisconnected) {
            return;
        }
        if (!stream) {
            this.#outgoing.destroy();
            return;
        }
        const body = failureBody(failure);
        const timer = setTimeout(() => this.#outgoing.destroy(), InterruptFlushMs);
        this.#outgoing.write(`data: ${body}\n\n`, () => {
            clearTimeout(timer);
            this.#outgoing.destroy();
        });
    }
}

function failureBody(failure: ErrorResponse): string {
    const code = ResultCodes[failure.code];
    const body = errorBody(code, failure.ran ?? code.ran);
    if (failure.detail === undefined) {
        return JSON.stringify(body);
    }
    const message = `${body.error.message}: ${failure.detail.slice(0, MaxDetailLength)}`;
    return JSON.stringify({ error: { ...body.error, message } });
}

/** @returns Value of `Retry-After`: whole seconds, at least 1. */
export function retryAfterSeconds(retryAfterMs: number): string {
    return String(Math.max(1, Math.ceil(retryAfterMs / 1_000)));
}

/** Writes an error answer. */
export function writeErrorResponse(outgoing: ServerResponse, requestId: string, failure: ErrorResponse): void {
    const body = failureBody(failure);
    outgoing.writeHead(ResultCodes[failure.code].httpStatus, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
        "x-request-id": requestId,
        ...(failure.retryAfterMs === undefined ? {} : { "retry-after": retryAfterSeconds(failure.retryAfterMs) }),
    });
    outgoing.end(body);
}
