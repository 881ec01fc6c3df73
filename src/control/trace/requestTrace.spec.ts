import { describe, expect, it } from "vitest";
import { parseLog, traceRequest } from "./requestTrace.js";

const line = (second: number, message: string, fields: object = {}) =>
    JSON.stringify({
        time: `2026-12-04T06:00:${String(second).padStart(2, "0")}.000Z`,
        level: "info",
        message,
        ...fields,
    });

describe("traceRequest", () => {
    describe("given logs of two hosts", () => {
        const first = [
            line(1, "edge started", { host: "front-1" }),
            line(20, "budget ledger lost", { reason: "no answer" }),
            line(24, "reservation refused", { request: "r1", team: "t", result: "heldElsewhere", ledgerAgeMs: 4_000 }),
            line(24, "request failed", { request: "r1", code: "BudgetUnavailable" }),
            "{\"cut",
        ].join("\n");
        const second = `  25.0 front-2 ${line(25, "request ended", { request: "r2", outcome: "complete" })}`;
        const logs = [...parseLog("a.log", first), ...parseLog("b.log", second)];

        it("names the cause of a refusal (guards against a status without a cause)", () => {
            const trace = traceRequest("r1", logs);
            expect(trace.lines.length).toBe(2);
            expect(trace.decision?.message).toBe("reservation refused");
            expect(trace.decision?.host).toBe("front-1");
        });

        it("adds context lines from shortly before the decision, and no older ones", () => {
            expect(traceRequest("r1", logs).context.map(({ message }) => message)).toEqual(["budget ledger lost"]);
        });

        it("reads the host from a prefix", () => {
            expect(traceRequest("r2", logs).decision?.host).toBe("front-2");
        });

        it("has no decision for an unknown request", () => {
            expect(traceRequest("r3", logs).decision).toBeUndefined();
        });
    });
});
