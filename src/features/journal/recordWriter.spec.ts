import { beforeEach, describe, expect, it } from "vitest";
import type { HostRecord } from "./journalTypes.js";
import { RecordWriter } from "./recordWriter.js";

function recordOf(sequence: number, limitTokens: number, state: HostRecord["state"] = "live"): HostRecord {
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
    const limits =
        (): (number | undefined)[] => [writer.getLowestLimits().get("b"), writer.getHighestLimits().get("b")];
    const conflict = (record: HostRecord, version: number) =>
        writer.handleWriteResult(
            { status: "conflict", current: { key: "", version, revision: 1, value: record } },
            300,
        );

    beforeEach(() => {
        sent = [];
        writer = new RecordWriter((record, expectedVersion) => sent.push({ record, expectedVersion }), 200);
        writer.write(recordOf(1, 100));
        writer.handleWriteResult({ status: "applied", version: 1 }, 0);
    });

    describe("when a higher limit is being written", () => {
        it("counts the lower one (guards against spending before the limit is declared)", () => {
            writer.write(recordOf(2, 200));
            expect(limits()).toEqual([100, 200]);
            writer.handleWriteResult({ status: "applied", version: 2 }, 10);
            expect(limits()).toEqual([200, 200]);
        });
    });

    describe("when the answer of a lower limit is lost", () => {
        beforeEach(() => {
            writer.write(recordOf(2, 30));
            writer.handleWriteResult({ status: "unknown", reason: "timeout" }, 10);
        });

        it("counts the lower one and repeats the same write (guards against spending above a limit that was lowered)", () => {
            expect(limits()).toEqual([30, 100]);
            writer.retry(300);
            expect(sent[2]).toEqual(sent[1]);
            writer.handleWriteResult({ status: "refused", reason: "rate limit" }, 300);
            expect(limits()).toEqual([30, 100]);
        });

        it("resolves it by its sequence (guards against a seal that did not happen)", () => {
            writer.retry(300);
            expect(conflict(recordOf(2, 30), 2).status).toBe("acknowledged");
            expect(limits()).toEqual([30, 30]);
        });

        it("reports a seal on top of it (guards against an incarnation that goes on after its seal)", () => {
            writer.retry(300);
            expect(conflict(recordOf(2, 30, "sealed"), 3)).toMatchObject({ status: "sealed", record: { sequence: 2 } });
        });
    });
});
