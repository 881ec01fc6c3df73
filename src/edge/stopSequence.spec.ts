import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { ManualClock } from "../base/clock.js";
import type { CallerServer } from "./flow/callerServer.js";
import { RequestDurations } from "./stop/requestDurations.js";
import { StopAdmission } from "./stop/stopAdmission.js";
import { StopSequence } from "./stopSequence.js";

/** Step of the simulated time, in milliseconds. */
const StepMs = 5;

/** What the sequence does, with the times since the signal, in milliseconds. */
interface StopTimes {
    refusedAfterMs: number;
    cutAfterMs: number;
    endedAfterMs: number;
    /** Time by which requests that begin must end. */
    requestsEndMs: number;
}

describe("StopSequence", () => {
    beforeEach(() => void vi.useFakeTimers());

    afterEach(() => void vi.useRealTimers());

    /** Stops with a request that never ends and writes that are never answered. */
    const play = async (graceMs: number, reloadedGraceMs = graceMs): Promise<StopTimes> => {
        const clock = new ManualClock();
        const startedAtMs = clock.monotonicMs();
        const stopAdmission = new StopAdmission(clock, new RequestDurations(clock));
        const times = { refusedAfterMs: NaN, cutAfterMs: NaN, endedAfterMs: NaN, requestsEndMs: NaN };
        const elapsedMs = () => clock.monotonicMs() - startedAtMs;
        const callerServer = {
            openRequestCount: 1,
            expectedRequestCount: 0,
            isNextRequestExpected: false,
            stopAccepting: () => Promise.resolve(),
            endUnusedConnections: () => undefined,
            refuseRequests: () => times.refusedAfterMs = elapsedMs(),
            interruptRequests: () => times.cutAfterMs = elapsedMs(),
        };
        const sequence = new StopSequence(
            {
                clock,
                callerServer: callerServer as unknown as CallerServer,
                stopAdmission,
                writeLast: () => new Promise(() => undefined),
            },
            { graceMs, drainNoticeMs: 100 },
            startedAtMs,
        );
        sequence.shorten(reloadedGraceMs);
        times.requestsEndMs = stopAdmission.requestsEndAtMs! - startedAtMs;
        void sequence.run().then(() => times.endedAfterMs = elapsedMs());
        while (Number.isNaN(times.endedAfterMs) && elapsedMs() < 2 * graceMs) {
            clock.advance(StepMs);
            await vi.advanceTimersByTimeAsync(StepMs);
        }
        return times;
    };

    describe("given a grace period of 8 s", () => {
        it("cuts requests 500 ms before its end, and writes from 900 ms before it (guards against a change of longer periods)", async () => {
            const { refusedAfterMs, cutAfterMs, requestsEndMs } = await play(8_000);
            expect(requestsEndMs).toBe(7_500);
            expect(refusedAfterMs).toBeGreaterThanOrEqual(7_100);
            expect(refusedAfterMs).toBeLessThan(7_150);
            expect(cutAfterMs).toBeGreaterThanOrEqual(7_500);
            expect(cutAfterMs).toBeLessThan(7_550);
        });
    });

    describe("given any other grace period", () => {
        it.each([300, 500, 1_000, 1_500, 2_000, 2_900, 3_000, 3_500, 4_000, 12_000])(
            "cuts requests in its last sixth and ends before its end: %d ms (guards against a fixed reserve, which cuts most of a short period)",
            async graceMs => {
                const { cutAfterMs, endedAfterMs, requestsEndMs } = await play(graceMs);
                expect(requestsEndMs).toBeGreaterThan(graceMs * 5 / 6);
                expect(cutAfterMs).toBeGreaterThanOrEqual(requestsEndMs);
                expect(endedAfterMs).toBeLessThan(graceMs);
            },
        );

        it("does the same if the period is shortened during the stop (guards against reserves of the earlier period)", async () => {
            const { cutAfterMs, endedAfterMs } = await play(8_000, 2_000);
            expect(cutAfterMs).toBeGreaterThan(2_000 * 5 / 6);
            expect(endedAfterMs).toBeLessThan(2_000);
        });
    });
});
