import { connect } from "node:net";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { sleep } from "../base/sleep.js";
import { GatewayFixture } from "../standins/router/gatewayFixture.js";
import { HarnessApiKey } from "../standins/router/gatewayHarness.js";

describe("requests of a caller that does not wait for responses", () => {
    let fixture: GatewayFixture;

    beforeEach(async () => {
        fixture = new GatewayFixture();
        await fixture.start();
    });

    afterEach(() => fixture.stop());

    const createSale = (key: string, apiKey = HarnessApiKey): string =>
        "POST /services/sales/buy HTTP/1.1\r\nHost: h\r\n" +
        `Authorization: Bearer ${apiKey}\r\nIdempotency-Key: ${key}\r\nContent-Length: 9\r\n\r\n10 tokens`;

    /** @returns What was received until the gateway closed the connection. */
    async function sendUntilClosed(text: string): Promise<string> {
        const { hostname, port } = new URL(fixture.gateway.url);
        let received = "";
        let isClosed = false;
        const socket = connect(Number(port), hostname);
        socket.on("data", bytes => received += bytes.toString());
        socket.on("error", () => undefined);
        socket.on("close", () => isClosed = true);
        socket.write(text);
        while (!isClosed) {
            await sleep(5);
        }
        // A request that was begun without a response may still be on its way to the service.
        await sleep(50);
        return received;
    }

    describe("given a gateway that drains", () => {
        it("runs none whose response cannot be sent (guards against sales that run without an answer)", async () => {
            fixture.gateway.kernel.board.lifecycle.phase = "draining";
            const received = await sendUntilClosed(createSale("sale-1") + createSale("sale-2") + createSale("sale-3"));
            const answeredCount = received.match(/HTTP\/1\.1 200/g)?.length;
            expect(answeredCount).toBe(fixture.sales.executions().length);
            expect(answeredCount).toBeGreaterThan(0);
            expect(received.match(/^connection: close/gim)).toHaveLength(1);
        });

        it("ends once they have left (guards against a drain that waits for requests without a connection)", async () => {
            fixture.gateway.controller.shouldHoldAdmissions = true;
            const { hostname, port } = new URL(fixture.gateway.url);
            const socket = connect(Number(port), hostname);
            socket.write(createSale("sale-1") + createSale("sale-2") + createSale("sale-3"));
            const { lifecycle } = fixture.gateway.kernel.board;
            await vi.waitFor(() => expect(lifecycle.requestsInFlight).toBe(3));
            socket.destroy();
            await vi.waitFor(() => expect(lifecycle.requestsInFlight).toBe(0));
        });
    });

    describe("given a refusal that closes the connection", () => {
        it("runs none behind it (guards against sales that run without an answer)", async () => {
            const received = await sendUntilClosed(createSale("sale-1", "wrong") + createSale("sale-2"));
            expect(received.match(/HTTP\/1\.1 \d+/g)).toEqual(["HTTP/1.1 401"]);
            expect(fixture.sales.executions()).toHaveLength(0);
        });
    });
});
