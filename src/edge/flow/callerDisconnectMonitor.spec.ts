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
    return { socket, response, caller: monitor };
};

describe("CallerDisconnectMonitor", () => {
    describe("given a caller that disconnects before the response", () => {
        it("reports the disconnect once, at the end of the caller's bytes", () => {
            const { socket, response, caller } = start();
            const listener = vi.fn();
            caller.onDisconnect(listener);
            socket.emit("end");
            response.emit("close");
            expect(listener).toHaveBeenCalledTimes(1);
            expect(caller.hasDisconnected).toBe(true);
        });

        it("reports it to a listener that is added later (guards against requests whose caller disconnects while the body is read)", () => {
            const { response, caller } = start();
            response.emit("close");
            const listener = vi.fn();
            caller.onDisconnect(listener);
            expect(listener).toHaveBeenCalledTimes(1);
        });
    });

    describe("given a caller that has its whole response", () => {
        it("keeps no listener on the connection (guards against leaks on kept connections)", () => {
            const { socket, response, caller } = start();
            response.writableFinished = true;
            response.emit("finish");
            socket.emit("end");
            expect(caller.hasDisconnected).toBe(false);
            expect(socket.listenerCount("end")).toBe(0);
        });
    });
});
