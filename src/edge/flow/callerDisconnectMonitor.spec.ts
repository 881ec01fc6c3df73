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
    const caller = new CallerDisconnectMonitor(
        { socket } as unknown as IncomingMessage,
        response as unknown as ServerResponse,
    );
    return { socket, response, caller };
};

describe("CallerDisconnectMonitor", () => {
    describe("given a caller that closes before the answer", () => {
        it("tells once, at the end of the caller's bytes", () => {
            const { socket, response, caller } = start();
            const onGone = vi.fn();
            caller.onDisconnect(onGone);
            socket.emit("end");
            response.emit("close");
            expect(onGone).toHaveBeenCalledTimes(1);
            expect(caller.hasDisconnected).toBe(true);
        });

        it("tells one who asks later (guards against requests whose caller left while the body was read)", () => {
            const { response, caller } = start();
            response.emit("close");
            const onGone = vi.fn();
            caller.onDisconnect(onGone);
            expect(onGone).toHaveBeenCalledTimes(1);
        });
    });

    describe("given a caller that has its answer", () => {
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
