/** Writes the response to a caller's request to the raw Node.js response object. */
import type { OutgoingHttpHeaders, ServerResponse } from "node:http";
import {
    errorBody,
    type ExecutionState,
    promisesNotRun,
    type ResultCodeName,
    ResultCodes,
} from "../base/resultCodes.js";
import type { StoredResponse } from "../features/idempotency/idempotencyTypes.js";

/** Maximum wait for the error event of an interrupted stream to be flushed before the connection is destroyed. */
const InterruptFlushMs = 1_000;

/** Maximum length of the detail that is appended to an error message, in characters. */
const MaxDetailLength = 300;

/** Content of an error response. */
export interface ErrorResponse {
    readonly code: ResultCodeName;
    /** Whether the request ran; overrides the state that the code implies. */
    readonly ran?: ExecutionState | undefined;
    readonly retryAfterMs?: number | undefined;
    readonly detail?: string | undefined;
}

/** The response to one request. After the caller has disconnected, writes have no effect. */
export class CallerResponse {
    readonly #outgoing: ServerResponse;
    readonly #requestId: string;
    readonly #beforeHead: () => void;

    /** @param beforeHead Called before a head is written; may set headers of the connection. */
    constructor(outgoing: ServerResponse, requestId: string, beforeHead: () => void) {
        this.#outgoing = outgoing;
        this.#requestId = requestId;
        this.#beforeHead = beforeHead;
    }

    /** @returns Whether the caller disconnected before the response was complete. */
    get isCallerDisconnected(): boolean {
        return this.#outgoing.destroyed && !this.#outgoing.writableFinished;
    }

    /** @returns Whether the response head was written. */
    get isHeadWritten(): boolean {
        return this.#outgoing.headersSent;
    }

    /** Registers a callback for a connection that closes before the response is complete. */
    onCallerDisconnect(callback: () => void): void {
        this.#outgoing.once("close", () => {
            if (!this.#outgoing.writableFinished) {
                callback();
            }
        });
    }

    /** Writes the head and adds `X-Request-Id`. */
    writeHead(statusCode: number, headers: OutgoingHttpHeaders): void {
        if (!this.isCallerDisconnected) {
            this.#beforeHead();
            this.#outgoing.writeHead(statusCode, { ...headers, "x-request-id": this.#requestId });
        }
    }

    /**
     * Writes a chunk of the body.
     * @returns Whether more may be written at once; otherwise wait for {@link onDrain}.
     */
    write(bytes: Buffer): boolean {
        return this.isCallerDisconnected || this.#outgoing.write(bytes);
    }

    /** Registers a callback that is called once, when the write buffer is empty again. */
    onDrain(callback: () => void): void {
        this.#outgoing.once("drain", callback);
    }

    /** Destroys the connection. */
    destroy(): void {
        this.#outgoing.destroy();
    }

    /** Ends a complete response. */
    end(): void {
        if (!this.isCallerDisconnected) {
            this.#outgoing.end();
        }
    }

    /** Sends the stored response to an earlier request with the same idempotency key. */
    replay(stored: StoredResponse): void {
        const body = Buffer.from(stored.body);
        this.writeHead(stored.httpStatus, {
            "content-type": stored.contentType,
            "content-length": body.length,
            "idempotent-replay": "true",
        });
        this.write(body);
        this.end();
    }

    /** Sends an error response, unless the head was already written or the caller has disconnected. */
    sendError(failure: ErrorResponse): void {
        if (this.isCallerDisconnected || this.isHeadWritten) {
            return;
        }
        this.#beforeHead();
        writeErrorResponse(this.#outgoing, this.#requestId, withoutFalsePromise(failure));
    }

    /** Sends an error response, or ends a response that has begun like {@link CallerResponse.interrupt}. */
    fail(failure: ErrorResponse, stream: boolean): void {
        if (this.isHeadWritten) {
            this.interrupt(failure, stream);
        }
        else {
            this.sendError(failure);
        }
    }

    /** Ends a response that cannot be completed: sends an error event on a stream, then destroys the connection. */
    interrupt(failure: ErrorResponse, stream: boolean): void {
        if (this.isCallerDisconnected) {
            return;
        }
        if (!stream) {
            this.#outgoing.destroy();
            return;
        }
        const body = buildErrorBody(failure);
        const timer = setTimeout(() => this.#outgoing.destroy(), InterruptFlushMs);
        this.#outgoing.write(`data: ${body}\n\n`, () => {
            clearTimeout(timer);
            this.#outgoing.destroy();
        });
    }
}

/**
 * @returns The failure; `UpstreamFailed` in place of one whose status states that the request has not run, if it may have:
 * callers go by the status and send such a request again.
 */
function withoutFalsePromise(failure: ErrorResponse): ErrorResponse {
    const { httpStatus, message, ran: defaultState } = ResultCodes[failure.code];
    const ran = failure.ran ?? defaultState;
    return promisesNotRun(httpStatus) && ran !== "no" ? { code: "UpstreamFailed", ran, detail: message } : failure;
}

function buildErrorBody(failure: ErrorResponse): string {
    const code = ResultCodes[failure.code];
    const body = errorBody(code, failure.ran ?? code.ran);
    if (failure.detail === undefined) {
        return JSON.stringify(body);
    }
    const message = `${body.error.message}: ${failure.detail.slice(0, MaxDetailLength)}`;
    return JSON.stringify({ error: { ...body.error, message } });
}

/** @returns Value of `Retry-After`: whole seconds, rounded up; at least 1, unless the caller continues at another host. */
function retryAfterSeconds(code: ResultCodeName, retryAfterMs: number): string {
    const minSeconds = code === "ShuttingDown" ? 0 : 1;
    return String(Math.max(minSeconds, Math.ceil(retryAfterMs / 1_000)));
}

/**
 * Writes a complete error response. The head must not have been written.
 * @param beforeEnd Calls back when the response may end, and with it a connection that is closed; by default at once.
 */
export function writeErrorResponse(
    outgoing: ServerResponse,
    requestId: string,
    failure: ErrorResponse,
    beforeEnd: (end: () => void) => void = end => end(),
): void {
    const body = buildErrorBody(failure);
    outgoing.writeHead(ResultCodes[failure.code].httpStatus, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
        "x-request-id": requestId,
        ...(failure.retryAfterMs === undefined ?
            {} :
            { "retry-after": retryAfterSeconds(failure.code, failure.retryAfterMs) }),
    });
    outgoing.write(body);
    beforeEnd(() => outgoing.end());
}
