import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { NetworkByteCounter } from "./networkByteCounter.js";

describe("NetworkByteCounter", () => {
    const server = createServer(socket => socket.pipe(socket));
    let port: number;
    beforeEach(async () => {
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        port = (server.address() as AddressInfo).port;
    });
    afterEach(() => new Promise(resolve => server.close(resolve)));

    async function echo(bytes: number): Promise<void> {
        const socket = connect(port, "127.0.0.1");
        socket.end(Buffer.alloc(bytes));
        socket.resume();
        await once(socket, "close");
    }

    describe("when both ends of a connection close", () => {
        it("keeps counting their bytes (guards against control traffic that is not counted)", async () => {
            const counter = new NetworkByteCounter();
            await echo(700);
            await expect.poll(() => counter.totals()).toEqual({ receivedBytes: 1_400, sentBytes: 1_400 });
            counter.stop();
        });
    });

    describe("when the sockets of a port are excluded", () => {
        it("does not count the server's end (guards against counting the traffic of reading the counters)", async () => {
            const counter = new NetworkByteCounter(socket => socket.localPort !== port);
            await echo(700);
            await expect.poll(() => counter.totals()).toEqual({ receivedBytes: 700, sentBytes: 700 });
            counter.stop();
        });
    });
});
