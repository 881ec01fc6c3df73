import { describe, expect, it } from "vitest";
import { ManualClock } from "../../base/clock.js";
import { OutgoingLinkBacklog } from "./outgoingLinkBacklog.js";

describe("OutgoingLinkBacklog", () => {
    describe("given a link of a known rate", () => {
        it("counts what is written until the link has carried it", () => {
            const clock = new ManualClock();
            const link = new OutgoingLinkBacklog(1_000_000, clock);
            link.recordWritten(146_000);
            expect(link.backlogMs).toBeCloseTo(150);
            clock.advance(100);
            expect(link.backlogMs).toBeCloseTo(50);
            link.recordWritten(1_460);
            expect(link.backlogMs).toBeCloseTo(51.5);
            clock.advance(500);
            expect(link.backlogMs).toBe(0);
        });
    });

    describe("given a link of an unknown rate", () => {
        it("has no backlog (guards against requests that wait for nothing)", () => {
            const link = new OutgoingLinkBacklog(undefined, new ManualClock());
            link.recordWritten(1_000_000_000);
            expect(link.backlogMs).toBe(0);
        });
    });
});
