/** Counts the bytes that this process sends and receives over its sockets. */
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";

/** Diagnostics channels on which Node.js announces new sockets. */
const SocketChannels = ["net.client.socket", "net.server.socket"] as const;

/** Received and sent bytes. */
export interface ByteTotals {
    readonly receivedBytes: number;
    readonly sentBytes: number;
}

/** Counts the payload bytes of all TCP sockets that are opened after its construction. */
export class NetworkByteCounter {
    readonly #openSockets = new Set<Socket>();
    readonly #isCounted: (socket: Socket) => boolean;
    #closedReceivedBytes = 0;
    #closedSentBytes = 0;

    /** @param isCounted Whether the bytes of a connected socket are counted; all sockets by default. */
    constructor(isCounted: (socket: Socket) => boolean = () => true) {
        this.#isCounted = isCounted;
        for (const channel of SocketChannels) {
            subscribe(channel, this.#add);
        }
    }

    /** Stops counting new sockets; sockets that are already known stay counted. */
    stop(): void {
        for (const channel of SocketChannels) {
            unsubscribe(channel, this.#add);
        }
    }

    /** @returns Bytes since the construction. */
    totals(): ByteTotals {
        let receivedBytes = this.#closedReceivedBytes;
        let sentBytes = this.#closedSentBytes;
        for (const socket of this.#openSockets) {
            if (this.#isCounted(socket)) {
                receivedBytes += socket.bytesRead;
                sentBytes += socket.bytesWritten;
            }
        }
        return { receivedBytes, sentBytes };
    }

    readonly #add = (message: unknown): void => {
        const { socket } = message as { socket: Socket; };
        this.#openSockets.add(socket);
        // The local port of a closed socket is no longer known, so this is determined while it is connected.
        let isCounted = socket.connecting ? undefined : this.#isCounted(socket);
        socket.once("ready", () => isCounted = this.#isCounted(socket));
        socket.once("close", () => {
            this.#openSockets.delete(socket);
            if (isCounted === true) {
                this.#closedReceivedBytes += socket.bytesRead;
                this.#closedSentBytes += socket.bytesWritten;
            }
        });
    };
}
