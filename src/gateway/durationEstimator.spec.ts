import { beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "../base/clock.js";
import { DurationEstimator } from "./durationEstimator.js";

describe("DurationEstimator", () => {
    let clock: ManualClock;
    beforeEach(() => {
        clock = new ManualClock();
    });

    /** Records one response a second. */
    const createEstimator = (perTokenMs: readonly number[]): DurationEstimator => {
        const estimator = new DurationEstimator(clock);
        perTokenMs.forEach(value => {
            clock.advance(1_000);
            estimator.record("chat", { baseMs: 100, perTokenMs: value });
        });
        return estimator;
    };

    describe("given few responses", () => {
        it("estimates nothing (guards against an estimate from a single fast response)", () => {
            expect(createEstimator([1, 1, 1, 1]).estimateMs("chat", 10)).toBeUndefined();
            expect(createEstimator([1, 1, 1, 1, 1]).estimateMs("other", 10)).toBeUndefined();
        });
    });

    describe("given responses of different speed", () => {
        it("goes by the slow ones (guards against streams that end later than estimated)", () => {
            const estimator = createEstimator([10, 10, 10, 10, 10, 10, 10, 10, 50, 50]);
            expect(estimator.estimateMs("chat", 100)).toBeGreaterThan(100 + 50 * 100);
        });

        it("grows with the tokens that the request allows (guards against long streams judged like short ones)", () => {
            const estimator = createEstimator([10, 10, 10, 10, 10]);
            expect(estimator.estimateMs("chat", 1_000)! - estimator.estimateMs("chat", 100)!).toBeGreaterThan(9_000);
        });

        it("forgets old ones (guards against an engine that counts as slow for good)", () => {
            const estimator = createEstimator([...Array<number>(64).fill(500), ...Array<number>(64).fill(10)]);
            expect(estimator.estimateMs("chat", 100)).toBeLessThan(3_000);
        });
    });

    describe("given responses of more than a minute ago", () => {
        it("estimates nothing (guards against an estimate from the load of hours ago)", () => {
            const estimator = createEstimator([10, 10, 10, 10, 10]);
            clock.advance(50_000);
            expect(estimator.estimateMs("chat", 100)).toBeDefined();
            clock.advance(10_000);
            expect(estimator.estimateMs("chat", 100)).toBeUndefined();
        });
    });

    describe("given more kinds than are kept", () => {
        const recordKinds = (estimator: DurationEstimator, prefix: string, kindCount: number): void => {
            for (let number = 0; number < kindCount; number++) {
                estimator.record(`${prefix}${number}`, { baseMs: 100, perTokenMs: 10 });
            }
        };

        it("drops the one recorded least recently (guards against memory that grows with the kinds)", () => {
            const estimator = createEstimator([10, 10, 10, 10, 10]);
            recordKinds(estimator, "a", 255);
            expect(estimator.estimateMs("chat", 100)).toBeDefined();
            recordKinds(estimator, "b", 1);
            expect(estimator.estimateMs("chat", 100)).toBeUndefined();
        });

        it("keeps one in use (guards against rare kinds that displace a busy one)", () => {
            const estimator = createEstimator([10, 10, 10, 10, 10]);
            recordKinds(estimator, "a", 255);
            estimator.record("chat", { baseMs: 100, perTokenMs: 10 });
            recordKinds(estimator, "b", 255);
            expect(estimator.estimateMs("chat", 100)).toBeDefined();
        });
    });
});
