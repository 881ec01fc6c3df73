import { EventEmitter } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { describe, expect, it, vi } from "vitest";
import { CallerDisconnectMonitor } from "./callerDisconnectMonitor.js";

class FakeResponse extends EventEmitter {
    writableFinished = false;
}

const start = () => {
    const socket = new EventEmitter();
    const response = new FakeResponse();
    const monitor = new CallerDisconnectMonitor(
        { socket } as unknown as IncomingMessage,
        response as unknown as ServerResponse,
    );
    return { socket, response, monitor };
};

describe("CallerDisconnectMonitor", () => {
    describe("given a caller that disconnects before the response", () => {
        it("reports the disconnect once, at the end of the caller's bytes", () => {
            const { socket, response, monitor } = start();
            const listener = vi.fn();
            monitor.onDisconnect(listener);
            socket.emit("end");
            response.emit("close");
            expect(listener).toHaveBeenCalledTimes(1);
            expect(monitor.hasDisconnected).toBe(true);
        });

        it("reports it to a listener added later (guards against callers that disconnect while the body is read)", () => {
            const { response, monitor } = start();
            response.emit("close");
            const listener = vi.fn();
            monitor.onDisconnect(listener);
            expect(listener).toHaveBeenCalledTimes(1);
        });
    });

    describe("given a caller that has its whole response", () => {
        it("keeps no listener on the connection (guards against leaks on kept connections)", () => {
            const { socket, response, monitor } = start();
            response.writableFinished = true;
            response.emit("finish");
            socket.emit("end");
            expect(monitor.hasDisconnected).toBe(false);
            expect(socket.listenerCount("end")).toBe(0);
        });
    });
});
