import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { ManualClock } from "../../base/clock.js";
import { CallerMemory } from "../../scheduling/callerMemory.js";
import { ParseScheduler } from "../../scheduling/parseScheduler.js";
import { type LimitCloseReason, ListenerLimits } from "./listenerLimits.js";

const MaxPipelined = 4;
const MaxConnections = 3;
const MaxOpenRequests = 12;
const MaxStrayBytes = 32_768;

/** Time that a slow read of the clock takes, in milliseconds. */
const SlowReadMs = 1;

const head = (id: number | string): string => `GET /${id} HTTP/1.1\r\nHost: h\r\n\r\n`;

describe("ListenerLimits", () => {
    let server: Server;
    let limits: ListenerLimits;
    let clock: ManualClock;
    let parsingClock: ManualClock;
    let closes: LimitCloseReason[];
    /** Whether each read of the clock for parsing takes time, so that all parsing is expensive. */
    let isSlow: boolean;
    let started: { readonly url: string; readonly response: ServerResponse; }[];
    let clients: (Socket & { text?: string; })[];

    /** Opens a connection and waits until the server has it. */
    async function open(text = ""): Promise<Socket & { text?: string; }> {
        const accepted = new Promise(resolve => server.once("connection", resolve));
        const client: Socket & { text?: string; } = connect((server.address() as AddressInfo).port, "127.0.0.1");
        client.text = "";
        client.on("data", bytes => client.text += bytes.toString());
        client.on("error", () => undefined);
        clients.push(client);
        client.write(text);
        await accepted;
        return client;
    }

    const respondToAll = (): void => started.splice(0).forEach(({ url, response }) => response.end(url));

    beforeEach(async () => {
        clock = new ManualClock();
        isSlow = false;
        parsingClock = new class extends ManualClock {
            override monotonicMs(): number {
                this.advance(isSlow ? SlowReadMs : 0);
                return super.monotonicMs();
            }
        }();
        closes = [];
        started = [];
        clients = [];
        server = createServer((request, response) =>
            limits.admit(request, response, () => {
                request.resume();
                parsingClock.advance(request.url === "/expensive" ? 20 : 0);
                started.push({ url: request.url!, response });
            })
        );
        limits = new ListenerLimits(server, {
            clock,
            memory: new CallerMemory(100_000, clock),
            parsing: new ParseScheduler(parsingClock, { expensiveParseMs: 50, maxParseContentionMs: 3_000 }),
            maxConnections: MaxConnections,
            maxPipelinedRequests: MaxPipelined,
            maxOpenRequests: MaxOpenRequests,
            unreadTimeoutMs: 3_000,
            maxStrayBytes: MaxStrayBytes,
            onClose: (_socket, reason) => closes.push(reason),
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    });

    afterEach(() => {
        clients.forEach(client => client.destroy());
        server.close();
        server.closeAllConnections();
    });

    describe("given many pipelined requests", () => {
        it("has a few open at a time and answers all in order (guards against requests refused or lost while they wait)", async () => {
            const client = await open(Array.from({ length: 300 }, (_, index) => head(index)).join(""));
            let mostOpen = 0;
            await vi.waitFor(() => {
                mostOpen = Math.max(mostOpen, started.length);
                respondToAll();
                expect(client.text).toContain("/299");
            }, { timeout: 5_000, interval: 1 });
            expect(mostOpen).toBe(MaxPipelined);
            const bodies = [...client.text!.matchAll(/\r\n\r\n\/(\d+)(?=HTTP|$)/g)].map(match => Number(match[1]));
            expect(bodies).toEqual(Array.from({ length: 300 }, (_, index) => index));
        });

        it("reads the body of the last one (guards against a request that waits for its own bytes)", async () => {
            const body = "b".repeat(200_000);
            const post = `POST /post HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
            const client = await open(head(0) + head(1) + head(2) + post + head("last"));
            await vi.waitFor(() => {
                respondToAll();
                expect(client.text).toContain("/last");
            }, 5_000);
        });

        it("forgets those whose connection closes (guards against open requests that are counted for ever)", async () => {
            const client = await open(head(0) + head(1) + head(2));
            await vi.waitFor(() => expect(started.length).toBe(3));
            const closed = started.map(({ response }) => new Promise(resolve => response.once("close", resolve)));
            client.resetAndDestroy();
            await Promise.all(closed);
            expect(limits.connectionCount).toBe(0);
        });
    });

    describe("given more connections than the limit", () => {
        it("closes the oldest without a request (guards against ordinary callers refused because of silent ones)", async () => {
            await open(head("first"));
            await vi.waitFor(() => expect(started.length).toBe(1));
            const silent = await open("GET /part");
            await open();
            const latest = await open(head("latest"));
            await vi.waitFor(() => expect(silent.destroyed).toBe(true));
            await vi.waitFor(() => expect(started.length).toBe(2));
            respondToAll();
            await vi.waitFor(() => expect(latest.text).toContain("/latest"));
            expect(closes).toEqual(["connections"]);
        });

        it("closes the most expensive unfinished request first (guards against ordinary callers refused because of a crowd)", async () => {
            const unfinished = (path: string): string =>
                `POST /${path} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n`;
            const upload = await open(unfinished("upload"));
            const expensive = await open(unfinished("expensive"));
            await vi.waitFor(() => expect(started.length).toBe(2));
            const idle = await open(head("idle"));
            await vi.waitFor(() => expect(started.length).toBe(3));
            started[2]!.response.end("/idle");
            await vi.waitFor(() => expect(idle.text).toContain("/idle"));
            const latest = await open(head("latest"));
            await vi.waitFor(() => expect(expensive.destroyed).toBe(true));
            await vi.waitFor(() => expect(started.length).toBe(4));
            respondToAll();
            await vi.waitFor(() => expect(latest.text).toContain("/latest"));
            expect([upload.destroyed, idle.destroyed]).toEqual([false, false]);
            expect(closes).toEqual(["connections"]);
        });

        it("closes the unfinished request that is silent longest (guards against slots that stopped uploads keep)", async () => {
            const unfinished = (path: string): string =>
                `POST /${path} HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n`;
            const upload = await open(unfinished("upload"));
            const silent = await open(unfinished("silent"));
            await open(head("running"));
            await vi.waitFor(() => expect(started.length).toBe(3));
            clock.advance(500);
            upload.write("b".repeat(50));
            await vi.waitFor(() => {
                limits.tick();
                clock.advance(100);
                expect(clock.monotonicMs()).toBeGreaterThan(1_500);
            }, { interval: 5 });
            upload.write("b".repeat(10));
            await new Promise(resolve => setTimeout(resolve, 20));
            limits.tick();
            const latest = await open(head("latest"));
            await vi.waitFor(() => expect(silent.destroyed).toBe(true));
            await vi.waitFor(() => expect(started.length).toBe(4));
            respondToAll();
            await vi.waitFor(() => expect(latest.text).toContain("/latest"));
            expect(upload.destroyed).toBe(false);
            expect(closes).toEqual(["connections"]);
        });

        it("leaves a connection time for its first request (guards against callers closed before they are read)", async () => {
            for (let index = 0; index < MaxConnections - 1; index++) {
                await open(head(index));
            }
            await vi.waitFor(() => expect(started.length).toBe(MaxConnections - 1));
            const fresh = await open();
            started[0]!.response.end("/0");
            await vi.waitFor(() => expect(clients[0]!.text).toContain("/0"));
            await open();
            await vi.waitFor(() => expect(clients[0]!.destroyed).toBe(true));
            clock.advance(2_000);
            await open();
            await vi.waitFor(() => expect(fresh.destroyed).toBe(true));
        });

        it("closes the new one while each has an open request (guards against requests that are broken off)", async () => {
            for (let index = 0; index < MaxConnections; index++) {
                await open(head(index));
            }
            await vi.waitFor(() => expect(started.length).toBe(MaxConnections));
            const latest = await open();
            await vi.waitFor(() => expect(latest.destroyed).toBe(true));
            respondToAll();
            await vi.waitFor(() => expect(clients.slice(0, 3).every(client => client.destroyed)).toBe(false));
        });
    });

    describe("given expensive requests that compete", () => {
        /** Opens connections whose unfinished requests have taken time, and lets them wait for each other until some are evicted. */
        async function compete(
            paths: readonly string[],
            onStarted: (path: string, index: number) => void,
        ): Promise<void> {
            for (const [index, path] of paths.entries()) {
                await open(`POST /${path} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n`);
                await vi.waitFor(() => expect(started.length).toBe(index + 1));
                onStarted(path, index);
            }
            await vi.waitFor(() => {
                clients.forEach(client => client.write("1\r\nb\r\n".repeat(2_000)));
                expect(closes.length + refused.length).toBeGreaterThan(0);
            }, { timeout: 10_000, interval: 5 });
        }

        let refused: number[];

        beforeEach(() => {
            refused = [];
            isSlow = true;
        });

        it("refuses the one that began last, by its owner (guards against callers that hear nothing)", async () => {
            await compete(
                ["first", "last"],
                (_path, index) => limits.onEvict(started[index]!.response.req.socket, () => refused.push(index)),
            );
            expect(refused).toEqual([1]);
            expect(closes).toEqual([]);
        });

        it("closes one that nobody refuses (guards against connections that go on for ever)", async () => {
            await compete(["first", "last"], () => undefined);
            expect(closes).toEqual(["parsing"]);
        });
    });

    describe("given bytes that belong to no request", () => {
        it("closes the connection (guards against line ends without end)", async () => {
            const client = await open("\r\n".repeat(MaxStrayBytes));
            await vi.waitFor(() => expect(client.destroyed).toBe(true));
            expect(closes).toEqual(["stray"]);
        });

        it("answers a request behind a few line ends (guards against clients refused that send one too many)", async () => {
            const client = await open();
            for (let index = 0; index < 20; index++) {
                client.write("\r\n".repeat(5_000) + head(index));
                await vi.waitFor(() => expect(started.length).toBe(1));
                respondToAll();
            }
            await vi.waitFor(() => expect(client.text).toContain("/19"));
            expect(closes).toEqual([]);
        });

        it("closes the connection after the response to the request before them (guards against responses that are lost)", async () => {
            const client = await open(head("first") + "\r\n".repeat(MaxStrayBytes));
            await vi.waitFor(() => expect(started.length).toBe(1));
            client.write("\r\n".repeat(20_000_000));
            await new Promise(resolve => setTimeout(resolve, 100));
            expect(client.writableLength).toBeGreaterThan(0);
            respondToAll();
            await vi.waitFor(() => expect(client.text).toContain("/first"));
            await vi.waitFor(() => expect(client.destroyed).toBe(true), { timeout: 5_000 });
            expect(closes).toEqual(["stray"]);
        });
    });

    describe("given unread responses beyond the memory", () => {
        it("closes their connection (guards against responses that take all memory)", async () => {
            const client = await open();
            client.pause();
            client.write(head(0));
            await vi.waitFor(() => expect(started.length).toBe(1));
            started[0]!.response.write(Buffer.alloc(20_000_000));
            clock.advance(200);
            limits.tick();
            expect(closes).toEqual(["memory"]);
        });
    });
});
