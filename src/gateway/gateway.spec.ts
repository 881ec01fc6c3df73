import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { GatewayHarness, HarnessKey } from "../standins/router/gatewayHarness.js";
import { UpstreamServer } from "../standins/upstream/upstreamServer.js";

interface ErrorJson {
    readonly error: { readonly code: number; readonly name: string; readonly ran: string; };
}

describe("gateway", () => {
    let gateway: GatewayHarness;
    let first: UpstreamServer;
    let second: UpstreamServer;
    let sales: UpstreamServer;
    beforeEach(async () => {
        first = new UpstreamServer({ port: 0, tokenIntervalMs: 5 });
        second = new UpstreamServer({ port: 0, tokenIntervalMs: 5 });
        sales = new UpstreamServer({ port: 0, type: "service" });
        gateway = new GatewayHarness({ progressTimeoutMs: 300, firstByteTimeoutMs: 300, answerTimeoutMs: 500 });
        await gateway.start({
            first: await first.start(),
            second: await second.start(),
            "sales-service": await sales.start(),
        });
    });
    afterEach(async () => {
        await gateway.stop();
        await Promise.all([first, second, sales].map(upstream => upstream.stop()));
    });

    const chat = (body: Record<string, unknown> = {}, headers: Record<string, string> = {}): Promise<Response> =>
        fetch(`${gateway.url}/v1/chat/completions`, {
            method: "POST",
            headers: { authorization: `Bearer ${HarnessKey}`, "content-type": "application/json", ...headers },
            body: JSON.stringify({ model: "assistant", messages: [{ role: "user", content: "hello" }], ...body }),
        });
    const executions = (): number => first.executions().length + second.executions().length;

    describe("when a plain answer is asked for", () => {
        it("relays it and bills the reported usage (guards against a wrong or missing bill)", async () => {
            const response = await chat({ max_tokens: 7 });
            const answer = await response.json() as { usage: { total_tokens: number; }; };
            expect(response.status).toBe(200);
            expect(response.headers.get("x-request-id")).toMatch(/^[0-9a-f]{24}$/);
            expect(gateway.controller.bills).toMatchObject([
                { tokens: answer.usage.total_tokens, outputTokens: 7, outcome: "complete" },
            ]);
            expect(gateway.controller.openReservations).toBe(0);
        });
    });

    describe("when a streamed answer is asked for", () => {
        it("relays every event and the usage (guards against lost or doubled chunks)", async () => {
            const text = await (await chat({ stream: true, max_tokens: 5 })).text();
            expect(text.match(/w\d /g)).toEqual(["w1 ", "w2 ", "w3 ", "w4 ", "w5 "]);
            expect(text.endsWith("data: [DONE]\n\n")).toBe(true);
            expect(gateway.controller.bills).toMatchObject([{ outputTokens: 5, outcome: "complete" }]);
        });
    });

    describe("when a request is refused before anything runs", () => {
        const refused = async (response: Response): Promise<string> => {
            const { error } = await response.json() as ErrorJson;
            expect(error.ran).toBe("no");
            expect(executions()).toBe(0);
            expect(gateway.controller.openReservations).toBe(0);
            return error.name;
        };

        it("names a wrong key, an unknown model and malformed JSON (guards against wrong codes)", async () => {
            expect(await refused(await chat({}, { authorization: "Bearer wrong" }))).toBe("UnknownKey");
            expect(await refused(await chat({ model: "none" }))).toBe("UnknownModel");
            expect(await refused(await chat({ messages: [] }))).toBe("MalformedBody");
            expect(await refused(await chat({ n: 2 }))).toBe("MalformedBody");
        });
    });
});
