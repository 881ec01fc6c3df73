/** Bounds what the server reads of one connection. */
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
    readonly #requestCount: () => number;
    readonly #deliver: (bytes: Buffer) => void;
    #pending: Buffer | undefined;
    #isHeld = false;
    #isFeeding = false;
    #isYielding = false;

    /**
     * Takes the place of the server's own listener for received bytes.
     * @param socket Connection of an HTTP server, which has handled its `connection` event.
     * @param mayRead Returns whether further requests may begin on the connection.
     * @param requestCount Returns the number of requests that have begun on the connection.
     */
    constructor(socket: Socket, mayRead: () => boolean, requestCount: () => number) {
        this.#socket = socket;
        this.#mayRead = mayRead;
        this.#requestCount = requestCount;
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
                const slice = this.#pending.subarray(0, SliceBytes);
                this.#pending = this.#pending.length > SliceBytes ? this.#pending.subarray(SliceBytes) : undefined;
                const requestCount = this.#requestCount();
                this.#deliver(slice);
                if (this.#requestCount() > requestCount && this.#pending !== undefined) {
                    this.#yield();
                    break;
                }
            }
        }
        finally {
            this.#isFeeding = false;
        }
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
