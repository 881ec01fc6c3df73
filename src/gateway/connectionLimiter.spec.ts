import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { ManualClock, SystemClock } from "../base/clock.js";
import { Counters } from "../base/counters.js";
import { CallerMemory } from "../scheduling/callerMemory.js";
import { ParseScheduler } from "../scheduling/parseScheduler.js";
import { ConnectionLimiter } from "./connectionLimiter.js";

const MaxOpenRequests = 4;
const RequestCount = 1_000;

describe("ConnectionLimiter", () => {
    let server: Server;
    let counters: Counters;
    let memory: CallerMemory;
    let open: ServerResponse[];
    let receivedBodies: string[];

    beforeEach(async () => {
        const clock = new SystemClock();
        const parsingClock = new ManualClock();
        [open, receivedBodies, counters] = [[], [], new Counters()];
        memory = new CallerMemory(10_000_000, clock);
        server = createServer((incoming, outgoing) =>
            limiter.accept(incoming, outgoing, () => {
                parsingClock.advance(incoming.url === "/expensive" ? 20 : 0);
                open.push(outgoing);
                let body = "";
                incoming.on("data", (bytes: Buffer) => body += bytes.toString());
                incoming.on("end", () => receivedBodies.push(body));
            })
        );
        const limits = {
            maxConnections: 2,
            maxOpenRequests: MaxOpenRequests,
            maxStallMs: 10_000,
            maxScarceStallMs: 10_000,
            maxStrayBytes: 32_768,
        };
        const parsing = new ParseScheduler(parsingClock, { expensiveParseMs: 50, maxParseContentionMs: 3_000 });
        const limiter = new ConnectionLimiter(server, {
            memory,
            parsing,
            clock,
            counters,
            listener: "gateway",
            limits,
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    });

    afterEach(() => {
        server.closeAllConnections();
        server.close();
    });

    const openConnection = (): ReturnType<typeof connect> => {
        const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
        socket.on("error", () => undefined);
        return socket;
    };

    describe("given pipelined requests with bodies", () => {
        it("begins few at a time, refuses none and answers in order (guards against lost and reordered requests)", async () => {
            const bodies = Array.from({ length: RequestCount }, (_, index) => "x".repeat(index % 7 * 500) + index);
            const socket = openConnection();
            let received = "";
            socket.on("data", (bytes: Buffer) => received += bytes.toString());
            bodies.forEach(body =>
                socket.write(`POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.length}\r\n\r\n${body}`)
            );
            let maxOpenCount = 0;
            for (let answeredCount = 0; answeredCount < RequestCount;) {
                await vi.waitFor(() => expect(open.length).toBeGreaterThan(0), { timeout: 5_000, interval: 1 });
                maxOpenCount = Math.max(maxOpenCount, open.length);
                for (const outgoing of open.splice(0)) {
                    outgoing.end(`answer ${answeredCount++};`);
                }
            }
            await vi.waitFor(() => expect(received.match(/answer \d+;/g)).toHaveLength(RequestCount), {
                timeout: 5_000,
            });
            expect(received.match(/answer \d+;/g)).toEqual(bodies.map((_, index) => `answer ${index};`));
            expect(receivedBodies).toEqual(bodies);
            expect(maxOpenCount).toBeLessThanOrEqual(MaxOpenRequests);
            await vi.waitFor(() => expect(memory.heldBytes).toBe(0));
        });
    });

    describe("given one connection above the limit", () => {
        it("closes the one that has sent least, not one whose request may run (guards against refused ordinary callers)", async () => {
            const running = openConnection();
            running.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
            await vi.waitFor(() => expect(open).toHaveLength(1));
            const silent = openConnection();
            let isSilentClosed = false;
            silent.once("close", () => isSilentClosed = true);
            await new Promise(resolve => silent.once("connect", resolve));
            const next = openConnection();
            next.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
            await vi.waitFor(() =>
                expect({ count: open.length, isSilentClosed }).toEqual({ count: 2, isSilentClosed: true })
            );
            expect(running.destroyed).toBe(false);
            expect(counters.get("gateway.connections.closedForLimit")).toBe(1);
        });

        it("closes the one that is most expensive to parse (guards against callers closed before their first request)", async () => {
            const expensive = openConnection();
            expensive.write("POST /expensive HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n");
            await vi.waitFor(() => expect(open.length).toBe(1));
            const fresh = openConnection();
            await new Promise(resolve => fresh.once("connect", resolve));
            let isExpensiveClosed = false;
            expensive.once("close", () => isExpensiveClosed = true);
            openConnection();
            await vi.waitFor(() => expect(isExpensiveClosed).toBe(true));
            fresh.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
            await vi.waitFor(() => expect(open.length).toBe(2));
            expect(fresh.destroyed).toBe(false);
        });
    });
});
