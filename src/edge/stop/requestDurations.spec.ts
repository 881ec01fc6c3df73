import { describe, expect, it } from "vitest";
import { ManualClock } from "../../base/clock.js";
import { type DurationMargins, RequestDurations } from "./requestDurations.js";

const NoMargins: DurationMargins = { quantile: 1, slownessFactor: 1, pauseMs: 0 };

/** Records streams of which each has its first event after 100 ms and one more every 30 ms. */
function recordStreams(durations: RequestDurations, streamCount: number, eventCount = 100): void {
    for (let index = 0; index < streamCount; index++) {
        durations.recordStream("s", { firstEventMs: 100, eventCount, elapsedMs: 100 + 30 * (eventCount - 1) });
    }
}

describe("RequestDurations", () => {
    describe("given recent streams", () => {
        it("scales their pace to the events of the request (guards against an estimate that ignores its length)", () => {
            const durations = new RequestDurations(new ManualClock(), NoMargins);
            recordStreams(durations, 20);
            expect(durations.estimateMs({ kind: "s", maxEvents: 1 })).toBe(100);
            expect(durations.estimateMs({ kind: "s", maxEvents: 221 })).toBe(100 + 220 * 30);
            expect(durations.estimateMs({ kind: "s", maxEvents: Infinity })).toBe(Infinity);
        });

        it("adds the margins (guards against streams that are cut by one pause or a slower upstream)", () => {
            const durations = new RequestDurations(new ManualClock(), {
                quantile: 1,
                slownessFactor: 1.5,
                pauseMs: 2_000,
            });
            recordStreams(durations, 20);
            expect(durations.estimateMs({ kind: "s", maxEvents: 11 })).toBe((100 + 300) * 1.5 + 2_000);
        });

        it("covers the slower upstreams of a service (guards against an estimate from the mean)", () => {
            const durations = new RequestDurations(new ManualClock(), { ...NoMargins, quantile: 0.95 });
            recordStreams(durations, 18);
            for (let index = 0; index < 2; index++) {
                durations.recordStream("s", { firstEventMs: 400, eventCount: 101, elapsedMs: 400 + 60 * 100 });
            }
            expect(durations.estimateMs({ kind: "s", maxEvents: 101 })).toBe(400 + 60 * 100);
        });

        it("weights the pace by events (guards against a pause in a short stream that counts for long ones)", () => {
            const durations = new RequestDurations(new ManualClock(), { ...NoMargins, quantile: 0.95 });
            recordStreams(durations, 18);
            for (let index = 0; index < 2; index++) {
                durations.recordStream("s", { firstEventMs: 100, eventCount: 2, elapsedMs: 1_600 });
            }
            expect(durations.estimateMs({ kind: "s", maxEvents: 101 })).toBe(100 + 30 * 100);
        });

        it("has no pace from streams of one event or none (guards against an estimate that is not a number)", () => {
            const durations = new RequestDurations(new ManualClock());
            recordStreams(durations, 20, 1);
            durations.recordStream("s", { firstEventMs: 0, eventCount: 0, elapsedMs: 50 });
            expect(durations.estimateMs({ kind: "s", maxEvents: 10 })).toBeUndefined();
        });
    });

    describe("given recent plain responses", () => {
        it("estimates plain responses only (guards against streams that are taken for plain responses)", () => {
            const durations = new RequestDurations(new ManualClock(), NoMargins);
            for (let index = 0; index < 20; index++) {
                durations.recordResponse("s", 40 + index);
            }
            expect(durations.estimateMs({ kind: "s", maxEvents: undefined })).toBe(59);
            expect(durations.estimateMs({ kind: "s", maxEvents: 10 })).toBeUndefined();
            expect(durations.estimateMs({ kind: "t", maxEvents: undefined })).toBeUndefined();
        });
    });

    describe("given few or old samples", () => {
        it("makes no estimate (guards against one request that stands for all)", () => {
            const durations = new RequestDurations(new ManualClock());
            recordStreams(durations, 7);
            expect(durations.estimateMs({ kind: "s", maxEvents: 10 })).toBeUndefined();
        });

        it("forgets old samples (guards against the pace of an hour ago)", () => {
            const clock = new ManualClock();
            const durations = new RequestDurations(clock);
            recordStreams(durations, 20);
            expect(durations.estimateMs({ kind: "s", maxEvents: 10 })).toBeDefined();
            clock.advance(60_000);
            expect(durations.estimateMs({ kind: "s", maxEvents: 10 })).toBeUndefined();
        });
    });

    describe("given a busy service", () => {
        it("keeps samples of the whole last minute (guards against an estimate from the last instant)", () => {
            const clock = new ManualClock();
            const durations = new RequestDurations(clock, NoMargins);
            for (let second = 0; second < 50; second++) {
                clock.advance(1_000);
                for (let index = 0; index < 100; index++) {
                    durations.recordResponse("s", second === 0 ? 500 : 50);
                }
            }
            expect(durations.estimateMs({ kind: "s", maxEvents: undefined })).toBe(500);
        });

        it("follows a slower pace within seconds (guards against many old samples that hide it)", () => {
            const clock = new ManualClock();
            const durations = new RequestDurations(clock, { ...NoMargins, quantile: 0.95 });
            for (let elapsedMs = 0; elapsedMs < 64_000; elapsedMs += 10) {
                clock.advance(10);
                durations.recordResponse("s", elapsedMs < 60_000 ? 50 : 100);
            }
            expect(durations.estimateMs({ kind: "s", maxEvents: undefined })).toBe(100);
        });
    });

    describe("given services that come and go", () => {
        it("drops the oldest ones (guards against memory that grows with each new configuration)", () => {
            const durations = new RequestDurations(new ManualClock());
            for (let service = 0; service < 300; service++) {
                for (let index = 0; index < 8; index++) {
                    durations.recordResponse(`s${service}`, 10);
                }
            }
            expect(durations.estimateMs({ kind: "s0", maxEvents: undefined })).toBeUndefined();
            expect(durations.estimateMs({ kind: "s299", maxEvents: undefined })).toBeDefined();
        });
    });

    describe("given streams whose events arrive at once", () => {
        it("makes no estimate that is not a number (guards against refusals that state no time)", () => {
            const durations = new RequestDurations(new ManualClock());
            for (let index = 0; index < 20; index++) {
                durations.recordStream("s", { firstEventMs: 100, eventCount: 11, elapsedMs: 100 });
            }
            expect(durations.estimateMs({ kind: "s", maxEvents: Number.POSITIVE_INFINITY })).not.toBeNaN();
        });
    });
});
