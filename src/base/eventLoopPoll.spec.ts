import { connect, createServer, type Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { waitForEventLoopPoll } from "./eventLoopPoll.js";

describe("waitForEventLoopPoll", () => {
    const closables: { close(): void; }[] = [];

    afterEach(() => closables.splice(0).forEach(closable => closable.close()));

    describe("given bytes that arrive while the event loop handles the events of a poll", () => {
        it("resolves after they have been read (guards against decisions that miss bytes already received)", async () => {
            let peer: Socket | undefined;
            const server = createServer(socket => {
                peer = socket;
                socket.write("1");
            });
            await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
            const address = server.address();
            const client = connect(typeof address === "object" ? address!.port : 0, "127.0.0.1");
            closables.push({ close: () => client.destroy() }, server);
            let received = "";
            const settled = new Promise<string>(resolve => {
                client.on("data", bytes => {
                    received += bytes.toString();
                    if (received === "1") {
                        // This runs in the poll phase: the next byte reaches the kernel before the immediates of this turn.
                        peer?.write("2");
                        void waitForEventLoopPoll().then(() => resolve(received));
                    }
                });
            });
            expect(await settled).toBe("12");
        });
    });
});
