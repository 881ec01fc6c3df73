import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { GatewayFixture } from "../standins/router/gatewayFixture.js";
import { HarnessApiKey } from "../standins/router/gatewayHarness.js";
import { UnreadUpstream } from "../standins/router/unreadUpstream.js";
import { InvalidStatusCases } from "../standins/upstream/invalidStatusCases.js";

const cases = InvalidStatusCases.flatMap(response => ["GET", "POST"].map(method => ({ ...response, method })));

describe("gateway in front of an upstream whose status is not a number from 100 to 599", () => {
    let fixture: GatewayFixture;
    let upstream: UnreadUpstream;

    beforeEach(async () => {
        fixture = new GatewayFixture();
        await fixture.start();
    });

    afterEach(async () => {
        await fixture.stop();
        upstream.stop();
    });

    it.each(cases)(
        "reports a failure of the upstream: $status $place, $framing, $method (guards against callers that receive such a status)",
        async ({ status, interim, rest, method }) => {
            upstream = new UnreadUpstream((id, socket) => {
                socket.resume();
                socket.end(`${interim}HTTP/1.1 ${status} OK\r\nX-Request-Id: ${id}\r\n${rest}`);
            });
            await fixture.restartGateway({ "sales-service": await upstream.start() }, {
                progressTimeoutMs: 400,
                firstByteTimeoutMs: 400,
                answerTimeoutMs: 600,
                answerTimeoutPerTokenMs: 0,
                maxAttempts: 1,
            });
            const response = await fetch(`${fixture.gateway.url}/services/sales/a`, {
                method,
                headers: { authorization: `Bearer ${HarnessApiKey}`, "idempotency-key": "k" },
                ...(method === "GET" ? {} : { body: "x" }),
            });
            expect(response.status).toBe(502);
        },
    );
});
