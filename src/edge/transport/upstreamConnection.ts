/** A connection to an upstream, which carries one request at a time. */
import { connect, type Socket } from "node:net";
import { splitAddress } from "../../base/address.js";
import { detectReset, ResetObservationMs } from "../../base/resetDetection.js";
import { type ResponseTimeout, startResponseTimeout } from "../../base/responseTimeout.js";
import { type ResponseHead, ResponseParser } from "./responseParser.js";

/** Why an exchange ended without a complete response. */
export type ExchangeFailure =
    /** The request was not written, so the upstream has read nothing of it. */
    | "notConnected"
    /** The connection broke off after the upstream may have read bytes of the request. */
    | "brokenOff"
    /** The received bytes are not a valid response, or are the response to another request. */
    | "malformed";

/** Receives the events of one exchange; ends with either `onComplete` or `onFailure`. */
export interface ExchangeListener {
    /** @returns Whether the response belongs to the request; if not, it is skipped. */
    isResponseToRequest(head: ResponseHead): boolean;
    /** @returns Whether the request may still be written now that the connection has been opened; without it, it may. */
    mayWrite?(): boolean;
    /** The request was passed to the kernel, or waits in the socket's buffer. */
    onWritten(): void;
    onHead(head: ResponseHead): void;
    onBody(bytes: Buffer): void;
    onComplete(): void;
    onFailure(failure: ExchangeFailure, detail: string): void;
}

/** A serialised request. */
export interface SerialisedRequest {
    readonly method: string;
    /** Request line and headers, with the blank line that ends them. */
    readonly head: string;
    readonly body: Buffer | undefined;
}

/** Maximum number of responses to earlier requests that are skipped on one connection before it is closed. */
const MaxSkippedResponses = 2;

/** Size of skipped responses after which the connection is closed, in bytes; larger than any response to a plain request. */
const MaxSkippedBytes = 262_144;

/** A connection over which requests are sent one after another. It is never used again after a failure or {@link destroy}. */
export class UpstreamConnection {
    readonly #socket: Socket;
    readonly #parser: ResponseParser;
    readonly #onClosed: (connection: UpstreamConnection) => void;
    #listener: ExchangeListener | undefined;
    #openListener: ((failure: string | undefined) => void) | undefined;
    #pendingRequest: SerialisedRequest | undefined;
    #method = "GET";
    #head: ResponseHead | undefined;
    #isSkipping = false;
    #skippedCount = 0;
    #skippedBytes = 0;
    #isConnected = false;
    #isClosed = false;
    #isWritten = false;
    #hasBody = false;
    #resetObservation: ResponseTimeout | undefined;
    /** Monotonic time until which the connection may be reused, in milliseconds. */
    reusableUntilMs = 0;
    /** Monotonic time of the end of the last exchange, in milliseconds. */
    idleSinceMs = 0;

    /**
     * @param address `IP:port` of the upstream.
     * @param connectTimeoutMs Maximum time to open the connection, in milliseconds.
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
        const timer = startResponseTimeout(() => this.#fail("notConnected", "connect timeout"), connectTimeoutMs);
        this.#socket.once("connect", () => {
            timer.cancel();
            this.#isConnected = true;
            this.#reportOpen(undefined);
            // The request is written after the other events of this turn, as one of them may cancel it.
            setImmediate(() => this.#writeAfterOpening());
        });
        this.#socket.on("data", (bytes: Buffer) => this.#onData(bytes));
        this.#socket.on("end", () => this.#onPeerEnd());
        this.#socket.on("error", error => this.#fail(this.#failureKind(), error.message));
        this.#socket.on("close", () => {
            timer.cancel();
            this.#fail(this.#failureKind(), "connection closed");
        });
    }

    /** @returns Whether another request may be sent now. */
    isReusable(nowMs: number): boolean {
        return !this.#isClosed && this.#listener === undefined && nowMs < this.reusableUntilMs;
    }

    /** @returns Whether the connection is closed or broken. */
    get isClosed(): boolean {
        return this.#isClosed;
    }

    /**
     * @param listener Called once: with `undefined` when the connection is open, or with the reason why it could not be
     * opened.
     */
    onceOpen(listener: (failure: string | undefined) => void): void {
        this.#openListener = listener;
    }

    /** Starts an exchange; the connection must be idle. The request is written once the connection is open. */
    send(request: SerialisedRequest, listener: ExchangeListener): void {
        this.#listener = listener;
        this.#pendingRequest = request;
        this.#method = request.method;
        this.#head = undefined;
        this.#isSkipping = false;
        this.#isWritten = false;
        this.#hasBody = request.body !== undefined && request.body.length > 0;
        this.#parser.expectResponse(request.method);
        this.#writePendingRequest();
    }

