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
            "forwards %s (guards against unsupported methods)",
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

        it("interrupts a stream visibly and bills what was delivered (guards against an incomplete stream that looks complete)", async () => {
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

        it("times out a silent upstream and never reuses the connection (guards against late responses)", async () => {
            faultBoth({ silentRequests: 1 });
            const response = await chat({ stream: true });
            expect(response.status).toBe(504);
            expect(await response.json()).toMatchObject({ error: { name: "UpstreamTimeout", ran: "unknown" } });
            for (let round = 0; round < 4; round++) {
                expect((await readAll(await chat({ stream: true }))).text).toContain("[DONE]");
            }
        });

        it("discards a response with another id (guards against delivering another caller's response)", async () => {
            faultBoth({ crossedRequests: 1 });
            const response = await chat();
            expect(response.status).toBe(502);
            expect(await response.json()).toMatchObject({ error: { name: "AnswerMismatch", ran: "unknown" } });
            expect(gateway.controller.bills).toMatchObject([{ tokens: 0, outcome: "cut" }]);
        });

        it("discards a late response (guards against responses that shift to the next caller)", async () => {
            faultBoth({ lateRequests: 1, lateMs: 600 });
            expect((await chat({ max_tokens: 3 })).status).toBe(504);
            const tokenCounts = await Promise.all([1, 2, 3, 4].map(async tokens => {
                const completion = await (await chat({ max_tokens: tokens })).json() as {
                    usage: { completion_tokens: number; };
                };
                return completion.usage.completion_tokens;
            }));
            expect(tokenCounts).toEqual([1, 2, 3, 4]);
        });

        it("dispatches to another upstream when one is leaving (guards against refusals while upstreams are replaced)", async () => {
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
        it("relays the response of the faster upstream and bills once (guards against a duplicate bill)", async () => {
            gateway = await fixture.restartGateway({
                first: await restartUpstream(first),
                second: await restartUpstream(second),
            }, {
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

    describe("when a caller disconnects", () => {
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

        it("cancels the work of a caller that never reads (guards against slots that are never freed)", async () => {
            gateway = await fixture.restartGateway({ flood: await startUpstream(streamEndlessly) }, {
                callerStallMs: 50,
            });
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

        it("releases everything if the request is still queued (guards against leaked reservations and claims)", async () => {
            gateway.controller.shouldHoldAdmissions = true;
            const abort = new AbortController();
            const abortedRequest = fetch(`${gateway.url}/v1/chat/completions`, {
                method: "POST",
                headers: { authorization: `Bearer ${HarnessApiKey}`, "idempotency-key": "k1" },
                body: JSON.stringify({ model: "assistant", messages: [{ role: "user", content: "x" }] }),
                signal: abort.signal,
            });
            await vi.waitFor(() => expect(gateway.controller.openReservations).toBe(1));
            abort.abort();
            await expect(abortedRequest).rejects.toThrow();
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
            const receivedChunks: Buffer[] = [];
            for await (const bytes of response.body!) {
                receivedChunks.push(Buffer.from(bytes));
                if (receivedChunks.length % 50 === 0) {
                    await delay(5);
                }
            }
            expect(Buffer.concat(receivedChunks).toString() === chunks.join("")).toBe(true);
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

/** Streams chunks until the connection is closed. */
const streamEndlessly: RequestListener = (request, response) => {
    request.resume();
    response.writeHead(200, { "x-request-id": request.headers["x-request-id"] });
    const chunk = { id: "c", choices: [{ index: 0, delta: { content: "x".repeat(10_000) }, finish_reason: null }] };
    const writeUntilFull = (): void => {
        while (!response.destroyed && response.write(`data: ${JSON.stringify(chunk)}\n\n`)) {
            // Until the buffer is full.
        }
    };
    response.on("drain", writeUntilFull);
    writeUntilFull();
};

async function restartUpstream(upstream: UpstreamServer): Promise<string> {
    await upstream.stop();
    return upstream.start();
}
