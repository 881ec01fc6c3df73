import { connect } from "node:net";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { GatewayFixture } from "../standins/router/gatewayFixture.js";
import { HarnessApiKey } from "../standins/router/gatewayHarness.js";

interface ErrorJson {
    readonly error: { readonly code: number; readonly name: string; readonly ran: string; };
}

describe("gateway", () => {
    let fixture: GatewayFixture;
    let gateway: GatewayFixture["gateway"];
    let sales: GatewayFixture["sales"];
    beforeEach(async () => {
        fixture = new GatewayFixture();
        ({ gateway, sales } = fixture);
        await fixture.start();
    });
    afterEach(() => fixture.stop());

    const chat: GatewayFixture["chat"] = (body, headers) => fixture.chat(body, headers);
    const executions = (): number => fixture.executions();

    describe("when a response without streaming is requested", () => {
        it("relays it and bills the reported usage (guards against a wrong or missing bill)", async () => {
            const response = await chat({ max_tokens: 7 });
            const completion = await response.json() as { usage: { total_tokens: number; }; };
            expect(response.status).toBe(200);
            expect(response.headers.get("x-request-id")).toMatch(/^[0-9a-f]{24}$/);
            expect(gateway.controller.bills).toMatchObject([
                { tokens: completion.usage.total_tokens, outputTokens: 7, outcome: "complete" },
            ]);
            expect(gateway.controller.openReservations).toBe(0);
        });
    });

    describe("when a streamed response is requested", () => {
        it("relays every event and the usage (guards against lost or duplicate chunks)", async () => {
            const text = await (await chat({ stream: true, max_tokens: 5 })).text();
            expect(text.match(/w\d /g)).toEqual(["w1 ", "w2 ", "w3 ", "w4 ", "w5 "]);
            expect(text.endsWith("data: [DONE]\n\n")).toBe(true);
            expect(gateway.controller.bills).toMatchObject([{ outputTokens: 5, outcome: "complete" }]);
        });
    });

    describe("when a path leads outside of the service", () => {
        it("refuses it (guards against calls to another service)", async () => {
            for (
                const path of ["/services/sales/..%2f..%2fload", "/services/sales/%2e%2e/load", "/services/", "/load"]
            ) {
                const response = await fetch(`${gateway.url}${path}`, {
                    headers: { authorization: `Bearer ${HarnessApiKey}` },
                });
                expect(response.status).toBe(path.includes("..%2f") ? 200 : 404);
            }
        });
    });

    describe("when a request is refused before anything runs", () => {
        const readRefusalName = async (response: Response): Promise<string> => {
            const { error } = await response.json() as ErrorJson;
            expect(error.ran).toBe("no");
            expect(executions()).toBe(0);
            expect(gateway.controller.openReservations).toBe(0);
            return error.name;
        };

        it("names a wrong key, an unknown model and malformed JSON (guards against wrong codes)", async () => {
            expect(await readRefusalName(await chat({}, { authorization: "Bearer wrong" }))).toBe("UnknownKey");
            expect(await readRefusalName(await chat({ model: "none" }))).toBe("UnknownModel");
            expect(await readRefusalName(await chat({ messages: [] }))).toBe("MalformedBody");
            expect(await readRefusalName(await chat({ n: 2 }))).toBe("MalformedBody");
        });
    });

    describe("when a body or a head is invalid", () => {
        const send = (text: string): Promise<string> =>
            new Promise((resolve, reject) => {
                const { hostname, port } = new URL(gateway.url);
                const socket = connect(Number(port), hostname, () => socket.write(text));
                let responseText = "";
                socket.on("data", data => {
                    responseText += data.toString();
                });
                socket.on("close", () => resolve(responseText));
                socket.on("error", reject);
            });
        const head = (...lines: string[]): string =>
            ["POST /v1/chat/completions HTTP/1.1", "Host: h", "Connection: close", ...lines, "", ""].join("\r\n");
        const key = `Authorization: Bearer ${HarnessApiKey}`;

        it.each([
            ["repeated authorization", head(key, "Authorization: Bearer other", "Content-Length: 0")],
            ["repeated key", head(key, "Idempotency-Key: a", "Idempotency-Key: b", "Content-Length: 0")],
            ["two lengths", head(key, "Content-Length: 0", "Content-Length: 5")],
            ["length and encoding", head(key, "Content-Length: 3", "Transfer-Encoding: chunked")],
            ["malformed length", head(key, "Content-Length: +3")],
            ["malformed authorization", head("Authorization: Basic x", "Content-Length: 0")],
            ["control character", head(key, "Idempotency-Key: a\x01b", "Content-Length: 0")],
            ["key with a space", head(key, "Idempotency-Key: a b", "Content-Length: 0")],
            ["missing host", `GET /v1/models HTTP/1.1\r\n${key}\r\nConnection: close\r\n\r\n`],
            ["space before the colon", head("Authorization : Bearer x", "Content-Length: 0")],
            ["space within a header name", head(key, "A B: x", "Content-Length: 0")],
            ["header without a name", head(key, ": x", "Content-Length: 0")],
        ])("rejects %s with one response and runs nothing (guards against request smuggling)", async (_name, text) => {
            const responseText = await send(text);
            expect(responseText).toContain("400 Bad Request");
            expect(responseText).toContain("\"code\":1008");
            expect(responseText.match(/HTTP\/1\.1/g)).toHaveLength(1);
            expect(executions()).toBe(0);
        });

        it("refuses a body over the limit by its length and while reading (guards against memory use)", async () => {
            const big = Buffer.alloc(20_000_000, 32);
            const stated = await fetch(`${gateway.url}/services/sales/x`, {
                method: "POST",
                headers: { authorization: `Bearer ${HarnessApiKey}` },
                body: big,
            });
            const unstated = await fetch(`${gateway.url}/v1/chat/completions`, {
                method: "POST",
                headers: { authorization: `Bearer ${HarnessApiKey}` },
                body: new Blob([big]).stream(),
                duplex: "half",
            } as RequestInit);
            for (const response of [stated, unstated]) {
                expect(response.status).toBe(413);
                expect((await response.json() as ErrorJson).error.name).toBe("BodyTooLarge");
            }
            expect(sales.executions()).toHaveLength(0);
        });
    });

    describe("when the budget is exhausted", () => {
        it("refuses with Retry-After and keeps nothing reserved (guards against leaked reservations)", async () => {
            gateway.controller.availableTokens.set("main", 10);
            const response = await chat({}, { "idempotency-key": "k1" });
            expect(response.status).toBe(402);
            expect(response.headers.get("retry-after")).toBe("2");
            expect(await response.json()).toMatchObject({ error: { name: "BudgetExhausted", ran: "no" } });
            expect(gateway.controller.claims.size).toBe(0);
            expect(executions()).toBe(0);
        });
    });

    describe("when a grant is claimed", () => {
        const priorities = (): unknown[] =>
            gateway.controller.events.filter(event => event.type === "admissionRequested")
                .map(event => event.request.workClass);

        it("runs as urgent and bills one use (guards against unbilled priority)", async () => {
            await (await chat({}, { "x-priority-grant": "storm" })).text();
            expect(priorities()).toEqual(["urgent"]);
            expect(gateway.controller.bills.map(bill => [bill.budget, bill.tokens])).toContainEqual(["grant/storm", 1]);
        });

        it("runs in its ordinary class when no use is left (guards against a false refusal)", async () => {
            gateway.controller.availableTokens.set("grant/storm", 0);
            expect((await chat({}, { "x-priority-grant": "storm" })).status).toBe(200);
            expect(priorities()).toEqual(["normal"]);
        });
    });

    describe("when work may not be repeated", () => {
        const sell = (headers: Record<string, string>, body = "10 tokens"): Promise<Response> =>
            fetch(`${gateway.url}/services/sales/buy?card=1`, {
                method: "POST",
                headers: { authorization: `Bearer ${HarnessApiKey}`, ...headers },
                body,
            });

        it("requires a key (guards against a duplicate sale on retry)", async () => {
            const response = await sell({});
            expect(response.status).toBe(400);
            expect(await response.json()).toMatchObject({ error: { name: "KeyRequired", ran: "no" } });
            expect(sales.executions()).toHaveLength(0);
        });

        it("replays the stored response to a repetition and refuses another body (guards against a second run)", async () => {
            const responses = [await sell({ "idempotency-key": "k1" }), await sell({ "idempotency-key": "k1" })];
            const [text, repeated] = await Promise.all(responses.map(response => response.text()));
            expect(repeated).toBe(text);
            expect(JSON.parse(text!)).toMatchObject({ path: "/buy?card=1", echo: "10 tokens" });
            expect(responses.map(response => response.headers.get("idempotent-replay"))).toEqual([null, "true"]);
            expect((await sell({ "idempotency-key": "k1" }, "20 tokens")).status).toBe(422);
            expect(sales.executions()).toMatchObject([{ idempotencyKey: "k1" }]);
            expect(gateway.controller.bills).toHaveLength(1);
        });

        it("is not sent again after a failure and its outcome stays unknown (guards against a second run)", async () => {
            sales.setFaults({ dyingRequests: 1 });
            const response = await sell({ "idempotency-key": "k1" });
            expect(await response.json()).toMatchObject({ error: { name: "UpstreamFailed", ran: "unknown" } });
            expect(await (await sell({ "idempotency-key": "k1" })).json()).toMatchObject({
                error: { name: "OutcomeUnknown" },
            });
            expect(sales.executions()).toHaveLength(1);
        });

        it("continues when the caller disconnects, so that a retry gets the response (guards against a lost response)", async () => {
            sales.setFaults({ slowFactor: 40 });
            const abort = new AbortController();
            const abortedRequest = fetch(`${gateway.url}/services/sales/buy`, {
                method: "POST",
                headers: { authorization: `Bearer ${HarnessApiKey}`, "idempotency-key": "k1" },
                body: "x",
                signal: abort.signal,
            });
            await vi.waitFor(() => expect(sales.executions()).toHaveLength(1));
            abort.abort();
            await expect(abortedRequest).rejects.toThrow();
            await vi.waitFor(() => expect([...gateway.controller.claims.values()][0]?.done).toBe(true));
            expect(sales.executions()).toMatchObject([{ state: "complete" }]);
            expect([...gateway.controller.claims.values()][0]?.answer?.body).toContain("echo");
        });

        it("is released when the upstream refuses definitely (guards against a key that stays blocked)", async () => {
            sales.setFaults({ refusedRequests: 1 });
            expect(await (await sell({ "idempotency-key": "k1" })).json()).toMatchObject({
                error: { name: "UpstreamRefused", ran: "no" },
            });
            expect(gateway.controller.bills).toHaveLength(0);
            expect((await sell({ "idempotency-key": "k1" })).status).toBe(200);
        });
    });

    describe("when the router itself fails", () => {
        it("responds with an error code and keeps running (guards against a crash caused by one request)", async () => {
            const { config } = gateway.kernel.board;
            const { resources } = config;
            config.resources = { ...resources, upstreams: undefined as never };
            const response = await chat();
            expect(response.status).toBe(500);
            expect(await response.json()).toMatchObject({ error: { name: "InternalError", ran: "no" } });
            expect(
                (await fetch(`${gateway.url}/v1/models`, { headers: { authorization: `Bearer ${HarnessApiKey}` } }))
                    .status,
            )
                .toBe(500);
            config.resources = resources;
            expect((await chat()).status).toBe(200);
            await vi.waitFor(() => expect(gateway.kernel.board.lifecycle.requestsInFlight).toBe(0));
        });
    });
});
