import { afterEach, beforeEach, describe, expect, it, type MockInstance, vi } from "vitest";
import { ManualClock } from "../../base/clock.js";
import { Counters } from "../../base/counters.js";
import { log } from "../../base/log.js";
import { RecordingPeerChannel } from "../../standins/recordingPeerChannel.js";
import type { Service, UpstreamEntry } from "../edgeTypes.js";
import { ColdLimits } from "./coldLimits.js";
import { RateLimits } from "./rateLimits.js";
import { LimitStatementsSchema } from "./slotMessages.js";

const Entry: UpstreamEntry = {
    id: "i-1",
    service: "model",
    address: "10.1.0.1:80",
    zone: "a",
    slots: 6,
    isLeaving: false,
    startedAtMs: 1,
};
const OwnHost = { hostId: "front-1", zone: "a", peerAddress: "10.0.0.1:7213" };
const OtherHost = { hostId: "front-2", zone: "a", peerAddress: "10.0.0.2:7213" };
const TickMs = 20;

describe("RateLimits with cold upstreams", () => {
    let clock: ManualClock;
    let services: Service[];
    let counters: Counters;
    let channel: RecordingPeerChannel;
    let cold: ColdLimits;
    let limits: RateLimits;
    let info: MockInstance<typeof log.info>;

    function play(durationMs: number): void {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += TickMs) {
            clock.advance(TickMs);
            limits.tick();
        }
    }

    beforeEach(() => {
        clock = new ManualClock();
        services = [{ name: "model", maxConnections: 10, coldStartMs: 3_000, coldRequestsPerS: 11 }];
        counters = new Counters();
        channel = new RecordingPeerChannel();
        cold = new ColdLimits({
            clock,
            counters,
            services: () => services,
            storeConfirmedAtMs: () => clock.monotonicMs(),
        });
        const others = [OtherHost];
        limits = new RateLimits({
            clock,
            counters,
            channel,
            ownHost: OwnHost,
            incarnation: "a",
            cold,
            otherHosts: () => others,
        });
        cold.recordEntry(Entry, 1);
        cold.endFirstList();
        info = vi.spyOn(log, "info");
    });

    afterEach(() => {
        info.mockRestore();
    });

    const logged = () => info.mock.calls.map(([message]) => String(message));

    describe("given an upstream that becomes cold", () => {
        beforeEach(() => {
            cold.recordEntry({ ...Entry, coldLeftMs: 3_000 }, 2);
        });

        it("logs each phase once and counts it (guards against a line for each request)", () => {
            play(6_000);
            expect(logged()).toEqual(["upstream cold", "upstream warming", "upstream warm"]);
            expect(counters.snapshot()["edge.limits.cold.upstreams"]).toBe(1);
        });

        it("shows it in the state dump (guards against a limit that operators cannot see)", () => {
            play(1_000);
            expect(limits.dumpState()).toEqual([
                { upstream: "i-1", requestsPerS: 11, phase: "cold", coldLeftMs: 2_000 },
            ]);
            play(6_000);
            expect(limits.dumpState()).toEqual([]);
            expect(limits.isEmpty).toBe(true);
        });

        it("does not send to it first to confirm a stated limit (guards against a burst on a cold upstream)", () => {
            limits.recordResponse(Entry, { kind: "rate", requestsPerS: 20 }, clock.monotonicMs());
            play(2_500);
            expect(limits.isLimited(Entry)).toBe(true);
            expect(limits.findUnconfirmed([Entry], 0)).toBeUndefined();
        });

        it("tells refused callers to come back by the rate (guards against callers that come back at once)", () => {
            const retryAfterMs = () => limits.retryAfterMs("model", [Entry], 0, 5_000);
            expect(retryAfterMs()).toBeCloseTo(2_000 / 11);
            expect(retryAfterMs()).toBeCloseTo(4_000 / 11);
        });

        it("sends a message that hosts of the previous release can read (guards against two releases that run side by side)", () => {
            play(200);
            const message = channel.sent.find(({ message: { k } }) => k === "v")?.message;
            const previous = LimitStatementsSchema.omit({ c: true });
            expect(previous.safeParse(message).success).toBe(true);
            expect(message).toMatchObject({ l: [], e: [], c: [["i-1", 1, expect.any(Number), 2]] });
        });

        it("is not cold again when the same entry is listed again (guards against a remaining time that is counted twice)", () => {
            play(6_000);
            cold.recordEntry({ ...Entry, coldLeftMs: 3_000 }, 2);
            expect(limits.isLimited(Entry)).toBe(false);
        });

        it("follows the configuration (guards against a rate that is read once)", () => {
            services = [{ name: "model", maxConnections: 10 }];
            expect(limits.isEmpty).toBe(true);
            expect(limits.isLimited(Entry)).toBe(false);
        });
    });

    describe("given a new start without a cold time", () => {
        it.each([
            ["just now", 0, true],
            ["by a clock that is ahead", -150, true],
            ["long ago", 3_100, false],
        ])(
            "counts it as cold by its start, %s (guards against a start that only its time tells)",
            (_name, ageMs, isCold) => {
                const startedAtMs = clock.wallMs() - ageMs;
                cold.recordEntry({ ...Entry, startedAtMs }, 2);
                expect(limits.isLimited({ id: "i-1", startedAtMs })).toBe(isCold);
            },
        );

        it("does not count those of the first list (guards against limits after each start of a host)", () => {
            const fresh = new ColdLimits({
                clock,
                counters,
                services: () => services,
                storeConfirmedAtMs: () => clock.monotonicMs(),
            });
            fresh.recordEntry({ ...Entry, startedAtMs: clock.wallMs() }, 2);
            fresh.endFirstList();
            expect(fresh.isActive).toBe(false);
        });
    });

    describe("given a host that still lists the previous start", () => {
        it("takes its requests from the same slots (guards against two rates for one process)", () => {
            const next = { ...Entry, startedAtMs: 2 };
            cold.recordEntry({ ...next, coldLeftMs: 30_000 }, 2);
            for (let step = 0; step < 100; step++) {
                play(100);
                while (limits.maySend(Entry, 0)) {
                    limits.recordSend(Entry, 0);
                }
                expect(limits.maySend(next, 0)).toBe(false);
            }
        });
    });

    describe("given a message about a cold upstream", () => {
        it.each([[2, true], [1, false]])(
            "applies one of a later change of the entry only, change %d (guards against old messages)",
            (revision, isLimited) => {
                channel.receive(
                    OtherHost.peerAddress,
                    { k: "v", h: "front-2", i: "x", n: 1, s: 2, l: [], e: [], c: [["i-1", 1, 3_000, revision]] },
                );
                expect(limits.isLimited(Entry)).toBe(isLimited);
            },
        );
    });
});
