/** The response to one caller: relayed from an upstream, or an error that the edge itself reports. */
import { type ServerResponse, STATUS_CODES } from "node:http";
import {
    errorBody,
    type ExecutionState,
    promisesNotRun,
    type ResultCodeName,
    ResultCodes,
} from "../../base/resultCodes.js";
import type { HeaderCodec } from "../protocolCodec.js";
import type { ResponseHead } from "../transport/responseParser.js";

/** Hop-by-hop headers, which are not relayed. */
const ConnectionHeaders: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

/** Maximum time in which a caller reads what was written of a response that cannot be completed, in milliseconds. */
const AbortFlushMs = 1_000;

/** A refusal or failure as it is reported to the caller. */
export interface EdgeFailure {
    readonly code: ResultCodeName;
    /** Whether the request ran. */
    readonly ran: ExecutionState;
    /** Time after which a retry may succeed, in milliseconds. */
    readonly retryAfterMs?: number | undefined;
}

/** Writes the response; closes the connection when a response cannot be completed. */
export class CallerResponse {
    readonly #response: ServerResponse;
    readonly #codec: HeaderCodec;
    readonly #requestId: string | undefined;
    readonly #onWritten: (bytes: number) => void;
    readonly #onAborted: () => void;
    #isEnded = false;
    #hasLength = false;

    /**
     * @param onWritten Called with the size of each body, or piece of one, that is written, in bytes.
     * @param onAborted Called when the response cannot be completed and the connection is closed.
     */
    constructor(
        response: ServerResponse,
        codec: HeaderCodec,
        requestId: string | undefined,
        onWritten: (bytes: number) => void,
        onAborted: () => void,
    ) {
        this.#response = response;
        this.#onWritten = onWritten;
        this.#onAborted = onAborted;
        this.#codec = codec;
        this.#requestId = requestId;
    }

    /** @returns Whether the head, and perhaps more, may have reached the caller. */
    get isStarted(): boolean {
        return this.#response.headersSent;
    }

    /** @returns Whether the response is finished or aborted. */
    get isEnded(): boolean {
        return this.#isEnded;
    }

    /** Writes the head of an upstream's response, without its hop-by-hop headers and those that are meant for the edge alone. */
    start(head: ResponseHead): void {
        const dropped = droppedHeaders(head);
        const headers: string[] = [];
        for (const [name, value] of head.headers) {
            const key = name.toLowerCase();
            if (!dropped.has(key) && !this.#codec.isForEdgeOnly(key)) {
                headers.push(name, value);
            }
        }
        this.#writeHead(head.statusCode, head.reasonPhrase, headers);
    }

    /**
     * Writes a piece of the body.
     * @returns Whether the caller keeps up; if not, wait for {@link onceDrained} before writing more.
     */
    write(bytes: Buffer): boolean {
        this.#onWritten(bytes.length);
        return this.#response.write(bytes);
    }

    /** Calls back once when the write buffer is empty. */
    onceDrained(resume: () => void): void {
        this.#response.once("drain", resume);
    }

    /** Ends a complete response, optionally with the last bytes of its body. */
    end(bytes?: Buffer): void {
        this.#isEnded = true;
        this.#onWritten(bytes?.length ?? 0);
        this.#response.end(bytes);
    }

    /**
     * Closes the connection, so that the caller cannot take the response for complete. What has been written of it still reaches a caller
     * that reads.
     */
    abort(): void {
        this.#isEnded = true;
        this.#onAborted();
        const { socket } = this.#response;
        if (socket === null || !this.isStarted) {
            this.#response.destroy();
            return;
        }
        if (!this.#hasLength && !this.#response.chunkedEncoding) {
            // Without a length or chunks, which callers that speak HTTP/1.0 do not get, only a reset differs from a complete end.
            socket.resetAndDestroy();
            return;
        }
        const timer = setTimeout(() => this.#response.destroy(), AbortFlushMs);
        socket.once("close", () => clearTimeout(timer));
        socket.destroySoon();
    }

    /** Closes the connection unless the response is finished or aborted. */
    abortUnfinished(): void {
        if (!this.#isEnded) {
            this.abort();
        }
    }

    /**
     * Sends an error that the edge itself reports; aborts the response if it has started already.
     * @param beforeEnd Calls back when the response may end, and with it the connection; by default at once. All bytes of the response
     * are written before that.
     */
    sendError(failure: EdgeFailure, beforeEnd: (end: () => void) => void = end => end()): void {
        if (this.#isEnded) {
            return;
        }
        if (this.isStarted) {
            this.abort();
            return;
        }
        const code = ResultCodes[failure.code];
        const body = Buffer.from(JSON.stringify(errorBody(code, failure.ran)));
        const headers = ["Content-Type", "application/json", "Content-Length", String(body.length)];
        if (this.#requestId !== undefined) {
            headers.push(this.#codec.requestIdHeader, this.#requestId);
        }
        if (failure.retryAfterMs !== undefined) {
            headers.push("Retry-After", (failure.retryAfterMs / 1_000).toFixed(3));
        }
        const status = statusOf(failure);
        // The reason phrase is stated, as the response keeps that of a head that could not be written.
        this.#writeHead(status, STATUS_CODES[status] ?? "", headers);
        this.#isEnded = true;
        this.write(body);
        beforeEnd(() => this.#response.end());
    }

    #writeHead(statusCode: number, reason: string, headers: string[]): void {
        this.#hasLength = headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === "content-length");
        if (reason === "") {
            this.#response.writeHead(statusCode, headers);
        }
        else {
            this.#response.writeHead(statusCode, reason, headers);
        }
    }
}

/** @returns HTTP status of the failure; 502 in place of a status which states that the request did not run, if it may have. */
function statusOf({ code, ran }: EdgeFailure): number {
    const status = ResultCodes[code].httpStatus;
    return promisesNotRun(status) && ran !== "no" ? 502 : status;
}

/** @returns Lower-case names of the headers that are not relayed, with those that the `Connection` header lists. */
function droppedHeaders(head: ResponseHead): ReadonlySet<string> {
    const listedNames = head.headersByName.get("connection")?.toLowerCase().split(",").map(name => name.trim()) ?? [];
    return listedNames.length === 0 ? ConnectionHeaders : new Set([...ConnectionHeaders, ...listedNames]);
}
