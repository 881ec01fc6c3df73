import { describe, expect, it } from "vitest";
import { Counters } from "../../base/counters.js";
import { EdgeCounterNames } from "../metrics.js";
import { StopMonitor } from "./stopMonitor.js";

describe("StopMonitor", () => {
    describe("given requests from before and after the signal", () => {
        it("states when each arrived relative to the signal (guards against cases around a signal that cannot be dated)", () => {
            const monitor = new StopMonitor(new Counters());
            monitor.start(1_000);
            expect(monitor.recordCut({ arrivedAtMs: 400, neededMs: 9_000.4, remainingMs: 8_300 }))
                .toEqual({ arrivedAfterStopMs: -600, neededMs: 9_000, remainingMs: 8_300 });
            expect(monitor.recordRefused({ arrivedAtMs: 1_250, neededMs: undefined, remainingMs: undefined }))
                .toEqual({ arrivedAfterStopMs: 250, neededMs: undefined, remainingMs: undefined });
        });

        it("counts refused and cut ones separately (guards against refusals that hide cut requests)", () => {
            const counters = new Counters();
            const monitor = new StopMonitor(counters);
            const request = { arrivedAtMs: 0, neededMs: 1, remainingMs: 0 };
            monitor.recordRefused(request);
            monitor.recordRefused(request);
            monitor.recordCut(request);
            expect([monitor.refusedCount, monitor.cutCount]).toEqual([2, 1]);
            expect(counters.snapshot()).toEqual({
                [EdgeCounterNames.requestsRefusedByStop]: 2,
                [EdgeCounterNames.requestsCutByStop]: 1,
            });
        });
    });
});
