import { createSocket } from "node:dgram";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { type PeerMessage, UdpPeerChannel } from "./peerChannel.js";

/** Port of the channel; each test has an address of its own. */
const Port = 17_214;

describe("UdpPeerChannel", () => {
    const received: PeerMessage[] = [];
    let channel: UdpPeerChannel;

    beforeEach(() => {
        received.length = 0;
        channel = new UdpPeerChannel(() => true, () => undefined);
        channel.onMessage(message => received.push(message));
        channel.start("127.83.0.9", Port);
    });

    afterEach(() => channel.stop());

    describe("given messages of another release", () => {
        it("drops unknown kinds and ignores unknown fields (guards against releases that cannot run side by side)", async () => {
            const socket = createSocket("udp4");
            const send = (text: string) => socket.send(text, Port, "127.83.0.9");
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
