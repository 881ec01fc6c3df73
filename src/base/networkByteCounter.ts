/** Bytes that this process exchanged over its sockets. */
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";

/** Channels on which Node announces new sockets. */
const SocketChannels = ["net.client.socket", "net.server.socket"] as const;

/** Bytes in both directions. */
export interface ByteTotals {
    readonly receivedBytes: number;
    readonly sentBytes: number;
}

/** Counts the payload bytes of all TCP sockets that are opened after its start. */
export class NetworkByteCounter {
    readonly #open = new Set<Socket>();
    readonly #isCounted: (socket: Socket) => boolean;
    #closedReceivedBytes = 0;
    #closedSentBytes = 0;

    /** @param isCounted Tells whether a connected socket counts. */
    constructor(isCounted: (socket: Socket) => boolean = () => true) {
        this.#isCounted = isCounted;
        for (const channel of SocketChannels) {
            subscribe(channel, this.#add);
        }
    }

    /** Stops counting new sockets. */
    stop(): void {
        for (const channel of SocketChannels) {
            unsubscribe(channel, this.#add);
        }
    }

    /** @returns Bytes since the start. */
    totals(): ByteTotals {
        let receivedBytes = this.#closedReceivedBytes;
        let sentBytes = this.#closedSentBytes;
        for (const socket of this.#open) {
            if (this.#isCounted(socket)) {
                receivedBytes += socket.bytesRead;
                sentBytes += socket.bytesWritten;
            }
        }
        return { receivedBytes, sentBytes };
    }

    readonly #add = (message: unknown): void => {
        const { socket } = message as { socket: Socket; };
        this.#open.add(socket);
        // The local port of a closed socket is not known any more.
        let counted = socket.connecting ? undefined : this.#isCounted(socket);
        socket.once("ready", () => counted = this.#isCounted(socket));
        socket.once("close", () => {
            this.#open.delete(socket);
            if (counted === true) {
                this.#closedReceivedBytes += socket.bytesRead;
                this.#closedSentBytes += socket.bytesWritten;
            }
        });
    };
}
