import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { GatewayHarness, HarnessApiKey } from "../standins/router/gatewayHarness.js";

/** Pause of an upstream that is sound, in milliseconds: "a second or so". */
const PauseMs = 1_300;

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

const headersFor = (request: IncomingMessage) => ({ "x-request-id": request.headers["x-request-id"] });

const refuse: Handler = (request, response) => {
    response.writeHead(429, headersFor(request));
    response.end();
};
const fail: Handler = (request, response) => {
    response.writeHead(500, headersFor(request));
    response.end();
};
const reset: Handler = request => request.socket.resetAndDestroy();
const chunk = (content: string) =>
    `data: ${JSON.stringify({ id: "c", choices: [{ index: 0, delta: { content }, finish_reason: null }] })}\n\n`;
const lastChunk = "data: {\"id\":\"c\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n";
const wholeStream = chunk("a") + chunk("b") + lastChunk + "data: [DONE]\n\n";

const breakOff: Handler = (request, response) => {
    response.writeHead(200, headersFor(request));
    response.write(chunk("z"), () => request.socket.destroy());
};
const otherUpstreams = [
    ["refuses", refuse],
    ["fails with 500", fail],
    ["resets the connection", reset],
    ["breaks off after its first bytes", breakOff],
] as const;

/** Sends a stream, or the response of a plain service, with a pause before its first byte or within it. */
const pauseAfter = (sentBytes: number, text: string): Handler => (request, response) => {
    request.resume();
    const send = () => response.write(text.slice(0, sentBytes));
    if (sentBytes > 0) {
        response.writeHead(200, headersFor(request));
        send();
    }
    setTimeout(() => {
        if (sentBytes === 0) {
            response.writeHead(200, headersFor(request));
        }
        response.end(text.slice(sentBytes));
    }, PauseMs);
};

describe("a gateway in front of an upstream that falls silent and goes on", () => {
    let gateway: GatewayHarness;
    let servers: Server[];
    let requestCount: number;

    beforeEach(() => {
        gateway = new GatewayHarness();
        servers = [];
        requestCount = 0;
    });

    afterEach(async () => {
        await gateway.stop();
        for (const server of servers) {
            server.closeAllConnections();
            server.close();
        }
    });

    /** Starts two upstreams of one kind; the first request that arrives at either is handled by `first`, later ones by `then`. */
    const start = async (name: string, first: Handler, then: Handler) => {
        const urls: string[] = [];
        for (let count = 0; count < 2; count++) {
            const server = createServer((request, response) =>
                (requestCount++ === 0 ? first : then)(request, response)
            );
            servers.push(server);
            await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
            urls.push(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
        }
        await gateway.start({ [name]: urls[0]! });
        const { config } = gateway.kernel.board;
        const upstream = config.resources.upstreams.get(name)!;
        const upstreams = new Map([[name, upstream], ["other", { ...upstream, url: urls[1]! }]]);
        config.resources = { ...config.resources, upstreams };
        gateway.controller.remainingHedges = 1;
    };

    const authorization = `Bearer ${HarnessApiKey}`;
    const streamChat = async () => {
        const response = await fetch(`${gateway.url}/v1/chat/completions`, {
            method: "POST",
            headers: { authorization },
            body: JSON.stringify({ model: "assistant", messages: [{ role: "user", content: "x" }], stream: true }),
        });
        return { status: response.status, text: await response.text() };
    };
    const callService = async () => {
        const response = await fetch(`${gateway.url}/services/sales/a`, { headers: { authorization } });
        return { status: response.status, text: await response.text() };
    };

    describe("given a second upstream that may be tried meanwhile", () => {
        const calls = [
            { call: "a stream", name: "engine", send: streamChat, text: wholeStream },
            {
                call: "a plain service",
                name: "sales-service",
                send: callService,
                text: "ok",
            },
        ];
        const places = [{ place: "before its first byte", hasStarted: false }, {
            place: "within it",
            hasStarted: true,
        }];
        const cases = calls.flatMap(call =>
            places.flatMap(place =>
                otherUpstreams.map(([otherName, other]) => ({ ...call, ...place, otherName, other }))
            )
        );

        it.each(cases)(
            "delivers the whole answer: $call, pause $place, the other upstream $otherName (guards against sound answers that silence ends)",
            async ({ name, send, text, hasStarted, other }) => {
                await start(name, pauseAfter(hasStarted ? Math.floor(text.length / 2) : 0, text), other);
                expect(await send()).toEqual({ status: 200, text });
                expect(requestCount).toBe(hasStarted ? 1 : 2);
                const ends = gateway.controller.events.filter(event => event.type === "dispatchEnded");
                expect(ends.at(-1)).toMatchObject({ result: "complete" });
            },
        );

        it.each(calls.flatMap(call => [20, 300].map(gapMs => ({ ...call, gapMs }))))(
            "delivers the other's whole answer: $call, $gapMs ms after its first bytes (guards against bytes of a hedge that are lost)",
            async ({ name, send, text, gapMs }) => {
                await start(name, pauseAfter(0, text.replace("a", "late")), (request, response) => {
                    response.writeHead(200, headersFor(request));
                    response.write(text.slice(0, text.length / 2));
                    setTimeout(() => response.end(text.slice(text.length / 2)), gapMs);
                });
                expect(await send()).toEqual({ status: 200, text });
                expect(requestCount).toBe(2);
            },
        );
    });
});
