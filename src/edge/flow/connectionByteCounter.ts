/** Counts the bytes of a server's connections. */
import type { Server } from "node:http";
import type { Socket } from "node:net";

/** Bytes that callers sent and got. */
export class ConnectionByteCounter {
    readonly #open = new Set<Socket>();
    #closedBytes = 0;

    /** @param server Server whose connections are counted from now on. */
    constructor(server: Server) {
        server.on("connection", (socket: Socket) => {
            this.#open.add(socket);
            socket.once("close", () => {
                this.#open.delete(socket);
                this.#closedBytes += socket.bytesRead + socket.bytesWritten;
            });
        });
    }

    /** @returns Bytes so far, of open and closed connections. */
    get totalBytes(): number {
        let bytes = this.#closedBytes;
        for (const socket of this.#open) {
            bytes += socket.bytesRead + socket.bytesWritten;
        }
        return bytes;
    }
}
