/** Tells whether the caller of a request is still there. */
import type { IncomingMessage, ServerResponse } from "node:http";

/** Watches the caller's connection until the answer is finished. */
export class CallerDisconnectMonitor {
    #isGone = false;
    #onGone: (() => void) | undefined;

    constructor(request: IncomingMessage, response: ServerResponse) {
        const { socket } = request;
        const leave = () => {
            release();
            if (!response.writableFinished) {
                this.#isGone = true;
                this.#onGone?.();
            }
        };
        const release = () => {
            socket.off("end", leave);
            response.off("close", leave);
        };
        // The end of the caller's bytes comes a turn or two of the event loop before the close of the connection.
        socket.once("end", leave);
        response.once("close", leave);
        response.once("finish", release);
    }

    /** @returns Whether the caller closed its connection before it had the whole answer. */
    get hasDisconnected(): boolean {
        return this.#isGone;
    }

    /** @param onGone Called once when the caller leaves; at once if it has left. */
    onDisconnect(onGone: () => void): void {
        if (this.#isGone) {
            onGone();
            return;
        }
        this.#onGone = onGone;
    }
}
