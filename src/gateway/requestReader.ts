/** Passes the bytes of a connection to the HTTP server of Node.js in small parts, so that reading can stop between two requests. */
import type { Socket } from "node:net";

/**
 * Bytes that are parsed at once. The server would parse 64 KB, which may be thousands of requests, and keeps the responses to all of
 * them as long as one of the connection runs, even after its close.
 */
const PartBytes = 2_048;

/**
 * Reads one connection. The server resumes a socket whenever a request or response ends, so that pausing the socket alone has no
 * effect.
 */
export class RequestReader {
    readonly #socket: Socket;
    readonly #resume: () => Socket;
    readonly #parse: (bytes: Buffer) => void;
    #unparsed: Buffer = Buffer.alloc(0);
    #isPaused = false;
    #isParsing = false;

    /** @param socket Connection that the server has just accepted; its only listener for data is the parser. */
    constructor(socket: Socket) {
        this.#socket = socket;
        this.#resume = socket.resume.bind(socket);
        const [parse] = socket.listeners("data") as ((bytes: Buffer) => void)[];
        if (parse === undefined) {
            throw new Error("the HTTP server does not read the connection");
        }
        this.#parse = parse;
        socket.resume = () => this.#continue();
        // A call of `resume` before the pause takes effect after it; the server stops reading on this event.
        socket.on("resume", () => this.#isStopped && socket.emit("pause"));
        socket.off("data", parse);
        socket.on("data", (bytes: Buffer) => {
            this.#unparsed = this.#unparsed.length === 0 ? bytes : Buffer.concat([this.#unparsed, bytes]);
            this.#parseParts();
        });
    }

    /** Sets whether reading stops; it continues when it is no longer paused. */
    setPaused(isPaused: boolean): void {
        if (isPaused === this.#isPaused) {
            return;
        }
        this.#isPaused = isPaused;
        if (isPaused) {
            this.#socket.pause();
        }
        else {
            this.#continue();
        }
    }

    /** @returns Whether nothing may be parsed: reading is paused, or the server has paused its parser until responses are sent. */
    get #isStopped(): boolean {
        return this.#isPaused || (this.#socket as Socket & { readonly _paused?: boolean; })._paused === true;
    }

    #continue(): Socket {
        if (this.#isStopped) {
            return this.#socket;
        }
        if (this.#unparsed.length > 0) {
            if (!this.#isParsing) {
                process.nextTick(() => this.#parseParts());
            }
            return this.#socket;
        }
        return this.#resume();
    }

    #parseParts(): void {
        if (this.#isParsing) {
            return;
        }
        this.#isParsing = true;
        while (this.#unparsed.length > 0 && !this.#isStopped && !this.#socket.destroyed) {
            const part = this.#unparsed.subarray(0, PartBytes);
            this.#unparsed = this.#unparsed.subarray(part.length);
            this.#parse.call(this.#socket, part);
        }
        this.#isParsing = false;
        if (this.#socket.destroyed) {
            this.#unparsed = Buffer.alloc(0);
        }
        else if (this.#unparsed.length > 0) {
            this.#socket.pause();
        }
        else {
            this.#continue();
        }
    }
}
