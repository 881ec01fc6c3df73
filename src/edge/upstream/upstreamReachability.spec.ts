import { createServer, type Server } from "node:net";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { SystemClock } from "../../base/clock.js";
import { Upstream } from "./upstream.js";

const MaxAgeMs = 250;

describe("Upstream.checkReachability", () => {
    let server: Server;
    let upstream: Upstream;
    let connectionCount: number;

    beforeEach(async () => {
        connectionCount = 0;
        server = createServer(() => connectionCount++);
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        upstream = new Upstream({
            id: "u",
            service: "s",
            address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
            zone: "a",
            slots: 8,
            isLeaving: false,
            startedAtMs: 0,
        }, new SystemClock());
    });

    afterEach(() => {
        upstream.pool.closeIdle();
        server.close();
    });

    describe("given bytes from the upstream within the limit", () => {
        it("opens no connection (guards against probes of upstreams that respond)", async () => {
            upstream.recordResponseBytes(upstream.beginDispatch(0, MaxAgeMs));
            expect(await upstream.checkReachability(MaxAgeMs)).toEqual({ isReachable: true, evidence: "bytes" });
            expect(upstream.pool.size).toBe(0);
        });
    });

    describe("given no bytes", () => {
        it("opens one connection for all checks within the limit (guards against a probe for each silent stream)", async () => {
            const checks = await Promise.all([1, 2, 3].map(() => upstream.checkReachability(MaxAgeMs)));
            const later = await upstream.checkReachability(60_000);
            expect([...checks, later].map(({ isReachable }) => isReachable)).toEqual([true, true, true, true]);
            expect([...checks, later].filter(({ evidence }) => evidence === "probe").length).toBe(1);
            await vi.waitFor(() => expect(connectionCount).toBe(1));
        });

        it("keeps the connection for later requests (guards against connections that are opened in vain)", async () => {
            await upstream.checkReachability(MaxAgeMs);
            expect(upstream.pool.size).toBe(1);
            upstream.pool.acquire(1_000);
            expect(upstream.pool.size).toBe(1);
        });

        it("closes the connection of an upstream that leaves (guards against connections that nobody closes)", async () => {
            const check = upstream.checkReachability(MaxAgeMs);
            upstream.markLeaving();
            expect((await check).isReachable).toBe(true);
            expect(upstream.pool.size).toBe(0);
        });

        it("reports an upstream that refuses connections (guards against waits for an upstream that is gone)", async () => {
            server.close();
            expect(await upstream.checkReachability(MaxAgeMs)).toMatchObject({ isReachable: false, evidence: "probe" });
            expect(upstream.pool.size).toBe(0);
        });

        it("trusts bytes that arrive during the check (guards against leaving an upstream that goes on)", async () => {
            const dispatch = upstream.beginDispatch(0, MaxAgeMs);
            server.close();
            const check = upstream.checkReachability(MaxAgeMs);
            upstream.recordResponseBytes(dispatch);
            expect((await check).isReachable).toBe(true);
        });
    });
});
