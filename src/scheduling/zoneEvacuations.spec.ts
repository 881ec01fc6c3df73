import { beforeEach, describe, expect, it } from "vitest";
import { versionInHistory } from "../platform/storeHistory.js";
import { SuspensionDetector } from "./suspensionDetector.js";
import { ZoneEvacuations } from "./zoneEvacuations.js";

describe("ZoneEvacuations", () => {
    let evacuations: ZoneEvacuations;

    beforeEach(() => {
        evacuations = new ZoneEvacuations();
    });

    describe("before the first list", () => {
        it("is not informed (guards against a starting host that sends to an evacuated zone)", () => {
            expect([evacuations.isInformed, evacuations.isReliable(0)]).toEqual([false, false]);
        });

        it("is informed by an empty list (guards against hosts that never become ready)", () => {
            evacuations.replaceAll([], 7, 0);
            expect([evacuations.isInformed, evacuations.isReliable(0)]).toEqual([true, true]);
        });
    });

    describe("given lists with versions", () => {
        it("reports what has started and ended", () => {
            expect(evacuations.replaceAll(["a", "b"], 5, 0)).toEqual({ started: ["a", "b"], ended: [] });
            expect(evacuations.replaceAll(["b", "c"], 6, 0)).toEqual({ started: ["c"], ended: ["a"] });
            expect(["a", "b", "c"].map(zone => evacuations.isEvacuated(zone))).toEqual([false, true, true]);
        });

        it("ignores an older one (guards against a late message that ends an evacuation)", () => {
            evacuations.replaceAll(["a"], 6, 0);
            expect(evacuations.replaceAll([], 5, 0)).toBeUndefined();
            expect(evacuations.isEvacuated("a")).toBe(true);
        });

        it("takes one of a later history although its number is lower (guards against a restored store that is ignored)", () => {
            evacuations.replaceAll(["a"], versionInHistory(1, 900), 0);
            evacuations.replaceAll(["b"], versionInHistory(2, 3), 0);
            expect([...evacuations.zones]).toEqual(["b"]);
        });

        it("ignores one of an earlier history although its number is higher", () => {
            evacuations.replaceAll(["a"], versionInHistory(2, 3), 0);
            expect(evacuations.replaceAll([], versionInHistory(1, 900), 0)).toBeUndefined();
            expect(evacuations.isEvacuated("a")).toBe(true);
        });

        it("keeps the version with which a zone was first listed, until its evacuation ends", () => {
            evacuations.replaceAll(["a"], 5, 0);
            evacuations.replaceAll(["a"], 8, 0);
            expect(evacuations.startVersionOf("a")).toBe(5);
            evacuations.replaceAll([], 9, 0);
            evacuations.replaceAll(["a"], 10, 0);
            expect(evacuations.startVersionOf("a")).toBe(10);
        });

        it("is active while a zone is evacuated and for some time after (guards against hosts that miss the end)", () => {
            expect(evacuations.isActive(0, 100)).toBe(false);
            evacuations.replaceAll(["a"], 5, 0);
            expect(evacuations.isActive(5_000, 100)).toBe(true);
            evacuations.replaceAll([], 6, 6_000);
            expect([evacuations.isActive(6_099, 100), evacuations.isActive(6_100, 100)]).toEqual([true, false]);
        });
    });

    describe("after a suspension", () => {
        beforeEach(() => {
            evacuations.replaceAll([], 5, 0);
            evacuations.onSuspended(10_000);
        });

        it("is not reliable until it is confirmed (guards against sends by what was known before)", () => {
            expect(evacuations.isReliable(10_500)).toBe(false);
            evacuations.confirm();
            expect(evacuations.isReliable(10_500)).toBe(true);
        });

        it("is reliable again after a second (guards against an isolated host that refuses forever)", () => {
            expect([evacuations.isReliable(10_999), evacuations.isReliable(11_000)]).toEqual([false, true]);
        });

        it("does not count a new list as a confirmation, as it may have been sent before", () => {
            evacuations.replaceAll(["a"], 6, 10_100);
            expect(evacuations.isReliable(10_100)).toBe(false);
        });
    });
});

describe("SuspensionDetector", () => {
    describe("given observations of both clocks", () => {
        it.each([
            ["regular ticks", [20, 20], undefined],
            ["a busy event loop", [499, 499], undefined],
            ["a stopped process", [500, 500], 500],
            ["a suspended machine, whose monotonic clock stood still", [20, 520], 520],
            ["a wall clock that is set back", [20, -3_000], undefined],
        ])("judges %s (guards against a suspension that is missed or invented)", (_name, [elapsed, wall], expected) => {
            const detector = new SuspensionDetector();
            detector.observe(1_000, 50_000);
            expect(detector.observe(1_000 + elapsed!, 50_000 + wall!)).toBe(expected);
        });

        it("does not add up small differences (guards against a clock that is slewed)", () => {
            const detector = new SuspensionDetector();
            const gaps = Array.from({ length: 100 }, (_, index) => detector.observe(index * 20, index * 30));
            expect(gaps.every(gap => gap === undefined)).toBe(true);
        });
    });
});
