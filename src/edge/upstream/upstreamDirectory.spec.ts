import { beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "../../base/clock.js";
import type { UpstreamEntry } from "../edgeTypes.js";
import { UpstreamDirectory } from "./upstreamDirectory.js";

const entry = (changes: Partial<UpstreamEntry> = {}): UpstreamEntry => ({
    id: "u1",
    service: "s",
    address: "10.0.0.1:80",
    zone: "a",
    slots: 6,
    isLeaving: false,
    startedAtMs: 1,
    ...changes,
});

describe("UpstreamDirectory", () => {
    let clock: ManualClock;
    let directory: UpstreamDirectory;
    const usable = (service = "s") => directory.findUsable(service).map(upstream => upstream.entry.id);

    beforeEach(() => {
        clock = new ManualClock();
        directory = new UpstreamDirectory(clock);
        directory.put(entry());
    });

    describe("given availability zones that may get no requests", () => {
        it("leaves out their upstreams, also after they were found (guards against sends to an evacuated zone)", () => {
            let filter: ((zone: string) => boolean) | undefined;
            directory = new UpstreamDirectory(clock, () => filter);
            directory.put(entry());
            directory.put(entry({ id: "u2", address: "10.0.0.2:80", zone: "b" }));
            const [first, second] = directory.findUsable("s");
            filter = zone => zone !== "a";
            expect(usable()).toEqual(["u2"]);
            expect([directory.isZoneUsable(first!), directory.isZoneUsable(second!)]).toEqual([false, true]);
            filter = undefined;
            expect(usable()).toEqual(["u1", "u2"]);
        });

        it("lists the zones of upstreams, and none before the first upstream", () => {
            expect(directory.zones).toEqual(new Set(["a"]));
            expect(new UpstreamDirectory(clock).zones).toBeUndefined();
        });
    });

    describe("given an upstream that is leaving", () => {
        it("gets no new requests from then on (guards against work for a draining upstream)", () => {
            directory.put(entry({ isLeaving: true }));
            expect(usable()).toEqual([]);
        });

        it("stays excluded although an older entry arrives late", () => {
            directory.put(entry({ isLeaving: true }));
            directory.put(entry());
            expect(usable()).toEqual([]);
        });
    });

    describe("given an entry that is removed", () => {
        it("gets no more requests at once while the store is healthy", () => {
            directory.remove("u1", 0);
            expect(usable()).toEqual([]);
        });

        it("is used for the grace period after an outage, and no longer if it does not return", () => {
            directory.replaceAll([], 2_000);
            expect(usable()).toEqual(["u1"]);
            clock.advance(2_001);
            directory.tick();
            expect(usable()).toEqual([]);
        });

        it("stays in use if it returns (guards against a fleet without upstreams after an outage)", () => {
            directory.replaceAll([], 2_000);
            directory.put(entry());
            clock.advance(5_000);
            directory.tick();
            expect(usable()).toEqual(["u1"]);
        });
    });

    describe("given an upstream that restarted under the same id", () => {
        it("uses new connections (guards against requests on the old process's connections)", () => {
            const before = directory.findUsable("s")[0];
            directory.put(entry({ startedAtMs: 2 }));
            expect(directory.findUsable("s")[0]).not.toBe(before);
            expect(before?.isLeaving).toBe(true);
        });
    });

    describe("given an address that another service reuses", () => {
        it("serves only the new service (guards against requests to the wrong service)", () => {
            directory.put(entry({ service: "other", startedAtMs: 2 }));
            expect(usable("s")).toEqual([]);
            expect(usable("other")).toEqual(["u1"]);
        });
    });

    describe("given a question about an incarnation", () => {
        it("knows the end of those that were listed only (guards against a host whose word is taken for unknown upstreams)", () => {
            directory.put(entry({ startedAtMs: 2 }));
            directory.put(entry({ id: "u2" }));
            directory.remove("u2", 0);
            const incarnations = [["u1", 1], ["u1", 2], ["u2", 1], ["u3", 1]] as const;
            const ended = incarnations.map(([id, startedAtMs]) => directory.hasEnded(id, startedAtMs));
            expect(ended).toEqual([true, false, true, false]);
        });
    });
});
