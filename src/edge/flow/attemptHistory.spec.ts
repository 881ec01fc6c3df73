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
const broken: AttemptOutcome = { status: "interrupted", reason: "brokenOff", detail: "" };
const full: AttemptOutcome = { status: "notExecuted", isWrongUpstream: false, statusCode: 503 };

function after(kind: "idempotent" | "nonIdempotent", ends: readonly AttemptOutcome[]): AttemptHistory {
    const history = new AttemptHistory({ ...route, kind });
    ends.forEach((end, index) => {
        history.recordSend(`u${index}`);
        history.recordOutcome(end, false);
    });
    return history;
}

describe("AttemptHistory", () => {
    describe("given work that may run once", () => {
        it("allows no send after one that may have run (guards against work done twice)", () => {
            const history = after("nonIdempotent", [broken]);
            expect(history.canRetry(broken, true)).toBe(false);
            expect(history.ran).toBe("unknown");
        });

        it("allows two more sends at which nothing ran", () => {
            expect(after("nonIdempotent", [full, full]).canRetry(full, true)).toBe(true);
            expect(after("nonIdempotent", [full, full, full]).canRetry(full, true)).toBe(false);
            expect(after("nonIdempotent", [full]).ran).toBe("no");
        });
    });

    describe("given work that may be repeated", () => {
        it("allows as many runs as the route (guards against retries that multiply)", () => {
            expect(after("idempotent", [broken]).canRetry(broken, true)).toBe(true);
            expect(after("idempotent", [broken, broken]).canRetry(broken, true)).toBe(false);
        });

        it("allows no run when relayed output cannot be continued", () => {
            expect(after("idempotent", [broken]).canRetry(broken, false)).toBe(false);
        });
    });
});
