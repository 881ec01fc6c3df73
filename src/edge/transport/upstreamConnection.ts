/** One connection to an upstream that carries one request at a time. */
import { connect, type Socket } from "node:net";
import { splitAddress } from "../../base/address.js";
import { type ResponseHead, ResponseParser } from "./responseParser.js";

/** Why an exchange ended without a complete response. */
export type ExchangeFailure =
    /** The connection was never open, so the upstream has read nothing. */
    | "notConnected"
    /** The connection broke off after bytes of the request may have been read. */
    | "brokenOff"
    /** The bytes received are no valid response, or the response to another request. */
    | "malformed";

/** Receives the outcome of one exchange. */
export interface ExchangeListener {
    /** @returns Whether the response belongs to the request; another one is skipped once. */
    isResponseToRequest(head: ResponseHead): boolean;
    /** The request was handed to the kernel, or waits in the socket's buffer. */
    onWritten(): void;
    onHead(head: ResponseHead): void;
    onBody(bytes: Buffer): void;
    onComplete(): void;
    onFailure(failure: ExchangeFailure, detail: string): void;
}

/** A serialised request. */
export interface SerialisedRequest {
    readonly method: string;
    readonly head: string;
    readonly body: Buffer | undefined;
}

/** Responses of earlier requests that are skipped on one connection before it is given up. */
const MaxSkippedResponses = 2;

/** Bytes of skipped responses after which the connection is given up; longer than any answer to a plain request. */
const MaxSkippedBytes = 262_144;

/** An empty line, which a server ignores before a request. */
const ResetProbe = "\r\n";

/** A connection. After a failure or an abort it is never used again. */
export class UpstreamConnection {
    readonly #socket: Socket;
    readonly #parser: ResponseParser;
    readonly #onClosed: (connection: UpstreamConnection) => void;
    #listener: ExchangeListener | undefined;
    #pending: SerialisedRequest | undefined;
    #method = "GET";
    #head: ResponseHead | undefined;
    #skips = false;
    #skipped = 0;
    #skippedBytes = 0;
    #connected = false;
    #closed = false;
    #written = false;
    /** Monotonic time until which the connection may be reused, in milliseconds. */
    reusableUntilMs = 0;
    /** Monotonic time of the end of the last exchange, in milliseconds. */
    idleSinceMs = 0;

