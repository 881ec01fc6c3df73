/** Counts the bytes on a server's connections, in both directions. */
import type { Server } from "node:http";
import type { Socket } from "node:net";

/** Sums the bytes that callers sent and received. */
export class ConnectionByteCounter {
    readonly #openSockets = new Set<Socket>();
    #closedBytes = 0;

    /** @param server Server whose connections are counted, from the next one on. */
    constructor(server: Server) {
        server.on("connection", (socket: Socket) => {
            this.#openSockets.add(socket);
            socket.once("close", () => {
                this.#openSockets.delete(socket);
                this.#closedBytes += socket.bytesRead + socket.bytesWritten;
            });
        });
    }

    /** @returns Total bytes of open and closed connections so far. */
    get totalBytes(): number {
        let bytes = this.#closedBytes;
        for (const socket of this.#openSockets) {
            bytes += socket.bytesRead + socket.bytesWritten;
        }
        return bytes;
    }
}
