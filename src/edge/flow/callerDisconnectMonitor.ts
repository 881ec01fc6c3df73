/** Detects that the caller of a request disconnects. */
import type { IncomingMessage, ServerResponse } from "node:http";

/** Watches the caller's connection until the response is finished. */
export class CallerDisconnectMonitor {
    #hasDisconnected = false;
    #listener: (() => void) | undefined;

    constructor(request: IncomingMessage, response: ServerResponse) {
        const { socket } = request;
        const onClosed = () => {
            removeListeners();
            if (!response.writableFinished) {
                this.#hasDisconnected = true;
                this.#listener?.();
            }
        };
        const removeListeners = () => {
            socket.off("end", onClosed);
            response.off("close", onClosed);
        };
        // The socket's "end" event comes one or two turns of the event loop before the response's "close" event.
        socket.once("end", onClosed);
        response.once("close", onClosed);
        response.once("finish", removeListeners);
    }

    /** @returns Whether the caller closed its connection before it had the whole response. */
    get hasDisconnected(): boolean {
        return this.#hasDisconnected;
    }

    /** @param listener Called once when the caller disconnects; immediately if it has disconnected already. */
    onDisconnect(listener: () => void): void {
        if (this.#hasDisconnected) {
            listener();
            return;
        }
        this.#listener = listener;
    }
}
