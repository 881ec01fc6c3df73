/** The answer to one caller: relayed from an upstream, or an error of the edge's own. */
import type { ServerResponse } from "node:http";
import { errorBody, type ExecutionState, type ResultCodeName, ResultCodes } from "../../base/resultCodes.js";
import type { ResponseHead } from "../transport/responseParser.js";

/** Headers that concern one connection only. */
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

/** A refusal or failure as the caller gets it. */
export interface EdgeFailure {
    readonly code: ResultCodeName;
    readonly ran: ExecutionState;
    /** Time after which a retry may succeed, in milliseconds. */
    readonly retryAfterMs?: number | undefined;
}

/** Writes the answer; closes the connection when an answer cannot be completed. */
export class CallerResponse {
    readonly #response: ServerResponse;
    readonly #requestIdHeader: string;
    readonly #requestId: string | undefined;
    readonly #onWritten: (bytes: number) => void;
    #isEnded = false;

    /** @param onWritten Called with the bytes of each body, or part of one, that is written. */
    constructor(
        response: ServerResponse,
        requestIdHeader: string,
        requestId: string | undefined,
        onWritten: (bytes: number) => void,
    ) {
        this.#response = response;
        this.#onWritten = onWritten;
        this.#requestIdHeader = requestIdHeader;
        this.#requestId = requestId;
    }

    /** @returns Whether a part of the answer may have reached the caller. */
    get isStarted(): boolean {
        return this.#response.headersSent;
    }

    /** @returns Whether the answer is finished or given up. */
    get isEnded(): boolean {
        return this.#isEnded;
    }

    /** Begins to relay an upstream's answer. */
    start(head: ResponseHead): void {
        const dropped = droppedHeaders(head);
        const headers: string[] = [];
        for (const [name, value] of head.headers) {
            if (!dropped.has(name.toLowerCase())) {
                headers.push(name, value);
            }
        }
        this.#writeHead(head.statusCode, head.reasonPhrase, headers);
    }

    /** @returns Whether the caller keeps up. */
    write(bytes: Buffer): boolean {
        this.#onWritten(bytes.length);
        return this.#response.write(bytes);
    }

    /** Calls back once when the caller has taken what was written. */
    onceDrained(resume: () => void): void {
        this.#response.once("drain", resume);
    }

    /** Ends a complete answer. */
    end(bytes?: Buffer): void {
        this.#isEnded = true;
        this.#onWritten(bytes?.length ?? 0);
        this.#response.end(bytes);
    }

    /** Breaks an answer off, so that it cannot be taken for complete. */
    abort(): void {
        this.#isEnded = true;
        this.#response.destroy();
    }

    /** Answers with an error of the edge's own. */
    sendError(failure: EdgeFailure): void {
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
            headers.push(this.#requestIdHeader, this.#requestId);
        }
        if (failure.retryAfterMs !== undefined) {
            headers.push("Retry-After", (failure.retryAfterMs / 1_000).toFixed(3));
        }
        this.#writeHead(statusOf(failure), "", headers);
        this.end(body);
    }

    #writeHead(statusCode: number, reason: string, headers: string[]): void {
        if (reason === "") {
            this.#response.writeHead(statusCode, headers);
        }
        else {
            this.#response.writeHead(statusCode, reason, headers);
        }
    }
}

/** A status that promises that nothing ran is given only when that is certain. */
function statusOf({ code, ran }: EdgeFailure): number {
    const status = ResultCodes[code].httpStatus;
    const promisesNotRun = status === 503 || status === 429 || status === 408 || status === 421;
    return promisesNotRun && ran !== "no" ? 502 : status;
}

function droppedHeaders(head: ResponseHead): ReadonlySet<string> {
    const named = head.headersByName.get("connection")?.toLowerCase().split(",").map(name => name.trim()) ?? [];
    return named.length === 0 ? ConnectionHeaders : new Set([...ConnectionHeaders, ...named]);
}
