import { describe, expect, it } from "vitest";
import { RouteSchema } from "../edgeTypes.js";
import type { AttemptOutcome } from "./attempt.js";
import { AttemptHistory } from "./attemptHistory.js";

const route = RouteSchema.parse({
    name: "r",
    host: "h",
    pathPrefix: "/",
    kind: "idempotent",
    targets: [{ service: "s", weight: 1 }],
    timeoutMs: 1_000,
    objectiveMs: 100,
    priority: 0,
    maxAttempts: 2,
    isPublic: true,
    isGeneration: false,
    isResumable: false,
});
const brokenOff: AttemptOutcome = { status: "interrupted", reason: "brokenOff", detail: "" };
const notExecuted: AttemptOutcome = { status: "notExecuted", isWrongUpstream: false, statusCode: 503 };

function historyAfter(kind: "idempotent" | "nonIdempotent", outcomes: readonly AttemptOutcome[]): AttemptHistory {
    const history = new AttemptHistory({ ...route, kind });
    outcomes.forEach((outcome, index) => {
        history.recordSend(`u${index}`);
        history.recordOutcome(outcome, false);
    });
    return history;
}

describe("AttemptHistory", () => {
    describe("given a request that may run only once", () => {
        it("allows no further send after one that may have run (guards against requests that run twice)", () => {
            const history = historyAfter("nonIdempotent", [brokenOff]);
            expect(history.canRetry(brokenOff, true)).toBe(false);
            expect(history.ran).toBe("unknown");
        });

        it("allows two more sends after sends that were not executed", () => {
            expect(historyAfter("nonIdempotent", [notExecuted, notExecuted]).canRetry(notExecuted, true)).toBe(true);
            expect(historyAfter("nonIdempotent", [notExecuted, notExecuted, notExecuted]).canRetry(notExecuted, true))
                .toBe(false);
            expect(historyAfter("nonIdempotent", [notExecuted]).ran).toBe("no");
        });
    });

    describe("given a request that may be repeated", () => {
        it("allows as many runs as the route does (guards against retry storms)", () => {
            expect(historyAfter("idempotent", [brokenOff]).canRetry(brokenOff, true)).toBe(true);
            expect(historyAfter("idempotent", [brokenOff, brokenOff]).canRetry(brokenOff, true)).toBe(false);
        });

        it("counts open attempts as runs (guards against more runs than the route allows)", () => {
            const history = new AttemptHistory({ ...route, maxAttempts: 3 });
            history.recordSend("u0");
            expect([history.canSendBeside(1), history.canSendBeside(3)]).toEqual([true, false]);
            history.recordSend("u1");
            history.recordOutcome(brokenOff, false);
            expect([history.canSendBeside(1), history.canSendBeside(2)]).toEqual([true, false]);
        });

        it("allows two more sends after sends that were not executed while one is open (guards against retry storms)", () => {
            const history = new AttemptHistory(route);
            history.recordSend("u0");
            expect(history.canSendBeside(1)).toBe(true);
            for (const id of ["u1", "u2", "u3"]) {
                expect(history.canSendBeside(1)).toBe(true);
                history.recordSend(id);
                history.recordOutcome(notExecuted, false);
            }
            expect(history.canSendBeside(1)).toBe(false);
        });

        it("counts a run that was cancelled for another (guards against more runs than the route allows)", () => {
            const history = historyAfter("idempotent", [notExecuted]);
            history.recordCancelledRun();
            expect(history.ran).toBe("unknown");
            expect(history.canRetryNextRun).toBe(false);
        });

        it("allows no further run when relayed output cannot be continued", () => {
            expect(historyAfter("idempotent", [brokenOff]).canRetry(brokenOff, false)).toBe(false);
        });
    });
});
