import { beforeEach, describe, expect, it } from "vitest";
import { type HostRecord, hostRecordKey, HostRecordSchema } from "../journal/journalTypes.js";
import { createSealedRecord, HostRecordMonitor } from "./hostRecordMonitor.js";

const times = { firstReadMs: 0, suspicionMs: 15_000, readIntervalMs: 1_000 };
const liveRecord: HostRecord = { ...createSealedRecord(undefined, "h1~a"), state: "live", sequence: 3 };

describe("HostRecordMonitor", () => {
    let seals: { record: HostRecord; expectedVersion: number; }[];
    let counts: string[];
    let monitor: HostRecordMonitor;
    beforeEach(() => {
        seals = [];
        counts = [];
        monitor = new HostRecordMonitor("h1~a", {
            readRecord: () => undefined,
            writeSealedRecord: (record, expectedVersion) => seals.push({ record, expectedVersion }),
            incrementCounter: name => counts.push(name),
        }, times);
    });

    function read(value: unknown, version: number, nowMs: number): void {
        const object = { key: hostRecordKey("h1~a"), version, revision: version, value };
        monitor.handleReadResult({ status: "found", object }, nowMs);
    }

    describe("when the record does not change for the suspicion time", () => {
        it("seals the version that it read (guards against sealing a host that has written since)", () => {
            read(liveRecord, 7, 0);
            read(liveRecord, 7, 14_999);
            expect(seals).toEqual([]);
            read(liveRecord, 7, 15_000);
            expect(seals).toEqual([{ record: { ...liveRecord, state: "sealed" }, expectedVersion: 7 }]);
        });

        it("keeps the fields of a newer release (guards against losing the values of that release)", () => {
            read({ ...liveRecord, newField: 5 }, 7, 0);
            read({ ...liveRecord, newField: 5 }, 7, 15_000);
            expect(seals[0]!.record).toMatchObject({ state: "sealed", newField: 5 });
        });
    });

    describe("when the record changes", () => {
        it("restarts the suspicion time (guards against sealing a slow host)", () => {
            read(liveRecord, 7, 0);
            read(liveRecord, 8, 14_000);
            read(liveRecord, 8, 20_000);
            expect(seals).toEqual([]);
        });
    });

    describe("when the record cannot be read by this release", () => {
        it("does not seal it (guards against releasing tokens that its host has spent)", () => {
            const unreadable = { ...liveRecord, entries: "compressed" };
            expect(HostRecordSchema.safeParse(unreadable).success).toBe(false);
            read(unreadable, 7, 0);
            read(unreadable, 7, 30_000);
            expect(seals).toEqual([]);
            expect(counts).toEqual(["recovery.unreadableRecords", "recovery.unreadableRecords"]);
        });
    });

    describe("when the record is closed or sealed", () => {
        it("keeps it as the ended record", () => {
            read({ ...liveRecord, state: "closed" }, 7, 0);
            expect(monitor.endedRecord).toMatchObject({ state: "closed" });
        });
    });
});
