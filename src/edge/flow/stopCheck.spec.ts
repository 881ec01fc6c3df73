import { describe, expect, it } from "vitest";
import { ManualClock } from "../../base/clock.js";
import { RequestDurations } from "../stop/requestDurations.js";
import { StopAdmission } from "../stop/stopAdmission.js";
import { findStopRefusal, kindOfRequest, type TimedRequest } from "./stopCheck.js";

/** Time until the end of the requests of the process, in milliseconds. */
const RemainingMs = 7_000;

const TokensPerEvent = 4;

describe("findStopRefusal", () => {
    /** @returns Collaborators of a host that stops and has seen streams of the service with 10 ms per event. */
    function createDependencies() {
        const clock = new ManualClock();
        const durations = new RequestDurations(clock);
        for (let count = 0; count < 20; count++) {
            durations.recordStream(kindOfRequest({ name: "r" }, "lm"), {
                firstEventMs: 100,
                eventCount: 11,
                elapsedMs: 200,
            });
        }
        const stopAdmission = new StopAdmission(clock, durations);
        stopAdmission.limit(clock.monotonicMs() + RemainingMs);
        return { clock, durations, stopAdmission };
    }

    function createRequest(route: object, outputTokens: number | undefined, timeLimitMs = 15_000): TimedRequest {
        return {
            route: { name: "r", kind: "streaming", isResumable: true, isGeneration: true, objectiveMs: 100, ...route },
            service: "lm",
            metadata: {
                tokenCounts: outputTokens === undefined ?
                    undefined :
                    { promptTokens: 10, maxOutputTokens: outputTokens },
            },
            table: { findService: () => ({ engine: { tokensPerEvent: TokensPerEvent } }) },
            deadlineAtMs: timeLimitMs,
        } as unknown as TimedRequest;
    }

    describe("given a stream that may continue at another host", () => {
        it("judges it by the events that its output tokens make (guards against refusals of short streams)", () => {
            const dependencies = createDependencies();
            expect(findStopRefusal(dependencies, createRequest({}, 100 * TokensPerEvent))).toBeUndefined();
            expect(findStopRefusal(dependencies, createRequest({}, 600 * TokensPerEvent))).toBeDefined();
        });

        it("judges it by the events that are left (guards against streams that are broken off although they can end)", () => {
            const request = createRequest({}, 600 * TokensPerEvent);
            expect(findStopRefusal(createDependencies(), request, 500)).toBeUndefined();
        });

        it("judges it by its time limit if it states no output tokens (guards against streams without end)", () => {
            expect(findStopRefusal(createDependencies(), createRequest({}, undefined))).toMatchObject({
                neededMs: 15_000,
                remainingMs: RemainingMs,
            });
            expect(findStopRefusal(createDependencies(), createRequest({}, undefined, 6_000))).toBeUndefined();
        });
    });

    describe("given a request that may run only once", () => {
        it("judges it by its time limit (guards against orders that are cut)", () => {
            const order = createRequest({ kind: "nonIdempotent", isResumable: false, isGeneration: false }, undefined);
            expect(findStopRefusal(createDependencies(), order)).toMatchObject({ neededMs: 15_000 });
        });
    });

    describe("given an idempotent request", () => {
        const lookup = createRequest({ kind: "idempotent", isResumable: false, isGeneration: false }, undefined);

        it("allows for the time in which two upstreams can be tried (guards against needless refusals late in a stop)", () => {
            const dependencies = createDependencies();
            for (let count = 0; count < 20; count++) {
                dependencies.durations.recordResponse(kindOfRequest({ name: "r" }, "lm"), 40);
            }
            dependencies.clock.advance(RemainingMs - 400);
            expect(findStopRefusal(dependencies, lookup)).toBeUndefined();
            dependencies.clock.advance(100);
            expect(findStopRefusal(dependencies, lookup)).toMatchObject({ neededMs: 360 });
        });

        it("judges it by its time limit without recent samples (guards against guesses that end in a cut)", () => {
            expect(findStopRefusal(createDependencies(), lookup)).toMatchObject({ neededMs: 15_000 });
        });
    });

    describe("given a plain generation", () => {
        it("judges it by its output tokens (guards against long responses that are taken for short ones)", () => {
            const dependencies = createDependencies();
            for (let count = 0; count < 50; count++) {
                dependencies.durations.recordResponse(kindOfRequest({ name: "r" }, "lm"), 400);
            }
            const route = { kind: "idempotent", isResumable: false };
            // All responses seen had 40 output tokens, 10 ms each.
            expect(findStopRefusal(dependencies, createRequest(route, 1_000))).toBeDefined();
        });
    });
});
