import { connect } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { sleep } from "../base/sleep.js";
import { GatewayFixture } from "../standins/router/gatewayFixture.js";
import { HarnessApiKey } from "../standins/router/gatewayHarness.js";

describe("a caller's connection to the gateway", () => {
    let fixture: GatewayFixture;

    beforeEach(async () => {
        fixture = new GatewayFixture();
        await fixture.start();
    });

    afterEach(() => fixture.stop());

    /** Sends text in pieces, reads only after the last one, and returns what was received until the connection closed. */
    async function sendThenRead(pieces: readonly string[]): Promise<string> {
        const { hostname, port } = new URL(fixture.gateway.url);
        let received = "";
        let isClosed = false;
        const socket = connect(Number(port), hostname);
        socket.on("data", bytes => received += bytes.toString());
        socket.on("error", () => undefined);
        socket.on("close", () => isClosed = true);
        for (const piece of pieces) {
            socket.pause();
            socket.write(piece);
            await sleep(5);
        }
        socket.resume();
        while (!isClosed) {
            await sleep(5);
        }
        return received;
    }

    const head = (path: string, key: string, length: number): string =>
        `POST ${path} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer ${key}\r\nContent-Length: ${length}\r\n\r\n`;

    describe("given a request that is refused while its body arrives", () => {
        it("carries the refusal (guards against refusals lost in a reset of the connection)", async () => {
            const body = Array.from({ length: 30 }, () => "x".repeat(100_000));
            const received = await sendThenRead([head("/v1/chat/completions", "wrong", 3_000_000), ...body]);
            expect(received).toContain("HTTP/1.1 401");
        });
    });

    describe("given a half read head while the gateway stops", () => {
        it("answers it (guards against requests that are cut)", async () => {
            const { hostname, port } = new URL(fixture.gateway.url);
            let received = "";
            let isClosed = false;
            const socket = connect(Number(port), hostname);
            socket.on("data", bytes => received += bytes.toString());
            socket.on("error", () => undefined);
            socket.on("close", () => isClosed = true);
            const text = `GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer ${HarnessApiKey}\r\n\r\n`;
            socket.write(text);
            await sleep(100);
            socket.write(text.slice(0, 40));
            await sleep(20);
            const drained = fixture.gateway.drain();
            await sleep(150);
            socket.write(text.slice(40));
            await drained;
            while (!isClosed) {
                await sleep(5);
            }
            expect(received.match(/HTTP\/1\.1 200/g)).toHaveLength(2);
        });
    });
});
