import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { UpstreamServer } from "./upstreamServer.js";

function chat(url: string, requestId: string, fields: Record<string, unknown> = {}, headers = {}): Promise<Response> {
    return fetch(`${url}/v1/chat/completions`, {
        method: "POST",
        headers: { "content-type": "application/json", "x-request-id": requestId, ...headers },
        body: JSON.stringify({ model: "assistant", messages: [{ role: "user", content: "hello" }], ...fields }),
    });
}

describe("UpstreamServer", () => {
    let server: UpstreamServer;
    let url: string;
    beforeEach(async () => {
        server = new UpstreamServer({ port: 0, slots: 1, tokenIntervalMs: 2, checksFencing: true });
        url = await server.start();
    });
    afterEach(() => server.stop());

    describe("when a chat is streamed", () => {
        it("ends with usage and [DONE] (guards against streams that look complete although they were cut off)", async () => {
            const response = await chat(url, "r1", { stream: true, stream_options: { include_usage: true } });
            const text = await response.text();
            expect(response.headers.get("x-request-id")).toBe("r1");
            expect(text).toContain("\"completion_tokens\":16");
            expect(text.endsWith("data: [DONE]\n\n")).toBe(true);
            expect(server.executions()).toMatchObject([{ requestId: "r1", outputTokens: 16, state: "complete" }]);
        });
    });

    describe("when an urgent request meets a full engine", () => {
        it("runs first, and the preempted one still completes (guards against lost preempted work)", async () => {
            const order: string[] = [];
            const long = chat(url, "long", { metadata: { outputTokens: "100" } }, { "x-priority": "2" });
            const longDone = long.then(response => response.json()).then(() => order.push("long"));
            await new Promise(resolve => setTimeout(resolve, 20));
            await chat(url, "urgent", {}, { "x-priority": "0" }).then(response => response.json());
            order.push("urgent");
            await longDone;
            expect(order).toEqual(["urgent", "long"]);
            expect(server.executions().map(execution => execution.outputTokens)).toEqual([100, 16]);
        });
    });

    describe("when the caller disconnects", () => {
        it("cancels the request (guards against generating tokens that nobody reads)", async () => {
            const abort = new AbortController();
            const pending = fetch(`${url}/v1/chat/completions`, {
                method: "POST",
                signal: abort.signal,
                body: JSON.stringify({
                    model: "assistant",
                    messages: [{ role: "user", content: "x" }],
                    metadata: { outputTokens: "5000" },
                }),
            });
            await new Promise(resolve => setTimeout(resolve, 30));
            abort.abort();
            await expect(pending).rejects.toThrow();
            await expect.poll(() => server.executions()[0]?.state).toBe("cancelled");
        });
    });

    describe("when a dispatch carries an old fencing number", () => {
        it("refuses it without running it (guards against a second run by a stale owner)", async () => {
            const headers = { "idempotency-key": "k", "x-fencing-number": "5" };
            expect((await chat(url, "a", {}, headers)).status).toBe(200);
            expect((await chat(url, "b", {}, headers)).status).toBe(412);
            expect(server.executions()).toHaveLength(1);
        });
    });

    describe("when faults are switched on for one request", () => {
        it("closes the connection in mid-stream once, then responds again", async () => {
            server.setFaults({ dyingRequests: 1 });
            const cut = await chat(url, "a", { stream: true });
            await expect(cut.text()).rejects.toThrow();
            expect((await chat(url, "b")).status).toBe(200);
            expect(server.executions().map(execution => execution.state)).toEqual(["failed", "complete"]);
        });

        it("keeps the other faults (guards against schema defaults that switch a fault off)", async () => {
            const post = (body: unknown) => fetch(`${url}/faults`, { method: "POST", body: JSON.stringify(body) });
            await post({ leaving: true });
            await post({ slowFactor: 2 });
            const refused = await chat(url, "a");
            expect(refused.status).toBe(503);
            expect(refused.headers.get("x-upstream-leaving")).toBe("true");
            expect(server.executions()).toHaveLength(0);
        });
    });
});
