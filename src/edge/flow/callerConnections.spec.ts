import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { connect } from "node:net";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { SystemClock } from "../../base/clock.js";
import { Counters } from "../../base/counters.js";
import { log } from "../../base/log.js";
import { CallerConnections } from "./callerConnections.js";

describe("CallerConnections", () => {
    let server: Server;
    let connections: CallerConnections;
    const counters = new Counters();

    beforeEach(async () => {
        server = createServer();
        connections = new CallerConnections(server, new SystemClock(), counters);
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    });

    afterEach(() => {
        vi.restoreAllMocks();
        server.close();
        server.closeAllConnections();
    });

    describe("given a connection that is closed for two reasons", () => {
        it("logs and counts the first one, once (guards against closes that nobody can explain)", async () => {
            const info = vi.spyOn(log, "info").mockImplementation(() => undefined);
            const client = connect((server.address() as AddressInfo).port, "127.0.0.1");
            const socket = await new Promise<Parameters<CallerConnections["recordClose"]>[0]>(resolve =>
                server.once("connection", resolve)
            );
            connections.recordClose(socket, "stop");
            connections.recordClose(socket, "idle");
            connections.recordRequestAfterClose(socket, "r1");
            client.destroy();
            expect(counters.snapshot()).toEqual({
                "edge.connections.closed.stop": 1,
                "edge.requests.afterClose": 1,
            });
            expect(info.mock.calls.map(([message, fields]) => [message, (fields as { reason: string; }).reason]))
                .toEqual([
                    ["caller connection closed", "stop"],
                    ["request not run: its connection is closed", "stop"],
                ]);
        });
    });
});
