import { createSocket } from "node:dgram";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { log } from "../../base/log.js";
import { loopbackAddresses } from "../../standins/loopbackAddresses.js";
import { type PeerMessage, UdpPeerChannel } from "./peerChannel.js";

const Port = 17_214;
const [Address = ""] = loopbackAddresses(1);

describe("UdpPeerChannel", () => {
    const received: PeerMessage[] = [];
    let channel: UdpPeerChannel;

    beforeEach(() => {
        received.length = 0;
        channel = new UdpPeerChannel(() => true, () => undefined);
        channel.onMessage(message => received.push(message));
        channel.start(Address, Port);
    });

    afterEach(() => channel.stop());

    describe("given a listener that throws an error", () => {
        it("passes later messages on (guards against one message that ends the process)", async () => {
            const error = vi.spyOn(log, "error").mockImplementation(() => undefined);
            const failing = new UdpPeerChannel(() => true, () => undefined);
            let calls = 0;
            failing.onMessage(() => {
                calls++;
                throw new Error("fault of this test");
            });
            failing.start(Address, Port + 1);
            const socket = createSocket("udp4");
            await vi.waitFor(() => {
                socket.send(
                    JSON.stringify({ k: "q", h: "front-2", i: "1", n: 1, s: 2, u: [], p: [] }),
                    Port + 1,
                    Address,
                );
                expect(calls).toBeGreaterThan(2);
            });
            socket.close();
            failing.stop();
            expect(error).toHaveBeenCalledOnce();
            error.mockRestore();
        });
    });

    describe("given messages of another release", () => {
        it("drops unknown kinds and ignores unknown fields (guards against releases that cannot run side by side)", async () => {
            const socket = createSocket("udp4");
            const send = (text: string) => socket.send(text, Port, Address);
            await vi.waitFor(() => {
                send(JSON.stringify({ k: "later", h: "front-2", x: [1] }));
                send("no JSON");
                send(JSON.stringify({ k: "q", h: "front-2", i: "1", n: 1, s: 2, u: [], p: [], later: 1 }));
                expect(received.length).toBeGreaterThan(0);
            });
            socket.close();
            expect(received.every(({ k }) => k === "q")).toBe(true);
            expect(received[0]).toEqual({ k: "q", h: "front-2", i: "1", n: 1, s: 2, u: [], p: [] });
        });
    });
});
