import { describe, expect, it } from "vitest";
import { RouteSchema } from "../edgeTypes.js";
import type { AttemptEnd } from "./attempt.js";
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
const broken: AttemptEnd = { status: "interrupted", reason: "brokenOff", detail: "" };
const full: AttemptEnd = { status: "notExecuted", isWrongUpstream: false, statusCode: 503 };

function after(kind: "idempotent" | "nonIdempotent", ends: readonly AttemptEnd[]): AttemptHistory {
    const history = new AttemptHistory({ ...route, kind });
    ends.forEach((end, index) => {
        history.noteSend(`u${index}`);
        history.noteEnd(end, false);
    });
    return history;
}

describe("AttemptHistory", () => {
    describe("given work that may run once", () => {
        it("allows no send after one that may have run (guards against work done twice)", () => {
            const history = after("nonIdempotent", [broken]);
            expect(history.allowsRepeat(broken, true)).toBe(false);
            expect(history.ran).toBe("unknown");
        });

        it("allows two more sends at which nothing ran", () => {
            expect(after("nonIdempotent", [full, full]).allowsRepeat(full, true)).toBe(true);
            expect(after("nonIdempotent", [full, full, full]).allowsRepeat(full, true)).toBe(false);
            expect(after("nonIdempotent", [full]).ran).toBe("no");
        });
    });

    describe("given work that may be repeated", () => {
        it("allows as many runs as the route (guards against retries that multiply)", () => {
            expect(after("idempotent", [broken]).allowsRepeat(broken, true)).toBe(true);
            expect(after("idempotent", [broken, broken]).allowsRepeat(broken, true)).toBe(false);
        });

        it("allows no run when relayed output cannot be continued", () => {
            expect(after("idempotent", [broken]).allowsRepeat(broken, false)).toBe(false);
        });
    });
});
