import { beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "../../base/clock.js";
import { Counters } from "../../base/counters.js";
import { SeededRandom } from "../../base/random.js";
import { type Blackboard, createBlackboard } from "../../kernel/blackboard.js";
import { UpstreamSchema } from "../config/configTypes.js";
import { ConcurrencyLimit } from "./concurrencyLimit.js";
import { FailureEjection } from "./failureEjection.js";
import { LatencyWindow } from "./latencyWindow.js";
import { UpstreamController } from "./upstreamController.js";
import { UpstreamSettingsSchema } from "./upstreamSettings.js";
import type { DispatchResult } from "./upstreamTypes.js";

const settings = UpstreamSettingsSchema.parse({});
const names = ["u0", "u1", "u2", "u3"];

describe("UpstreamController", () => {
    let clock: ManualClock;
    let board: Blackboard;
    let controller: UpstreamController;
    let requests: number;
    beforeEach(() => {
        clock = new ManualClock();
        board = createBlackboard("h", "1");
        const upstream = UpstreamSchema.parse({ url: "http://127.0.0.1:1", models: ["m"] });
        board.config.resources = { ...board.config.resources, upstreams: new Map(names.map(name => [name, upstream])) };
        const context = { board, clock, random: new SeededRandom(1), counters: new Counters(), emit: () => undefined };
        controller = new UpstreamController(context, settings);
        requests = 0;
        controller.handle({ type: "tick" });
    });

    const status = (name: string) => board.upstream.statuses.get(name)!;
    const advance = (durationMs: number) => {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
            clock.advance(50);
            controller.handle({ type: "tick" });
        }
    };
    const start = (upstream: string) => {
        const requestId = `r${++requests}`;
        controller.handle({ type: "dispatchStarted", requestId, upstream, long: false });
        return requestId;
    };
    const end = (upstream: string, requestId: string, result: DispatchResult = "complete", durationMs = 400) =>
        controller.handle({ type: "dispatchEnded", requestId, upstream, result, durationMs, outputTokens: 16 });
    const run = (upstream: string, firstTokenMs: number) => {
        const requestId = start(upstream);
        controller.handle({ type: "firstTokenSeen", requestId, upstream, latencyMs: firstTokenMs });
        end(upstream, requestId, "complete", firstTokenMs * 16);
    };
    const report = (upstream: string, load: object) =>
        controller.handle({
            type: "loadReported",
            upstream,
            report: { running: 0, waiting: 0, ageMs: 0, leaving: false, ...load },
        });

    describe("when one upstream becomes slow", () => {
        it("detects it within 2 s while its requests still wait (guards against high tail latency until they end)", () => {
            names.forEach(name => run(name, 25));
            start("u0");
            advance(1_000);
            expect(status("u0").slownessFactor).toBeGreaterThan(3);
            expect(status("u1").slownessFactor).toBe(1);
        });

        it("requests probes and restores it after good ones (guards against capacity that is never used again)", () => {
            names.forEach(name => run(name, name === "u0" ? 250 : 25));
            advance(settings.probeIntervalMs + 200);
            expect(status("u0")).toMatchObject({ probeDue: true });
            for (let probe = 0; probe < settings.recoverySamples + 1; probe++) {
                run("u0", 25);
                advance(1_000);
            }
            expect(status("u0").slownessFactor).toBe(1);
        });
    });

    describe("when all upstreams are equally slow", () => {
        it("treats none as slow (guards against a fleet that avoids all its upstreams under load)", () => {
            names.forEach(name => run(name, 900));
            advance(400);
            expect(names.map(name => status(name).slownessFactor)).toEqual([1, 1, 1, 1]);
        });
    });

    describe("when a late report arrives", () => {
        it("subtracts the requests that this host had in flight then (guards against counting requests twice)", () => {
            const first = start("u0");
            start("u0");
            advance(1_000);
            end("u0", first);
            report("u0", { running: 5, ageMs: 500 });
            expect(status("u0")).toMatchObject({ inFlight: 1, otherLoad: 3, reportedLoad: 5 });
        });
    });

    describe("when an upstream is leaving", () => {
        it("trusts its refusal until a later report shows otherwise (guards against work sent to a leaving upstream)", () => {
            end("u0", start("u0"), "leaving");
            expect(status("u0")).toMatchObject({ leaving: true, leavingSeenHere: true });
            report("u0", { ageMs: 10 });
            expect(status("u0").leaving).toBe(true);
            advance(100);
            report("u0", {});
            expect(status("u0").leaving).toBe(false);
        });

        it("trusts peers until a report shows otherwise (guards against hosts that keep each other's reports alive)", () => {
            board.membership.leavingUpstreams.add("u1");
            advance(200);
            expect(status("u1")).toMatchObject({ leaving: true, leavingSeenHere: false });
            advance(settings.peerSignMarginMs + 200);
            report("u1", {});
            expect(status("u1").leaving).toBe(false);
        });

        it("ignores peers after the hold time if there are no load reports", () => {
            board.membership.leavingUpstreams.add("u1");
            advance(settings.leavingHoldMs + 400);
            expect(status("u1").leaving).toBe(false);
        });
    });

    describe("when an upstream fails repeatedly", () => {
        it("ejects it and then tests it with one request at a time (guards against a flood on recovery)", () => {
            for (let count = 0; count < settings.ejectAfterFailures; count++) {
                end("u0", start("u0"), "unreachable");
            }
            expect(status("u0").usable).toBe(false);
            advance(settings.ejectionMs + 200);
            expect(status("u0")).toMatchObject({ usable: true, concurrencyLimit: 1 });
            end("u0", start("u0"));
            expect(status("u0").concurrencyLimit).toBe(8);
        });
    });
});

describe("FailureEjection", () => {
    it("doubles the ejection time after a failed probe (guards against constant retries at a dead upstream)", () => {
        const ejection = new FailureEjection({ ejectAfterFailures: 1, ejectionMs: 100, maxEjectionMs: 150 });
        ejection.recordFailure(0);
        expect([ejection.getState(99), ejection.getState(100)]).toEqual(["ejected", "probing"]);
        ejection.recordFailure(100);
        expect([ejection.getState(249), ejection.getState(250)]).toEqual(["ejected", "probing"]);
        ejection.recordSuccess();
        expect(ejection.getState(250)).toBe("healthy");
    });
});

describe("ConcurrencyLimit", () => {
    it("decreases once per burst of refusals and recovers (guards against a limit that collapses)", () => {
        const limit = new ConcurrencyLimit(8, 0.5);
        limit.recordOverload(0);
        limit.recordOverload(10);
        expect(limit.value).toBe(4);
        for (let count = 0; count < 40; count++) {
            limit.recordSuccess();
        }
        expect(limit.value).toBe(8);
    });
});

describe("LatencyWindow", () => {
    it("follows recent samples and counts unfinished ones as lower bounds (guards against late detection)", () => {
        const window = new LatencyWindow(1_000, 10_000);
        window.add(10, 0);
        window.add(100, 5_000);
        expect(window.estimate(5_000)).toBeGreaterThan(95);
        expect(window.estimate(5_000, [50])).toBe(window.estimate(5_000));
        expect(window.estimate(5_000, [1_000])).toBeGreaterThan(500);
        expect(window.estimate(20_000)).toBeUndefined();
    });
});