    /** Stops reading until {@link resume}, so that a slow caller does not cause unbounded buffering. */
    pause(): void {
        this.#socket.pause();
    }

    /** Continues reading. */
    resume(): void {
        this.#socket.resume();
    }

    /**
     * Closes the connection at once; the listener of a running exchange gets no further calls. The connection of a
     * running exchange is reset, because after an orderly close the kernel would still deliver buffered bytes and the
     * upstream would run the request.
     */
    destroy(): void {
        const isRunning = this.#listener !== undefined;
        this.#listener = undefined;
        if (isRunning && this.#isConnected && !this.#isClosed) {
            this.#socket.resetAndDestroy();
        }
        this.#close();
    }

    #writeAfterOpening(): void {
        if (this.#pendingRequest !== undefined && this.#listener?.mayWrite?.() === false) {
            this.#fail("notConnected", "the request may no longer be sent to the upstream");
            return;
        }
        this.#writePendingRequest();
    }

    #writePendingRequest(): void {
        const request = this.#pendingRequest;
        if (!this.#isConnected || request === undefined || this.#isClosed) {
            return;
        }
        this.#pendingRequest = undefined;
        this.#isWritten = true;
        this.#socket.cork();
        this.#socket.write(request.head, "latin1");
        if (request.body !== undefined && request.body.length > 0) {
            this.#socket.write(request.body);
        }
        this.#socket.uncork();
        this.#listener?.onWritten();
    }

    #failureKind(): ExchangeFailure {
        return this.#isWritten ? "brokenOff" : "notConnected";
    }

    #onData(bytes: Buffer): void {
        if (this.#listener === undefined) {
            // Bytes that arrive while no request is open are not a response, so the connection cannot be reused.
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
        this.#isSkipping = this.#listener !== undefined && !this.#listener.isResponseToRequest(head);
        if (this.#isSkipping) {
            this.#skippedCount++;
            if (this.#skippedCount > MaxSkippedResponses || head.isCloseDelimited) {
                this.#fail("malformed", "the response belongs to another request");
            }
            return;
        }
        this.#listener?.onHead(head);
    }

    #onBody(bytes: Buffer): void {
        if (!this.#isSkipping) {
            this.#listener?.onBody(bytes);
            return;
        }
        this.#skippedBytes += bytes.length;
        if (this.#skippedBytes > MaxSkippedBytes) {
            this.#fail("malformed", "the response belongs to another request and is too long");
        }
    }

    #onEnd(): void {
        if (this.#isSkipping) {
            this.#parser.expectResponse(this.#method);
            return;
        }
        const listener = this.#listener;
        this.#listener = undefined;
        const isIdle = this.#head?.isKeepAlive === true && !this.#parser.hasUnparsedBytes &&
            this.#socket.writableLength === 0;
        if (!isIdle) {
            // The connection is also unusable if the response arrived before the whole request was written, or bytes follow it.
            this.#close();
        }
        listener?.onComplete();
    }

    /**
     * Handles the end of the upstream's bytes, which completes a response without a length only if the request was written out before it.
     * The kernel may hold bytes of a body that the upstream never reads, so that the connection of a request with a body is observed for
     * a reset before the response counts as complete.
     */
    #onPeerEnd(): void {
        if (this.#listener === undefined || !this.#parser.isReadingUntilClose) {
            this.#fail(this.#failureKind(), "connection ended early");
            return;
        }
        if (this.#socket.writableLength > 0) {
            this.#fail("brokenOff", "the response ended before the request was written");
            return;
        }
        if (this.#hasBody) {
            this.#resetObservation = startResponseTimeout(() => this.#finishUnlessReset(), ResetObservationMs);
            return;
        }
        this.#finishUnlessReset();
    }

    #finishUnlessReset(): void {
        detectReset(this.#socket, error => {
            if (error === undefined) {
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
        this.#reportOpen(detail);
        listener?.onFailure(failure, detail);
    }

    #reportOpen(failure: string | undefined): void {
        const listener = this.#openListener;
        this.#openListener = undefined;
        listener?.(failure);
    }

    #close(): void {
        if (this.#isClosed) {
            return;
        }
        this.#isClosed = true;
        this.#resetObservation?.cancel();
        this.#socket.destroy();
        this.#onClosed(this);
    }
}
