/** Upstream that responds as soon as it has received the head of a request, for specs of responses to uploads that are not read. */
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";

/** Responds to a request; reading its body is left to the handler. */
export type UnreadRequestHandler = (requestId: string, socket: Socket) => void;

/** Listens on loopback; each connection carries one request. */
export class UnreadUpstream {
    readonly #server: Server;
    readonly #sockets = new Set<Socket>();

    constructor(handle: UnreadRequestHandler) {
        this.#server = createServer({ allowHalfOpen: true }, socket => {
            this.#sockets.add(socket);
            socket.on("error", () => undefined);
            let received = "";
            const readHead = (bytes: Buffer): void => {
                received += bytes.toString("latin1");
                if (received.includes("\r\n\r\n")) {
                    socket.off("data", readHead);
                    socket.pause();
                    handle(/x-request-id: ([^\r]*)/i.exec(received)?.[1] ?? "", socket);
                }
            };
            socket.on("data", readHead);
        });
    }

    /** @returns The URL of the upstream. */
    async start(): Promise<string> {
        await new Promise<void>(resolve => this.#server.listen(0, "127.0.0.1", resolve));
        return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
    }

    /** Closes all connections. */
    stop(): void {
        this.#server.close();
        this.#sockets.forEach(socket => socket.destroy());
    }
}
