import { describe, expect, it } from "vitest";
import { createUpstreamStatus } from "../upstream/upstreamBoard.js";
import { type SlotQuotaInput, SlotQuotas } from "./slotQuotas.js";

const limits = () => new SlotQuotas({ overcommitRatio: 1, borrowIntervalMs: 1_000 });
const input = (ownInFlight: number, status: object = {}): SlotQuotaInput => ({
    name: "u",
    slots: 8,
    ownInFlight,
    hostCount: 4,
    status: { ...createUpstreamStatus(8), ...status },
});

describe("SlotQuotas", () => {
    it("starts with an equal share (guards against hosts that together take every slot several times)", () => {
        expect(limits().computeQuota(input(0))).toBe(2);
        expect(limits().computeQuota(input(0, { slownessFactor: 4 }))).toBe(0.5);
        expect(limits().computeQuota(input(0, { concurrencyLimit: 1 }))).toBe(1);
    });

    it("borrows only after a report that knows of the swing (guards against a herd on late figures)", () => {
        const late = limits();
        late.adjustBorrowing(input(2, { reportedAtMs: 0 }), true, 100);
        late.adjustBorrowing(input(2, { reportedAtMs: 0 }), true, 1_200);
        expect(late.computeQuota(input(2))).toBe(2);
        const known = limits();
        known.adjustBorrowing(input(2, { reportedAtMs: 0 }), true, 100);
        known.adjustBorrowing(input(2, { reportedAtMs: 1_000 }), true, 1_200);
        expect(known.computeQuota(input(2))).toBe(3.5);
    });

    it("gives back when others need the slots or nothing waits (guards against a share that is kept)", () => {
        const borrower = limits();
        for (let nowMs = 0; nowMs <= 5_000; nowMs += 1_000) {
            borrower.adjustBorrowing(input(2, { reportedAtMs: nowMs }), true, nowMs);
        }
        const most = borrower.computeQuota(input(2));
        borrower.adjustBorrowing(input(8, { otherLoad: 8 }), true, 6_000);
        const less = borrower.computeQuota(input(2));
        borrower.adjustBorrowing(input(0), false, 7_000);
        expect(most).toBeGreaterThan(less);
        expect(borrower.computeQuota(input(0))).toBeLessThan(less);
    });
});
