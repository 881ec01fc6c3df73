import { beforeEach, describe, expect, it } from "vitest";
import type { HostRecord } from "./journalTypes.js";
import { RecordWriter } from "./recordWriter.js";

function createRecord(sequence: number, limitTokens: number, state: HostRecord["state"] = "live"): HostRecord {
    return {
        hostId: "a",
        incarnation: "1",
        zone: "",
        state,
        sequence,
        configVersion: 1,
        entries: { b: { limitTokens, settledTokens: 0, sentTokens: 0, receivedTokens: 0 } },
        bills: [],
        billSegments: 0,
        ticketLimit: 0,
    };
}

describe("RecordWriter", () => {
    let writer: RecordWriter;
    let sent: { readonly record: HostRecord; readonly expectedVersion: number; }[];
    const getLimits =
        (): (number | undefined)[] => [writer.getLowestLimits().get("b"), writer.getHighestLimits().get("b")];
    const reportConflict = (record: HostRecord, version: number) =>
        writer.handleWriteResult(
            { status: "conflict", current: { key: "", version, revision: 1, value: record } },
            300,
        );

    beforeEach(() => {
        sent = [];
        writer = new RecordWriter((record, expectedVersion) => sent.push({ record, expectedVersion }), 200);
        writer.write(createRecord(1, 100));
        writer.handleWriteResult({ status: "applied", version: 1 }, 0);
    });

    describe("when a higher limit is being written", () => {
        it("counts the lower one (guards against spending before the limit is declared)", () => {
            writer.write(createRecord(2, 200));
            expect(getLimits()).toEqual([100, 200]);
            writer.handleWriteResult({ status: "applied", version: 2 }, 10);
            expect(getLimits()).toEqual([200, 200]);
        });
    });

    describe("when the result of writing a lower limit is lost", () => {
        beforeEach(() => {
            writer.write(createRecord(2, 30));
            writer.handleWriteResult({ status: "unknown", reason: "timeout" }, 10);
        });

        it("counts the lower one and repeats the same write (guards against spending above a limit that was lowered)", () => {
            expect(getLimits()).toEqual([30, 100]);
            writer.retry(300);
            expect(sent[2]).toEqual(sent[1]);
            writer.handleWriteResult({ status: "refused", reason: "rate limit" }, 300);
            expect(getLimits()).toEqual([30, 100]);
        });

        it("recognises its own record by the sequence (guards against reporting a seal that did not happen)", () => {
            writer.retry(300);
            expect(reportConflict(createRecord(2, 30), 2).status).toBe("acknowledged");
            expect(getLimits()).toEqual([30, 30]);
        });

        it("reports a seal of that record (guards against an incarnation that continues after it was sealed)", () => {
            writer.retry(300);
            expect(reportConflict(createRecord(2, 30, "sealed"), 3)).toMatchObject({
                status: "sealed",
                record: { sequence: 2 },
            });
        });
    });
});
