import { beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "../../base/clock.js";
import { RequestDurations } from "./requestDurations.js";
import { StopAdmission } from "./stopAdmission.js";

const Stream = { kind: "s", maxEvents: 101, isRepeatable: true, timeLimitMs: 15_000 };

describe("StopAdmission", () => {
    let clock: ManualClock;
    let durations: RequestDurations;
    let admission: StopAdmission;

    beforeEach(() => {
        clock = new ManualClock();
        durations = new RequestDurations(clock, { quantile: 1, slownessFactor: 1, pauseMs: 0 });
        admission = new StopAdmission(clock, durations);
    });

    /** Records streams that take 100 ms for the first event and 30 ms for each of 100 others. */
    function recordStreams(): void {
        for (let index = 0; index < 20; index++) {
            durations.recordStream("s", { firstEventMs: 100, eventCount: 101, elapsedMs: 3_100 });
        }
    }

    describe("given a host that does not stop", () => {
        it("begins every request (guards against refusals without a stop)", () => {
            expect(admission.requestsEndAtMs).toBeUndefined();
            expect(admission.findRefusal({ ...Stream, isRepeatable: false, timeLimitMs: 1e9 })).toBeUndefined();
        });
    });

    describe("given a repeatable request while the host stops", () => {
        it("begins it while its estimate fits (guards against streams that are begun and cut)", () => {
            recordStreams();
            admission.limit(7_700);
            clock.advance(4_600);
            expect(admission.findRefusal(Stream)).toBeUndefined();
            clock.advance(1);
            expect(admission.findRefusal(Stream)).toEqual({ neededMs: 3_100, remainingMs: 3_099, isEstimated: true });
        });

        it("begins it while its time limit fits (guards against an estimate that exceeds the deadline)", () => {
            recordStreams();
            admission.limit(7_700);
            clock.advance(6_700);
            expect(admission.findRefusal({ ...Stream, timeLimitMs: 1_000 })).toBeUndefined();
            expect(admission.findRefusal({ ...Stream, timeLimitMs: 1_001 })).toEqual({
                neededMs: 1_001,
                remainingMs: 1_000,
                isEstimated: false,
            });
        });

        it("goes by its time limit without an estimate (guards against unknown work that is begun)", () => {
            admission.limit(7_700);
            expect(admission.findRefusal(Stream)).toEqual({ neededMs: 15_000, remainingMs: 7_700, isEstimated: false });
            expect(admission.findRefusal({ ...Stream, timeLimitMs: 7_700 })).toBeUndefined();
        });
    });

    describe("given a request that may run only once while the host stops", () => {
        it("goes by its time limit (guards against an order that is cut because it was expected to be fast)", () => {
            recordStreams();
            admission.limit(7_700);
            const order = { ...Stream, isRepeatable: false };
            expect(admission.findRefusal(order)).toEqual({ neededMs: 15_000, remainingMs: 7_700, isEstimated: false });
            expect(admission.findRefusal({ ...order, timeLimitMs: 7_700 })).toBeUndefined();
        });
    });

    describe("given a limit that changes during the stop", () => {
        it("only shortens it (guards against requests begun for a time that the platform does not give)", () => {
            admission.limit(7_700);
            admission.limit(11_700);
            expect(admission.requestsEndAtMs).toBe(7_700);
            admission.limit(3_700);
            expect(admission.requestsEndAtMs).toBe(3_700);
        });
    });

    describe("given a time that has passed", () => {
        it("begins nothing that takes time (guards against work begun while requests are being ended)", () => {
            recordStreams();
            admission.limit(7_700);
            clock.advance(7_700);
            expect(admission.findRefusal({ ...Stream, timeLimitMs: 1 })).toBeDefined();
        });
    });
});