    /**
     * @param address `IP:port` of the upstream.
     * @param onClosed Called once when the connection can no longer be used.
     */
    constructor(address: string, connectTimeoutMs: number, onClosed: (connection: UpstreamConnection) => void) {
        this.#onClosed = onClosed;
        this.#parser = new ResponseParser({
            onHead: head => this.#onHead(head),
            onBody: bytes => this.#onBody(bytes),
            onEnd: () => this.#onEnd(),
        });
        this.#socket = connect({ ...splitAddress(address), noDelay: true, allowHalfOpen: true });
        const timer = setTimeout(() => this.#fail("notConnected", "connect timeout"), connectTimeoutMs);
        this.#socket.once("connect", () => {
            clearTimeout(timer);
            this.#connected = true;
            // The request is written after the other events of this turn: one may tell that it is not wanted any more.
            setImmediate(() => this.#flush());
        });
        this.#socket.on("data", (bytes: Buffer) => this.#onData(bytes));
        this.#socket.on("end", () => this.#onPeerEnd());
        this.#socket.on("error", error => this.#fail(this.#failureKind(), error.message));
        this.#socket.on("close", () => {
            clearTimeout(timer);
            this.#fail(this.#failureKind(), "connection closed");
        });
    }

    /** @returns Whether another request may be sent now. */
    isReusable(nowMs: number): boolean {
        return !this.#closed && this.#listener === undefined && nowMs < this.reusableUntilMs;
    }

    /** @returns Whether the connection is closed or broken. */
    get isClosed(): boolean {
        return this.#closed;
    }

    /** Starts an exchange; the connection must be idle. */
    send(request: SerialisedRequest, listener: ExchangeListener): void {
        this.#listener = listener;
        this.#pending = request;
        this.#method = request.method;
        this.#head = undefined;
        this.#skips = false;
        this.#written = false;
        this.#parser.expectResponse(request.method);
        this.#flush();
    }

    /** Stops reading until {@link resume}, so that a slow caller does not fill the memory. */
    pause(): void {
        this.#socket.pause();
    }

    /** Continues reading. */
    resume(): void {
        this.#socket.resume();
    }

    /**
     * Closes the connection at once; a running exchange gets no further call. Its connection is reset: after an orderly close the
     * kernel would still deliver what waits in the socket, and the upstream would run it.
     */
    destroy(): void {
        const isRunning = this.#listener !== undefined;
        this.#listener = undefined;
        if (isRunning && this.#connected && !this.#closed) {
            this.#socket.resetAndDestroy();
        }
        this.#close();
    }

    #flush(): void {
        const request = this.#pending;
        if (!this.#connected || request === undefined || this.#closed) {
            return;
        }
        this.#pending = undefined;
        this.#written = true;
        this.#socket.cork();
        this.#socket.write(request.head, "latin1");
        if (request.body !== undefined && request.body.length > 0) {
            this.#socket.write(request.body);
        }
        this.#socket.uncork();
        this.#listener?.onWritten();
    }

    #failureKind(): ExchangeFailure {
        return this.#written ? "brokenOff" : "notConnected";
    }

    #onData(bytes: Buffer): void {
        if (this.#listener === undefined) {
            // Bytes that no request waits for belong to no request.
            this.#close();
            return;
        }
        try {
            this.#parser.push(bytes);
        }
        catch (error) {
            this.#fail("malformed", (error as Error).message);
        }
    }

    #onHead(head: ResponseHead): void {
        this.#head = head;
        this.#skips = this.#listener !== undefined && !this.#listener.isResponseToRequest(head);
        if (this.#skips) {
            this.#skipped++;
            if (this.#skipped > MaxSkippedResponses || head.isCloseDelimited) {
                this.#fail("malformed", "the response belongs to another request");
            }
            return;
        }
        this.#listener?.onHead(head);
    }

    #onBody(bytes: Buffer): void {
        if (!this.#skips) {
            this.#listener?.onBody(bytes);
            return;
        }
        this.#skippedBytes += bytes.length;
        if (this.#skippedBytes > MaxSkippedBytes) {
            this.#fail("malformed", "the response belongs to another request and is too long");
        }
    }

    #onEnd(): void {
        if (this.#skips) {
            this.#parser.expectResponse(this.#method);
            return;
        }
        const listener = this.#listener;
        this.#listener = undefined;
        const isIdle = this.#head?.isKeepAlive === true && !this.#parser.hasUnparsedBytes &&
            this.#socket.writableLength === 0;
        if (!isIdle) {
            // A response that precedes the end of a long body leaves the connection out of step.
            this.#close();
        }
        listener?.onComplete();
    }

    /**
     * A reset that arrives together with data is reported as an orderly end (libuv treats a hang-up after a partial read
     * as the end of the file). Only a write tells them apart: it fails on a connection that was reset.
     */
    #onPeerEnd(): void {
        if (this.#listener === undefined || !this.#parser.isReadingUntilClose) {
            this.#fail(this.#failureKind(), "connection ended early");
            return;
        }
        this.#socket.write(ResetProbe, error => {
            if (error === null || error === undefined) {
                this.#parser.finish();
                this.#close();
            }
            else {
                this.#fail("brokenOff", `connection reset: ${error.message}`);
            }
        });
    }

    #fail(failure: ExchangeFailure, detail: string): void {
        const listener = this.#listener;
        this.#listener = undefined;
        this.#close();
        listener?.onFailure(failure, detail);
    }

    #close(): void {
        if (this.#closed) {
            return;
        }
        this.#closed = true;
        this.#socket.destroy();
        this.#onClosed(this);
    }
}
