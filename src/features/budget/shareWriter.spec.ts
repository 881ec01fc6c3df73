import { beforeEach, describe, expect, it } from "vitest";
import type { WriteOutcome } from "../../platform/platformStore.js";
import type { BudgetObject } from "./budgetTypes.js";
import { ShareWriter } from "./shareWriter.js";

const unknown: WriteOutcome = { status: "unknown", reason: "timeout" };
const own = "a~1";

describe("ShareWriter", () => {
    let puts: { readonly value: BudgetObject; readonly expectedVersion: number; }[];
    let writer: ShareWriter;
    const record = { sentSequence: 4, acknowledgedSequence: 4 };
    const object = (shares: BudgetObject["shares"]): BudgetObject => (
        { paidTokens: 1_000, closedTokens: 0, atRiskTokens: {}, shares, topUps: [] }
    );
    const conflict = (version: number, shares: BudgetObject["shares"]): WriteOutcome => (
        { status: "conflict", current: { key: "budget/b", version, revision: version, value: object(shares) } }
    );

    beforeEach(() => {
        puts = [];
        writer = new ShareWriter(own, {
            readObject: () => undefined,
            writeObject: (value, expectedVersion) => puts.push({ value, expectedVersion }),
            addToCounter: () => undefined,
        }, 200);
        writer.handleReadResult({
            status: "found",
            object: { key: "budget/b", version: 7, revision: 7, value: object({}) },
        }, 0);
        writer.writeIfNeeded(() => 100, record, 0);
    });

    describe("when the result of a draw is lost", () => {
        beforeEach(() => writer.handleWriteResult(unknown, 4, 0));

        it("counts no tokens and repeats the same write (guards against a draw that is counted twice)", () => {
            expect(writer.grantedTokens).toBe(0);
            writer.writeIfNeeded(() => 900, record, 300);
            expect(puts[1]).toEqual(puts[0]);
        });

        it("counts the draw once when the object contains it (guards against tokens that are drawn but never used)", () => {
            writer.writeIfNeeded(() => 100, record, 300);
            writer.handleWriteResult(conflict(8, { [own]: { grantedTokens: 100, sequence: 1 } }), 4, 300);
            expect(writer.grantedTokens).toBe(100);
            expect(writer.hasPendingWrite).toBe(false);
        });

        it("stays pending after a refusal (guards against a write that is applied late and not counted)", () => {
            writer.writeIfNeeded(() => 100, record, 300);
            writer.handleWriteResult({ status: "refused", reason: "rate limit" }, 4, 300);
            expect(writer.hasPendingWrite).toBe(true);
        });

        it("draws no tokens until a later record is acknowledged (guards against a share that is folded twice)", () => {
            writer.writeIfNeeded(() => 100, record, 300);
            writer.handleWriteResult(conflict(9, {}), 4, 300);
            writer.handleReadResult({
                status: "found",
                object: { key: "budget/b", version: 9, revision: 9, value: object({}) },
            }, 300);
            writer.writeIfNeeded(() => 100, record, 600);
            expect(puts).toHaveLength(2);
            writer.writeIfNeeded(() => 100, { sentSequence: 5, acknowledgedSequence: 5 }, 900);
            expect(puts).toHaveLength(3);
        });
    });

    describe("when a return is being written", () => {
        it("counts the lower amount at once (guards against spending tokens that are already returned)", () => {
            writer.handleWriteResult({ status: "applied", version: 8 }, 4, 0);
            writer.writeIfNeeded(() => 30, record, 10);
            expect(writer.grantedTokens).toBe(30);
            writer.handleWriteResult(unknown, 4, 20);
            expect(writer.grantedTokens).toBe(30);
        });
    });
});
