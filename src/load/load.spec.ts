import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { SeededRandom } from "../base/random.js";
import { checkSettings } from "../base/settings.js";
import { drawArrivals } from "./arrivals.js";
import { runLoad } from "./loadRunner.js";
import { LoadScenarioSchema } from "./loadScenario.js";
import { formatSummaries } from "./loadStatistics.js";
import { SseReader } from "./sseReader.js";

const chat = { key: "k", model: "m", kind: "chat", grant: "g", keyed: true };
const scenarioWith = (url: string, overrides: object = {}) =>
    LoadScenarioSchema.parse({
        routers: [url],
        classes: { chat, call: { key: "k", path: "/services/s/x", method: "GET" } },
        phases: [{ name: "only", durationMs: 300, rates: { chat: 100, call: 50 } }],
        ...overrides,
    });

describe("LoadScenarioSchema", () => {
    it("names the field of an unknown class (guards against a phase that silently sends nothing)", () => {
        const phases = [{ name: "p", durationMs: 1, rates: { nothing: 1 } }];
        const checked = checkSettings(LoadScenarioSchema, { routers: ["http://127.0.0.1:1"], classes: {}, phases });
        expect(checked.isErr && checked.error[0]!.path).toBe("phases.0.rates.nothing");
    });
});

describe("drawArrivals", () => {
    it("follows the rates through a ramp (guards against load whose rate does not change)", () => {
        const phases = [
            { name: "base", durationMs: 10_000, rates: { chat: 10 } },
            { name: "crest", durationMs: 10_000, rates: { chat: 100 }, rampMs: 1_000 },
        ];
        const arrivals = drawArrivals(scenarioWith("http://127.0.0.1:1", { phases }), new SeededRandom(3));
        const count = (fromMs: number, toMs: number) =>
            arrivals.filter(one => one.atMs >= fromMs && one.atMs < toMs).length;
        expect(count(0, 10_000)).toBeGreaterThan(70);
        expect(count(0, 10_000)).toBeLessThan(130);
        expect(count(11_000, 20_000)).toBeGreaterThan(800);
        expect(count(10_000, 11_000)).toBeLessThan(80);
    });
});

describe("SseReader", () => {
    it("counts tokens of events that are split across pieces (guards against wrong token counts)", () => {
        const reader = new SseReader();
        const text = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: {\"choices\":[],\"usage\":" +
            "{\"prompt_tokens\":3,\"completion_tokens\":1}}\n\ndata: [DONE]\n\n";
        [...text].forEach(character => reader.push(character));
        expect(reader.summary).toMatchObject({ tokens: 1, promptTokens: 3, outputTokens: 1, done: true });
    });
});

describe("runLoad", () => {
    let server: Server;
    let url: string;
    const receivedHeaders: Record<string, unknown>[] = [];
    beforeEach(async () => {
        let requests = 0;
        server = createServer((incoming, response) => {
            incoming.resume();
            receivedHeaders.push(incoming.headers);
            if (incoming.url !== "/v1/chat/completions") {
                response.end("{}");
            }
            else if (++requests % 4 === 0) {
                response.writeHead(429, { "retry-after": "2" });
                response.end(JSON.stringify({ error: { name: "Overloaded", ran: "no" } }));
            }
            else if (requests % 4 === 1) {
                response.write("data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n");
                setTimeout(() => response.destroy(), 5);
            }
            else {
                response.end("data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n");
            }
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    });
    afterEach(() => new Promise(resolve => server.close(resolve)));

    it("distinguishes complete, cut and refused requests (guards against failures that count as complete)", async () => {
        const result = await runLoad(scenarioWith(url));
        const figures = result.summaries.find(one => one.requestClass === "chat")!;
        expect(figures.complete + figures.cut + figures.codes["Overloaded"]!).toBe(figures.sent);
        expect(figures.cut).toBeGreaterThan(0);
        expect(figures.ran["no"]).toBe(figures.codes["Overloaded"]);
        expect(result.records.records.filter(record => record.retryAfterS === 2)).toHaveLength(figures.ran["no"]!);
        expect(receivedHeaders[0]).toMatchObject({ authorization: "Bearer k" });
        expect(receivedHeaders.some(headers => headers["x-priority-grant"] === "g" && "idempotency-key" in headers))
            .toBe(true);
        expect(formatSummaries(result.summaries)).toContain("Overloaded:");
    });
});
