/** Bounds what the server reads of one connection. */
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { ParseAccount } from "./parseAccount.js";

/**
 * Maximum bytes that the parser gets at once. It reports every request in them before the connection can be paused; a receive buffer of
 * 64 KB holds up to 2,500 small requests, or 10,900 chunks of one byte.
 */
const SliceBytes = 2_048;

/** What a {@link SocketReader} knows of its connection, and tells about it. */
export interface SocketReaderOptions {
    /** Account of the time for parsing. Its owner calls {@link SocketReader.takeTurn} when the connection may parse. */
    readonly account: ParseAccount;
    /** Maximum bytes in a row that belong to no request: line ends, or a head that is not complete. More than the largest head. */
    readonly maxStrayBytes: number;
    /** @returns Whether further requests may begin on the connection. */
    mayRead(): boolean;
    /** @returns The request that began last on the connection. */
    latestRequest(): IncomingMessage | undefined;
    /** Called when the connection has exceeded {@link SocketReaderOptions.maxStrayBytes}; may be called again. */
    onStrayBytes(): void;
}

/**
 * Passes the received bytes of a connection to the HTTP parser in slices, as long as more requests may begin and the time for parsing
 * lasts. The connection is paused until all bytes that were received have been passed on, so that it holds one receive buffer at most.
 */
export class SocketReader {
    readonly #socket: Socket;
    readonly #options: SocketReaderOptions;
    /** At least the bytes that are missing of the body of the latest request, if its length is announced; at most one slice more. */
    #missingBodyBytes = 0;
    #strayBytes = 0;
    readonly #deliver: (bytes: Buffer) => void;
    #pending: Buffer | undefined;
    /** Why the connection is paused, unless the server itself has paused it. */
    #hold: "turn" | "requests" | undefined;
    #isFeeding = false;

    /**
     * Takes the place of the server's own listener for received bytes.
     * @param socket Connection of an HTTP server, which has handled its `connection` event.
     */
    constructor(socket: Socket, options: SocketReaderOptions) {
        this.#socket = socket;
        this.#options = options;
        const [listener] = socket.listeners("data") as ((bytes: Buffer) => void)[];
        this.#deliver = bytes => listener?.call(socket, bytes);
        socket.once("close", () => this.#options.account.close());
        if (listener !== undefined) {
            socket.off("data", listener);
            socket.on("data", (bytes: Buffer) => this.#onData(bytes));
            socket.on("resume", () => this.#onResume());
        }
    }

    /** @returns Bytes that were received and not yet passed to the parser. */
    get pendingBytes(): number {
        return this.#pending === undefined ? 0 : this.#pending.length + this.#socket.readableLength;
    }

    /** Continues to read if further requests may begin now. */
    check(): void {
        if (this.#hold === "requests" && this.#options.mayRead()) {
            this.takeTurn();
        }
    }

    /** Continues to read; parses before the next tick of the process, unless the server itself has paused the connection. */
    takeTurn(): void {
        this.#hold = undefined;
        this.#socket.resume();
    }

    #onData(bytes: Buffer): void {
        this.#pending = this.#pending === undefined ? bytes : Buffer.concat([this.#pending, bytes]);
        this.#feed();
    }

    /** The server resumes a connection whenever a message is read, and one that it has paused when its responses have been read. */
    #onResume(): void {
        if (this.#hold === undefined) {
            this.#feed();
        }
        else {
            this.#socket.pause();
        }
    }

    #feed(): void {
        if (this.#isFeeding) {
            return;
        }
        const { account, mayRead } = this.#options;
        this.#isFeeding = true;
        try {
            while (!this.#socket.destroyed && !this.#socket.isPaused()) {
                if (!mayRead()) {
                    this.#pause("requests");
                }
                else if (this.#pending === undefined) {
                    break;
                }
                else if (account.mayParse) {
                    this.#deliverSlice(this.#pending);
                }
                else {
                    this.#pause("turn");
                    account.waitForTurn();
                }
            }
        }
        finally {
            this.#isFeeding = false;
        }
    }

    #deliverSlice(pending: Buffer): void {
        // No request can begin in the rest of a body.
        const sliceBytes = Math.max(SliceBytes, this.#missingBodyBytes);
        const slice = pending.subarray(0, sliceBytes);
        this.#pending = pending.length > sliceBytes ? pending.subarray(sliceBytes) : undefined;
        const { account, latestRequest } = this.#options;
        const before = latestRequest();
        const wasComplete = before?.complete !== false;
        account.measureParsing(slice.length, () => this.#deliver(slice));
        const latest = latestRequest();
        if (latest === before) {
            this.#missingBodyBytes = Math.max(0, this.#missingBodyBytes - slice.length);
        }
        else {
            this.#missingBodyBytes = latest?.complete === false ? Number(latest.headers["content-length"] ?? 0) : 0;
        }
        if (latest === before && wasComplete) {
            this.#strayBytes += slice.length;
            if (this.#strayBytes > this.#options.maxStrayBytes) {
                this.#options.onStrayBytes();
            }
            return;
        }
        this.#strayBytes = 0;
        if (latest?.complete === true) {
            account.recordRequest();
        }
    }

    #pause(reason: "turn" | "requests"): void {
        this.#hold = reason;
        this.#socket.pause();
    }
}
