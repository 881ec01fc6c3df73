import { describe, expect, it } from "vitest";
import { SeededRandom } from "../base/random.js";
import { EventTimeEstimate, relativeTimes } from "./upstreamSpeeds.js";

describe("EventTimeEstimate", () => {
    describe("given intervals with pauses while prompts are read", () => {
        it("finds the usual interval (guards against engines that count as slow because long prompts were read there)", () => {
            const random = new SeededRandom(1);
            const estimate = new EventTimeEstimate();
            for (let count = 0; count < 300; count++) {
                estimate.record(count % 5 === 0 ? 300 : 29 + random.next() * 2);
                estimate.record(0.1);
            }
            expect(estimate.medianMs).toBeGreaterThan(27);
            expect(estimate.medianMs).toBeLessThan(33);
        });

        it("follows an upstream that becomes slower", () => {
            const estimate = new EventTimeEstimate();
            Array.from({ length: 200 }, () => estimate.record(30));
            Array.from({ length: 50 }, () => estimate.record(60));
            expect(estimate.medianMs).toBeGreaterThan(55);
        });

        it("is unknown after few intervals", () => {
            const estimate = new EventTimeEstimate();
            Array.from({ length: 29 }, () => estimate.record(30));
            expect(estimate.medianMs).toBeUndefined();
        });
    });
});

describe("relativeTimes", () => {
    describe("given the times of some upstreams", () => {
        it("is the ratio to the median, within bounds, and 1 where unknown (guards against upstreams that get nothing and are never measured)", () => {
            const relativeTimeOf = relativeTimes([30, 30, undefined, 30, 39, 300]);
            expect(relativeTimeOf(39)).toBeCloseTo(1.3);
            expect(relativeTimeOf(300)).toBe(3);
            expect(relativeTimeOf(undefined)).toBe(1);
        });

        it("is 1 while few are known", () => {
            expect(relativeTimes([30, 60, undefined])(60)).toBe(1);
        });
    });
});
