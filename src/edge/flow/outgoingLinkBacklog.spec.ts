import { describe, expect, it } from "vitest";
import { ManualClock } from "../../base/clock.js";
import { OutgoingLinkBacklog } from "./outgoingLinkBacklog.js";

describe("OutgoingLinkBacklog", () => {
    describe("given a link of known capacity", () => {
        it("counts written bytes until the link has transmitted them", () => {
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

    describe("given a link of unknown capacity", () => {
        it("has no backlog (guards against delays that do not exist)", () => {
            const link = new OutgoingLinkBacklog(undefined, new ManualClock());
            link.recordWritten(1_000_000_000);
            expect(link.backlogMs).toBe(0);
        });
    });
});
