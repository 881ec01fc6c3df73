import { describe, expect, it } from "vitest";
import { createUpstreamStatus } from "../upstream/upstreamBoard.js";
import { type SlotQuotaInput, SlotQuotas } from "./slotQuotas.js";

const createQuotas = () => new SlotQuotas({ overcommitRatio: 1, borrowIntervalMs: 1_000 });
const input = (ownInFlight: number, status: object = {}): SlotQuotaInput => ({
    name: "u",
    slots: 8,
    ownInFlight,
    hostCount: 4,
    status: { ...createUpstreamStatus(8), ...status },
});

describe("SlotQuotas", () => {
    it("starts with an equal share (guards against hosts that together use every slot several times)", () => {
        expect(createQuotas().computeQuota(input(0))).toBe(2);
        expect(createQuotas().computeQuota(input(0, { slownessFactor: 4 }))).toBe(0.5);
        expect(createQuotas().computeQuota(input(0, { concurrencyLimit: 1 }))).toBe(1);
    });

    it("borrows only after a report that includes the load change (guards against borrowing on outdated reports)", () => {
        const withOldReport = createQuotas();
        withOldReport.adjustBorrowing(input(2, { reportedAtMs: 0 }), true, 100);
        withOldReport.adjustBorrowing(input(2, { reportedAtMs: 0 }), true, 1_200);
        expect(withOldReport.computeQuota(input(2))).toBe(2);
        const withNewReport = createQuotas();
        withNewReport.adjustBorrowing(input(2, { reportedAtMs: 0 }), true, 100);
        withNewReport.adjustBorrowing(input(2, { reportedAtMs: 1_000 }), true, 1_200);
        expect(withNewReport.computeQuota(input(2))).toBe(3.5);
    });

    it("returns borrowed slots when others need them or no request waits (guards against a share that is kept)", () => {
        const quotas = createQuotas();
        for (let nowMs = 0; nowMs <= 5_000; nowMs += 1_000) {
            quotas.adjustBorrowing(input(2, { reportedAtMs: nowMs }), true, nowMs);
        }
        const borrowedQuota = quotas.computeQuota(input(2));
        quotas.adjustBorrowing(input(8, { otherLoad: 8 }), true, 6_000);
        const reducedQuota = quotas.computeQuota(input(2));
        quotas.adjustBorrowing(input(0), false, 7_000);
        expect(borrowedQuota).toBeGreaterThan(reducedQuota);
        expect(quotas.computeQuota(input(0))).toBeLessThan(reducedQuota);
    });
});
