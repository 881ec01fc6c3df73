/** A proxy in front of the store: its open connections may go silent for good, while new ones work. */
import net from "node:net";

/** Passes connections to a port. */
export class Proxy {
    #pairs = new Set();
    #server = net.createServer(socket => this.#accept(socket));
    #targetPort;

    constructor(targetPort) {
        this.#targetPort = targetPort;
    }

    /** Starts to listen. @returns Its address. */
    async start() {
        await new Promise(resolve => this.#server.listen(0, "127.0.0.1", resolve));
        return `127.0.0.1:${this.#server.address().port}`;
    }

    /** Lets all open connections go silent for good: bytes of both directions are dropped, and nothing is closed. @returns Their number. */
    silenceOpen() {
        const count = this.#pairs.size;
        for (const pair of this.#pairs) {
            pair.isSilent = true;
        }
        return count;
    }

    /** Stops listening and closes all connections. */
    stop() {
        this.#server.close();
        this.#pairs.forEach(({ near, far }) => {
            near.destroy();
            far.destroy();
        });
    }

    #accept(near) {
        const far = net.connect(this.#targetPort, "127.0.0.1");
        const pair = { near, far, isSilent: false };
        this.#pairs.add(pair);
        for (const [from, to] of [[near, far], [far, near]]) {
            from.on("data", bytes => {
                if (!pair.isSilent) {
                    to.write(bytes);
                }
            });
            from.on("error", () => undefined);
            from.on("close", () => {
                if (!pair.isSilent) {
                    to.destroy();
                }
                this.#pairs.delete(pair);
            });
        }
    }
}
