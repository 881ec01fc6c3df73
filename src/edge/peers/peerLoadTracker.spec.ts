import { describe, expect, it } from "vitest";
import { PeerLoadTracker } from "./peerLoadTracker.js";

describe("PeerLoadTracker", () => {
    describe("given reports of several hosts", () => {
        it("adds them up and ignores old ones (guards against counting the load of hosts that are down)", () => {
            const tracker = new PeerLoadTracker();
            tracker.recordReport({ k: "l", h: "a", i: "1", n: 1, l: { u: [2, 100] } }, 0);
            tracker.recordReport({ k: "l", h: "b", i: "1", n: 1, l: { u: [3, 0] } }, 900);
            expect(tracker.loadAt("u", 900)).toEqual({ openRequestCount: 5, waitingPrefillTokens: 100 });
            expect(tracker.loadAt("u", 1_500)).toEqual({ openRequestCount: 3, waitingPrefillTokens: 0 });
            expect(tracker.loadAt("v", 900)).toEqual({ openRequestCount: 0, waitingPrefillTokens: 0 });
        });

        it("ignores a report that arrives after a later one, and accepts one of a new process", () => {
            const loads = new PeerLoadTracker();
            loads.recordReport({ k: "l", h: "a", i: "1", n: 5, l: { u: [2, 0] } }, 0);
            loads.recordReport({ k: "l", h: "a", i: "1", n: 4, l: { u: [9, 0] } }, 0);
            expect(loads.loadAt("u", 0).openRequestCount).toBe(2);
            loads.recordReport({ k: "l", h: "a", i: "2", n: 1, l: { u: [1, 0] } }, 0);
            expect(loads.loadAt("u", 0).openRequestCount).toBe(1);
        });
    });
});
