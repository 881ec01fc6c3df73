/** Bounds what the server reads of one connection. */
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/**
 * Maximum bytes that the parser gets at once. It reports every request in them before the connection can be paused; a receive buffer of
 * 64 KB holds up to 2,500 small requests.
 */
const SliceBytes = 2_048;

/**
 * Passes the received bytes of a connection to the HTTP parser in slices, as long as more requests may begin. After a slice with requests,
 * other connections have their turn: 40 connections with small requests that are refused at once occupied the event loop for seconds.
 */
export class SocketReader {
    readonly #socket: Socket;
    readonly #mayRead: () => boolean;
    readonly #latestRequest: () => IncomingMessage | undefined;
    /** At least the bytes that are missing of the body of the latest request, if its length is announced; at most one slice more. */
    #missingBodyBytes = 0;
    readonly #deliver: (bytes: Buffer) => void;
    #pending: Buffer | undefined;
    #isHeld = false;
    #isFeeding = false;
    #isYielding = false;

    /**
     * Takes the place of the server's own listener for received bytes.
     * @param socket Connection of an HTTP server, which has handled its `connection` event.
     * @param mayRead Returns whether further requests may begin on the connection.
     * @param latestRequest Returns the request that began last on the connection.
     */
    constructor(socket: Socket, mayRead: () => boolean, latestRequest: () => IncomingMessage | undefined) {
        this.#socket = socket;
        this.#mayRead = mayRead;
        this.#latestRequest = latestRequest;
        const [listener] = socket.listeners("data") as ((bytes: Buffer) => void)[];
        this.#deliver = bytes => listener?.call(socket, bytes);
        if (listener !== undefined) {
            socket.off("data", listener);
            socket.on("data", (bytes: Buffer) => this.#onData(bytes));
            // The server itself pauses a connection whose responses are not read.
            socket.on("resume", () => this.#feed());
        }
    }

    /** @returns Bytes that were received and not yet passed to the parser. */
    get pendingBytes(): number {
        return this.#pending?.length ?? 0;
    }

    /** Continues to read if further requests may begin now. */
    check(): void {
        if (this.#isHeld && !this.#isYielding && this.#mayRead()) {
            this.#isHeld = false;
            this.#socket.resume();
        }
    }

    #onData(bytes: Buffer): void {
        this.#pending = this.#pending === undefined ? bytes : Buffer.concat([this.#pending, bytes]);
        this.#feed();
    }

    #feed(): void {
        if (this.#isFeeding || this.#isYielding) {
            return;
        }
        this.#isFeeding = true;
        try {
            while (!this.#socket.destroyed && !this.#socket.isPaused()) {
                if (!this.#mayRead()) {
                    this.#hold();
                    break;
                }
                if (this.#pending === undefined) {
                    break;
                }
                const hasBegun = this.#deliverSlice(this.#pending);
                if (hasBegun && this.#pending !== undefined && this.#latestRequest()?.complete === true) {
                    this.#yield();
                    break;
                }
            }
        }
        finally {
            this.#isFeeding = false;
        }
    }

    /** @returns Whether a request has begun in the slice. */
    #deliverSlice(pending: Buffer): boolean {
        // No request can begin in the rest of a body.
        const sliceBytes = Math.max(SliceBytes, this.#missingBodyBytes);
        const slice = pending.subarray(0, sliceBytes);
        this.#pending = pending.length > sliceBytes ? pending.subarray(sliceBytes) : undefined;
        const before = this.#latestRequest();
        this.#deliver(slice);
        const latest = this.#latestRequest();
        if (latest === before) {
            this.#missingBodyBytes = Math.max(0, this.#missingBodyBytes - slice.length);
            return false;
        }
        this.#missingBodyBytes = latest?.complete === false ? Number(latest.headers["content-length"] ?? 0) : 0;
        return true;
    }

    #yield(): void {
        this.#isYielding = true;
        setImmediate(() => {
            this.#isYielding = false;
            this.#feed();
            this.check();
        });
        // Not if the server has paused the connection itself; it resumes it later.
        if (!this.#socket.isPaused()) {
            this.#hold();
        }
    }

    #hold(): void {
        this.#isHeld = true;
        this.#socket.pause();
    }
}
