import { describe, expect, it } from "vitest";
import { ManualClock } from "../../base/clock.js";
import { AttemptHistory } from "./attemptHistory.js";
import type { EdgeRequest, FlowDependencies } from "./flowTypes.js";
import { OpenAttempts } from "./openAttempts.js";
import { ResendPolicy, type ResendState } from "./resendPolicy.js";

describe("ResendPolicy", () => {
    /**
     * @param canEnd Whether the request, sent once more, can end before the process stops.
     * @returns The policy of an idempotent request to which other healthy upstreams are open.
     */
    function createPolicy(mayRepeat: boolean, canEnd = true): ResendPolicy {
        const route = { kind: "idempotent", isResumable: false, maxAttempts: 3, objectiveMs: 100 };
        const request = { route, deadlineAtMs: 5_000 } as unknown as EdgeRequest;
        const history = new AttemptHistory(request.route);
        const state = {
            service: "s",
            history,
            openAttempts: new OpenAttempts("r", history),
            relay: { hasRelayedEvents: false, lastEventId: undefined },
            upstreams: { hasUntried: true, hasHealthyUntried: true },
            quarantine: { mayRepeat },
            stop: { findRefusal: () => canEnd ? undefined : { neededMs: 2, remainingMs: 1, isEstimated: true } },
        } as unknown as ResendState;
        return new ResendPolicy({ clock: new ManualClock() } as unknown as FlowDependencies, request, state);
    }

    describe("given a silent attempt", () => {
        it.each([true, false])(
            "sends the request elsewhere only if its prompt parts are not suspected: %s (guards against sound answers that end without a successor)",
            mayRepeat => {
                const policy = createPolicy(mayRepeat);
                expect([policy.canSendInstead(true), policy.canSendInstead(false), policy.canSendBeside()])
                    .toEqual([mayRepeat, mayRepeat, mayRepeat]);
            },
        );

        it("does not send the request elsewhere if it cannot end before the process stops (guards against responses that are cut at its end)", () => {
            const policy = createPolicy(true, false);
            expect([policy.canSendInstead(true), policy.canSendInstead(false), policy.canSendBeside()])
                .toEqual([false, false, false]);
        });
    });

    describe("given an attempt that has ended without running the request", () => {
        it.each([true, false])(
            "sends the request again only if it can end before the process stops: %s (guards against responses that are cut at its end)",
            canEnd => {
                const policy = createPolicy(true, canEnd);
                expect(policy.canResend({ status: "unreachable", detail: "refused" })).toBe(canEnd);
            },
        );
    });
});
