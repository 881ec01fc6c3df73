import { createServer, type RequestListener } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, it, onTestFinished, vi } from "vitest";
import { GatewayFixture } from "../standins/router/gatewayFixture.js";
import { HarnessApiKey } from "../standins/router/gatewayHarness.js";
import { UpstreamServer } from "../standins/upstream/upstreamServer.js";

describe("relay", () => {
    let fixture: GatewayFixture;
    let gateway: GatewayFixture["gateway"];
    let first: GatewayFixture["first"];
    let second: GatewayFixture["second"];
    beforeEach(async () => {
        fixture = new GatewayFixture();
        ({ gateway, first, second } = fixture);
        await fixture.start();
    });
    afterEach(() => fixture.stop());

    const chat: GatewayFixture["chat"] = (body, headers) => fixture.chat(body, headers);
    const executions = (): number => fixture.executions();

    describe("when a plain service is called", () => {
        it.each(["GET", "HEAD", "OPTIONS", "DELETE", "PUT"])(
            "passes %s on (guards against lost methods)",
            async method => {
                const echo = await startUpstream((request, response) => {
                    response.writeHead(200, {
                        "content-length": 0,
                        "x-request-id": request.headers["x-request-id"],
                        "x-seen": `${request.method} ${request.url}`,
                    });
                    response.end();
                });
                gateway = await fixture.restartGateway({ "sales-service": echo });
                const response = await fetch(`${gateway.url}/services/sales/a/b?c=d`, {
                    method,
                    headers: { authorization: `Bearer ${HarnessApiKey}` },
                });
                expect(response.headers.get("x-seen")).toBe(`${method} /a/b?c=d`);
                expect(gateway.controller.bills).toMatchObject([{ tokens: 1, outcome: "complete" }]);
            },
        );
    });

    describe("when an upstream fails", () => {
        const faultBoth = (faults: Parameters<UpstreamServer["setFaults"]>[0]): void => {
            first.setFaults(faults);
            second.setFaults(faults);
        };
        const readAll = async (response: Response): Promise<{ text: string; broken: boolean; }> => {
            let text = "";
            try {
                for await (const chunk of response.body!) {
                    text += Buffer.from(chunk).toString();
                }
                return { text, broken: false };
            }
            catch {
                return { text, broken: true };
            }
        };

        it("interrupts a stream visibly and bills what was delivered (guards against a cut that looks whole)", async () => {
            faultBoth({ dyingRequests: 1, dieAfterTokens: 2 });
            const { text, broken } = await readAll(await chat({ stream: true }));
            expect(broken).toBe(true);
            expect(text).toContain("\"name\":\"StreamCut\"");
            expect(text).not.toContain("[DONE]");
            expect(executions()).toBe(1);
            const delivered = text.match(/w\d /g)!.length;
            expect(gateway.controller.bills).toMatchObject([{ outcome: "cut", outputTokens: delivered }]);
        });

        it("tries another upstream while nothing was delivered (guards against needless failures)", async () => {
            faultBoth({ dyingRequests: 1, dieAfterTokens: 0 });
            second.setFaults({ dyingRequests: 0 });
            await first.stop();
            for (let round = 0; round < 2; round++) {
                expect((await readAll(await chat({ stream: true }))).text).toContain("[DONE]");
            }
            expect(gateway.controller.bills).toHaveLength(2);
        });

        it("ends silence by a timeout and never uses the connection again (guards against late answers)", async () => {
            faultBoth({ silentRequests: 1 });
            const response = await chat({ stream: true });
            expect(response.status).toBe(504);
            expect(await response.json()).toMatchObject({ error: { name: "UpstreamTimeout", ran: "unknown" } });
            for (let round = 0; round < 4; round++) {
                expect((await readAll(await chat({ stream: true }))).text).toContain("[DONE]");
            }
        });

        it("discards an answer with another id (guards against another caller's answer)", async () => {
            faultBoth({ crossedRequests: 1 });
            const response = await chat();
            expect(response.status).toBe(502);
            expect(await response.json()).toMatchObject({ error: { name: "AnswerMismatch", ran: "unknown" } });
            expect(gateway.controller.bills).toMatchObject([{ tokens: 0, outcome: "cut" }]);
        });

        it("gives a late answer to nobody (guards against answers that shift to the next caller)", async () => {
            faultBoth({ lateRequests: 1, lateMs: 600 });
            expect((await chat({ max_tokens: 3 })).status).toBe(504);
            const answers = await Promise.all([1, 2, 3, 4].map(async tokens => {
                const answer = await (await chat({ max_tokens: tokens })).json() as {
                    usage: { completion_tokens: number; };
                };
                return answer.usage.completion_tokens;
            }));
            expect(answers).toEqual([1, 2, 3, 4]);
        });

        it("takes work elsewhere when the upstream is leaving (guards against refusals during a change)", async () => {
            first.setFaults({ leaving: true });
            for (let round = 0; round < 4; round++) {
                expect((await chat()).status).toBe(200);
            }
            expect(first.executions()).toHaveLength(0);
            const ends = gateway.controller.events.filter(event => event.type === "dispatchEnded");
            expect(ends.some(event => event.result === "leaving" && event.upstream === "first")).toBe(true);
        });
    });

    describe("when a hedge is allowed", () => {
        it("answers from the faster upstream and bills once (guards against a doubled bill)", async () => {
            gateway = await fixture.restartGateway({ first: await restart(first), second: await restart(second) }, {
                hedgeAfterMs: 30,
                firstByteTimeoutMs: 2_000,
            });
            gateway.controller.remainingHedges = 1;
            first.setFaults({ silentRequests: -1 });
            second.setFaults({ silentRequests: 0 });
            const texts = [await (await chat({ stream: true })).text()];
            expect(texts[0]).toContain("[DONE]");
            expect(gateway.controller.bills).toMatchObject([{ upstream: "second", outcome: "complete" }]);
            const results = gateway.controller.events.filter(event => event.type === "dispatchEnded")
                .map(event => [event.upstream, event.result]);
            expect(results).toContainEqual(["second", "complete"]);
        });
    });

    describe("when a caller goes away", () => {
        it("cancels a stream at the upstream and bills what was delivered (guards against wasted tokens)", async () => {
            const abort = new AbortController();
            const response = await fetch(`${gateway.url}/v1/chat/completions`, {
                method: "POST",
                headers: { authorization: `Bearer ${HarnessApiKey}` },
                body: JSON.stringify({
                    model: "assistant",
                    messages: [{ role: "user", content: "x" }],
                    stream: true,
                    metadata: { outputTokens: "500" },
                }),
                signal: abort.signal,
            });
            await response.body!.getReader().read();
            abort.abort();
            await vi.waitFor(() => expect(gateway.controller.bills).toMatchObject([{ outcome: "cut" }]));
            expect(gateway.controller.bills[0]!.outputTokens).toBeGreaterThan(0);
            await vi.waitFor(() =>
                expect([...first.executions(), ...second.executions()]).toMatchObject([{ state: "cancelled" }])
            );
        });

        it("cancels the work of a caller that never reads (guards against slots that are held for ever)", async () => {
            gateway = await fixture.restartGateway({ flood: await startUpstream(flood) }, { callerStallMs: 50 });
            const { hostname, port } = new URL(gateway.url);
            const body = JSON.stringify({
                model: "assistant",
                messages: [{ role: "user", content: "x" }],
                stream: true,
            });
            const socket = connect(Number(port), hostname, () => {
                socket.write(
                    `POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer ${HarnessApiKey}\r\n` +
                        `Content-Length: ${body.length}\r\n\r\n${body}`,
                );
                socket.pause();
            });
            socket.on("error", () => undefined);
            await vi.waitFor(() => expect(gateway.controller.bills).toMatchObject([{ outcome: "cut" }]), 5_000);
            socket.destroy();
        });

        it("gives everything back while the request waits (guards against leaked reservations and claims)", async () => {
            gateway.controller.shouldHoldAdmissions = true;
            const abort = new AbortController();
            const lost = fetch(`${gateway.url}/v1/chat/completions`, {
                method: "POST",
                headers: { authorization: `Bearer ${HarnessApiKey}`, "idempotency-key": "k1" },
                body: JSON.stringify({ model: "assistant", messages: [{ role: "user", content: "x" }] }),
                signal: abort.signal,
            });
            await vi.waitFor(() => expect(gateway.controller.openReservations).toBe(1));
            abort.abort();
            await expect(lost).rejects.toThrow();
            await vi.waitFor(() => expect(gateway.controller.openReservations).toBe(0));
            expect(gateway.controller.claims.size).toBe(0);
            expect(executions()).toBe(0);
        });

        it("loses nothing when the caller reads slowly (guards against relays that stop or drop chunks)", async () => {
            const chunks = Array.from({ length: 600 }, (_, index) =>
                `data: ${
                    JSON.stringify({
                        id: "c",
                        choices: [{
                            index: 0,
                            delta: { content: `${index} `.padEnd(20_000, "é") },
                            finish_reason: null,
                        }],
                    })
                }\n\n`);
            chunks.push("data: {\"id\":\"c\",\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n", "data: [DONE]\n\n");
            gateway = await fixture.restartGateway({
                big: await startUpstream((request, response) => {
                    request.resume();
                    response.writeHead(200, { "x-request-id": request.headers["x-request-id"] });
                    response.end(chunks.join(""));
                }),
            });
            const response = await chat({ stream: true });
            const pieces: Buffer[] = [];
            for await (const piece of response.body!) {
                pieces.push(Buffer.from(piece));
                if (pieces.length % 50 === 0) {
                    await delay(5);
                }
            }
            expect(Buffer.concat(pieces).toString() === chunks.join("")).toBe(true);
            expect(gateway.controller.bills).toMatchObject([{ outputTokens: 600, outcome: "complete" }]);
        });
    });
});

/** Starts an upstream for one test. */
async function startUpstream(listener: RequestListener): Promise<string> {
    const server = createServer(listener);
    onTestFinished(() => void server.close());
    await new Promise<void>(resolve => {
        server.listen(0, "127.0.0.1", resolve);
    });
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Streams without an end. */
const flood: RequestListener = (request, response) => {
    request.resume();
    response.writeHead(200, { "x-request-id": request.headers["x-request-id"] });
    const chunk = { id: "c", choices: [{ index: 0, delta: { content: "x".repeat(10_000) }, finish_reason: null }] };
    const pump = (): void => {
        while (!response.destroyed && response.write(`data: ${JSON.stringify(chunk)}\n\n`)) {
            // Until the buffer is full.
        }
    };
    response.on("drain", pump);
    pump();
};

async function restart(upstream: UpstreamServer): Promise<string> {
    await upstream.stop();
    return upstream.start();
}
