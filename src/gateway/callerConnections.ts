/** The callers' connections: the requests that are open on each, and whether it closes after a response. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

interface ConnectionState {
    /** Response to the newest request of the connection. */
    newestResponse: ServerResponse | undefined;
    /** Whether a response announces the close. Later requests on the connection cannot be answered. */
    isClosing: boolean;
    readonly openResponses: Set<ServerResponse>;
}

/**
 * Tracks the requests on each connection. A caller may send further requests before it has received a response
 * (pipelining). Node.js drops their responses without an event when an earlier response closes the connection.
 */
export class CallerConnections {
    readonly #states = new WeakMap<Socket, ConnectionState>();

    /**
     * Adds a request, which is then the newest one of its connection. Its response emits `close` when the connection
     * closes, also while earlier responses are pending.
     * @returns Whether it can be answered. A request behind a response that closes the connection must not run.
     */
    add(incoming: IncomingMessage, outgoing: ServerResponse): boolean {
        const state = this.#getState(incoming.socket);
        if (state.isClosing) {
            return false;
        }
        state.newestResponse = outgoing;
        state.openResponses.add(outgoing);
        outgoing.once("close", () => state.openResponses.delete(outgoing));
        return true;
    }

    /**
     * Announces in the head of a response that the connection closes after it, unless later requests of the connection
     * wait for their responses. Has no effect once the head is written.
     */
    closeAfter(incoming: IncomingMessage, outgoing: ServerResponse): void {
        const state = this.#getState(incoming.socket);
        if (!outgoing.headersSent && state.newestResponse === outgoing) {
            state.isClosing = true;
            outgoing.setHeader("connection", "close");
        }
    }

    #getState(socket: Socket): ConnectionState {
        const known = this.#states.get(socket);
        if (known !== undefined) {
            return known;
        }
        const state: ConnectionState = { newestResponse: undefined, isClosing: false, openResponses: new Set() };
        this.#states.set(socket, state);
        socket.once("close", () => [...state.openResponses].forEach(closeIfWaiting));
        return state;
    }
}

/** Closes a response that waits for earlier responses; Node.js closes the one that has the connection. */
function closeIfWaiting(outgoing: ServerResponse): void {
    if (outgoing.socket === null) {
        outgoing.destroy();
        outgoing.emit("close");
    }
}
