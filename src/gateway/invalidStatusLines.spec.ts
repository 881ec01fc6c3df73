import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { GatewayFixture } from "../standins/router/gatewayFixture.js";
import { HarnessApiKey } from "../standins/router/gatewayHarness.js";
import { UnreadUpstream } from "../standins/router/unreadUpstream.js";

const statuses = ["000", "099", "600", "999", "0200"];

const interimResponses = [
    ["at once", ""],
    ["behind a 100", "HTTP/1.1 100 Continue\r\n\r\n"],
    ["behind a 103", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"],
] as const;

const framings = [
    ["a length", "Content-Length: 2\r\n\r\nok"],
    ["the end of the connection", "\r\nok"],
] as const;

const cases = statuses.flatMap(status =>
    interimResponses.flatMap(([place, interim]) =>
        framings.flatMap(([framing, rest]) =>
            ["GET", "POST"].map(method => ({ status, place, interim, framing, rest, method }))
        )
    )
);

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
