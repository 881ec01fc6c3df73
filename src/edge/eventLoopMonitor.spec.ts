import { afterEach, describe, expect, it, vi } from "vitest";
import { log } from "../base/log.js";
import { EventLoopMonitor } from "./eventLoopMonitor.js";

describe("EventLoopMonitor", () => {
    afterEach(() => vi.restoreAllMocks());

    describe("given turns of its timer", () => {
        it("records by how much each is late", () => {
            const delays: number[] = [];
            const loop = new EventLoopMonitor(20, delayMs => delays.push(delayMs));
            [0, 20, 45, 165, 180].forEach(nowMs => loop.recordTick(nowMs));
            expect(delays).toEqual([0, 0, 5, 100, 0]);
            expect(loop.latestDelayMs).toBe(0);
        });
    });

    describe("given a loop that is behind for long", () => {
        it("logs the largest delay once a second (guards against a log that grows with the load)", () => {
            const lines = vi.spyOn(log, "info").mockImplementation(() => undefined);
            const loop = new EventLoopMonitor(20, () => undefined);
            for (let turn = 0; turn <= 20; turn++) {
                loop.recordTick(turn * 120 + (turn === 5 ? 50 : 0));
            }
            expect(lines.mock.calls.map(([, fields]) => (fields as { largestMs: number; }).largestMs)).toEqual([
                100,
                150,
                100,
            ]);
        });
    });
});
