import { afterEach, describe, expect, it, vi } from "vitest";
import { log } from "../base/log.js";
import { EventLoopMonitor } from "./eventLoopMonitor.js";

describe("EventLoopMonitor", () => {
    afterEach(() => vi.restoreAllMocks());

    describe("given ticks of its timer", () => {
        it("records the delay of each tick", () => {
            const delays: number[] = [];
            const monitor = new EventLoopMonitor(20, delayMs => delays.push(delayMs));
            [0, 20, 45, 165, 180].forEach(nowMs => monitor.recordTick(nowMs));
            expect(delays).toEqual([0, 0, 5, 100, 0]);
            expect(monitor.latestDelayMs).toBe(0);
        });
    });

    describe("given an event that is handled after a delay", () => {
        it("knows how long it may have waited (guards against periods that begin at a signal and are counted from its handling)", () => {
            const monitor = new EventLoopMonitor(20, () => undefined);
            monitor.recordTick(0);
            monitor.recordTick(20);
            expect(monitor.maxWaitMs(25)).toBe(5);
            expect(monitor.maxWaitMs(720)).toBe(700);
            monitor.recordTick(740);
            expect(monitor.maxWaitMs(741)).toBe(700);
        });
    });

    describe("given an event loop that stays behind", () => {
        it("logs the largest delay once a second (guards against log volume that grows with the load)", () => {
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
