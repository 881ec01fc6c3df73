import { describe, expect, it } from "vitest";
import { DurationEstimator } from "./durationEstimator.js";

describe("DurationEstimator", () => {
    const createEstimator = (perTokenMs: readonly number[]): DurationEstimator => {
        const estimator = new DurationEstimator();
        perTokenMs.forEach(value => estimator.record("chat", { baseMs: 100, perTokenMs: value }));
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
});
