import { beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "../../base/clock.js";
import { Counters } from "../../base/counters.js";
import { SeededRandom } from "../../base/random.js";
import { type Blackboard, createBlackboard } from "../../kernel/blackboard.js";
import type { Effect } from "../../kernel/effects.js";
import { UpstreamSchema } from "../config/configTypes.js";
import { createUpstreamStatus } from "../upstream/upstreamBoard.js";
import { LifecycleController } from "./lifecycleController.js";
import { LifecycleSettingsSchema } from "./lifecycleSettings.js";

describe("LifecycleController", () => {
    let board: Blackboard;
    let clock: ManualClock;
    let effects: Effect[];
    let controller: LifecycleController;
    beforeEach(() => {
        board = createBlackboard("h1", "i1");
        clock = new ManualClock();
        effects = [];
        const settings = LifecycleSettingsSchema.parse({ balancerLagMs: 1_000 });
        controller = new LifecycleController({
            board,
            clock,
            random: new SeededRandom(1),
            counters: new Counters(),
            emit: effect => effects.push(effect),
        }, settings);
        const upstreams = new Map([["u1", UpstreamSchema.parse({ url: "http://127.0.0.1:1" })]]);
        Object.assign(board.config, { version: 3, floorVersion: 3, confirmed: true });
        board.config.resources = { ...board.config.resources, upstreams };
        Object.assign(board.journal, { established: true, lastAcknowledgedMs: 0 });
    });
    const tickAfter = (durationMs: number): void => {
        clock.advance(durationMs);
        controller.handle({ type: "tick" });
    };

    describe("when readiness is evaluated", () => {
        it("is ready with configuration, upstream and budget authority (guards against a host that never serves)", () => {
            tickAfter(50);
            expect(board.lifecycle).toMatchObject({ ready: true, phase: "serving", reasons: [] });
        });

        it.each([
            ["a higher version is known", () => Object.assign(board.config, { floorVersion: 4 })],
            ["the version is not confirmed", () => Object.assign(board.config, { confirmed: false })],
            [
                "every upstream is leaving",
                () => board.upstream.statuses.set("u1", { ...createUpstreamStatus(1), leaving: true }),
            ],
            ["no record is acknowledged", () => Object.assign(board.journal, { established: false })],
        ])("is not ready when %s (guards against callers sent to a host that must refuse)", (_name, change) => {
            change();
            tickAfter(50);
            expect(board.lifecycle.ready).toBe(false);
            expect(board.lifecycle.reasons).toHaveLength(1);
        });

        it("stays ready in a store outage while tokens are available (guards against shares that are not used)", () => {
            board.budget.entries.set("main", {
                grantedTokens: 10,
                wantedLimitTokens: 10,
                settledTokens: 9,
                reservedTokens: 0,
                sentTokens: 0,
                receivedTokens: 0,
                demandTokensPerS: 0,
                largestCostTokens: 0,
            });
            board.journal.limits.set("main", 10);
            tickAfter(60_000);
            expect(board.lifecycle.ready).toBe(true);
            board.journal.limits.set("main", 9);
            tickAfter(50);
            expect(board.lifecycle.ready).toBe(false);
        });
    });

    describe("when a shutdown is requested", () => {
        beforeEach(() => {
            tickAfter(50);
            controller.handle({ type: "requestEntered" });
            controller.handle({ type: "shutdownRequested" });
        });

        it("accepts requests until the lag of the balancer has passed (guards against refusals during a restart)", () => {
            tickAfter(900);
            expect(board.lifecycle).toMatchObject({ ready: false, accepting: true, phase: "draining" });
            tickAfter(200);
            expect(board.lifecycle).toMatchObject({ accepting: false, phase: "draining" });
        });

        it("has no end of requests (guards against a drain by an operator that cuts streams)", () => {
            expect(board.lifecycle.requestsEndAtMs).toBeUndefined();
        });

        it("ends requests before the timeout of a signal (guards against shares that are not returned in time)", () => {
            controller.handle({ type: "shutdownRequested", timeoutMs: 60_000 });
            expect(board.lifecycle.requestsEndAtMs).toBe(clock.monotonicMs() + 50_000);
            controller.handle({ type: "shutdownRequested", timeoutMs: 4_000 });
            expect(board.lifecycle.requestsEndAtMs).toBe(clock.monotonicMs() + 3_000);
            expect(effects).toHaveLength(2);
            expect(effects[0]).toEqual({ type: "notify", notification: { type: "requestsLimited" } });
        });

        it("never moves the end of requests later (guards against accepted requests whose end has passed)", () => {
            controller.handle({ type: "shutdownRequested", timeoutMs: 4_000 });
            const endsAtMs = board.lifecycle.requestsEndAtMs;
            tickAfter(500);
            controller.handle({ type: "shutdownRequested", timeoutMs: 60_000 });
            expect(board.lifecycle.requestsEndAtMs).toBe(endsAtMs);
        });

        it("ends what is open, then closes without waiting for callers (guards against a kill before the last steps)", () => {
            controller.handle({ type: "shutdownRequested", timeoutMs: 4_000 });
            effects.length = 0;
            tickAfter(2_950);
            expect(effects).toEqual([]);
            tickAfter(50);
            tickAfter(50);
            expect(effects).toEqual([{ type: "notify", notification: { type: "requestsEnded" } }]);
            expect(board.lifecycle).toMatchObject({ phase: "draining", accepting: false, requestsInFlight: 1 });
            tickAfter(450);
            expect(board.lifecycle.phase).toBe("closing");
        });

        it("closes after the last request and reports completion once shares are returned (guards against cut streams)", () => {
            tickAfter(60_000);
            expect(board.lifecycle.phase).toBe("draining");
            controller.handle({ type: "requestLeft" });
            expect(board.lifecycle.phase).toBe("closing");
            expect(effects).toEqual([]);
            board.journal.closed = true;
            tickAfter(50);
            expect(effects).toEqual([]);
            board.recovery.ownSharesReturned = true;
            tickAfter(50);
            expect(effects).toEqual([{ type: "notify", notification: { type: "shutdownCompleted" } }]);
            expect(board.lifecycle.phase).toBe("closed");
        });

        it("stops waiting for the closing record after its timeout (guards against a process that never ends)", () => {
            controller.handle({ type: "requestLeft" });
            tickAfter(1_000);
            tickAfter(10_000);
            expect(board.lifecycle.phase).toBe("closed");
        });
    });
});
