import { beforeEach, describe, expect, it, vi } from "vitest";
import { ManualClock } from "../../base/clock.js";
import { Counters } from "../../base/counters.js";
import { FaultyStore } from "../../standins/budgetTestFleet.js";
import { RecordingPeerChannel } from "../../standins/recordingPeerChannel.js";
import type { RequestMetadata } from "../edgeTypes.js";
import type { ReportingHost } from "../peers/loadGatherers.js";
import type { PeerMessage } from "../peers/peerChannel.js";
import { Upstream } from "../upstream/upstream.js";
import { UpstreamDirectory } from "../upstream/upstreamDirectory.js";
import { PromptQuarantine } from "./promptQuarantine.js";
import { RequestQuarantine } from "./requestQuarantine.js";

/** Part that crashes upstreams. */
const DeadPart = "deadbeef";

/** @returns Metadata of a request with parts and a last one of its own. */
const metadataOf = (...partIds: string[]): RequestMetadata => ({
    requestId: "r",
    apiKey: undefined,
    deadlineMs: undefined,
    tokenCounts: undefined,
    promptParts: [...partIds, "a0000001"].map(id => ({ id, tokens: 100 })),
    expectedOutputTokens: undefined,
    lastEventId: undefined,
});

/** @returns Message of a host about crashes of the given ages, in milliseconds. */
const evidence = (hostId: string, agesMs: readonly number[], number = 1): PeerMessage => ({
    k: "q",
    h: hostId,
    i: "1",
    n: number,
    s: 2,
    u: agesMs.map((ageMs, index) => [`i-${index}`, 1, ageMs]),
    p: [[DeadPart, 1, agesMs.map((_, index) => index)]],
});

describe("PromptQuarantine", () => {
    let clock: ManualClock;
    let channel: RecordingPeerChannel;
    let quarantine: PromptQuarantine;
    let otherHosts: ReportingHost[];

    beforeEach(async () => {
        otherHosts = [{ hostId: "front-2", zone: "a", peerAddress: "10.0.0.2:1" }];
        clock = new ManualClock();
        clock.advance(60_000);
        channel = new RecordingPeerChannel();
        quarantine = createQuarantine();
        quarantine.start();
        await vi.waitFor(() => expect(quarantine.isInformed).toBe(true));
    });

    const createQuarantine = (): PromptQuarantine =>
        new PromptQuarantine({
            clock,
            counters: new Counters(),
            channel,
            directory: new UpstreamDirectory(clock),
            store: new FaultyStore(),
            recordKey: "quarantine/evidence",
            ownHost: { hostId: "front-1", zone: "a", peerAddress: "10.0.0.1:1" },
            incarnation: "1",
            otherHosts: () => otherHosts,
        });

    /** Lets two other hosts state crashes that lead to a quarantine. */
    const quarantineDeadPart = () => {
        channel.receive("10.0.0.2:1", evidence("front-2", [5_000, 3_000, 1_000]));
        channel.receive("10.0.0.3:1", evidence("front-3", [5_000, 3_000, 1_000]));
    };

    /** @returns Time of the quarantine that is left, in milliseconds. */
    const remainingMs = (): number => quarantine.findQuarantined(metadataOf(DeadPart))?.retryAfterMs ?? 0;

    describe("given recorded evidence that is not read yet", () => {
        it("refuses requests with shared parts as not run (guards against requests sent without the evidence)", () => {
            const starting = createQuarantine();
            starting.start();
            const refusal = new RequestQuarantine(starting, metadataOf(DeadPart), "s").findRefusal("no", 1_000);
            expect(refusal?.failure).toEqual({ code: "NotReady", ran: "no", retryAfterMs: 200 });
            expect(new RequestQuarantine(starting, metadataOf(), "s").findRefusal("no", 1_000)).toBeUndefined();
        });
    });

    describe("given evidence of two other hosts", () => {
        it("refuses requests with the part, but not those that end with it (guards against a verdict on one host only)", () => {
            quarantineDeadPart();
            expect(quarantine.findQuarantined(metadataOf("5c1e07a2", DeadPart))?.partId).toBe(DeadPart);
            const last = { ...metadataOf(), promptParts: [{ id: "5c1e07a2", tokens: 1 }, { id: DeadPart, tokens: 1 }] };
            expect(quarantine.findQuarantined(last)).toBeUndefined();
        });
    });

    describe("given a quarantine that is over", () => {
        it("lets one request through at each of its checks (guards against a trial that is refused before it is sent)", () => {
            otherHosts = [];
            quarantineDeadPart();
            clock.advance(remainingMs() + 1);
            const [trial, other] = [metadataOf(DeadPart), metadataOf(DeadPart)];
            expect(quarantine.findQuarantined(trial)).toBeUndefined();
            expect(quarantine.findQuarantined(trial)).toBeUndefined();
            expect(quarantine.findQuarantined(other)?.partId).toBe(DeadPart);
        });

        it("leaves the trial to one host of the fleet (guards against a crash for each host)", () => {
            quarantineDeadPart();
            clock.advance(remainingMs() + 1);
            // Of these two hosts, front-2 is the one for this part.
            expect(quarantine.findQuarantined(metadataOf(DeadPart))?.partId).toBe(DeadPart);
        });
    });

    describe("given a completed response with a suspected part", () => {
        beforeEach(() => channel.receive("10.0.0.2:1", evidence("front-2", [1_000])));

        const clearances = () =>
            channel.sent.flatMap(({ message }) => message.k === "q" ? Object.keys(message.c ?? {}) : []);

        it("tells the other hosts (guards against sound parts that stay suspected elsewhere)", () => {
            quarantine.recordCompletion({ metadata: metadataOf(DeadPart), isCloseDelimited: false, eventCount: 0 });
            quarantine.tick();
            expect(clearances()).toEqual([DeadPart]);
        });

        it("does not count one that ended with its connection after an event (guards against crashes that look like ends)", () => {
            quarantine.recordCompletion({ metadata: metadataOf(DeadPart), isCloseDelimited: true, eventCount: 1 });
            quarantine.tick();
            expect(clearances()).toEqual([]);
        });
    });

    describe("given a response that broke off", () => {
        const upstream = () =>
            new Upstream({
                id: "i-1",
                service: "lm",
                address: "127.0.0.1:1",
                zone: "a",
                slots: 6,
                isLeaving: false,
                startedAtMs: 1,
            }, clock);

        it("examines neither a request without shared parts nor a long stream (guards against probes that prove nothing)", () => {
            expect(quarantine.examineBreak({ upstream: upstream(), metadata: metadataOf(), eventCount: 0 }))
                .toBeUndefined();
            expect(quarantine.examineBreak({ upstream: upstream(), metadata: metadataOf(DeadPart), eventCount: 4 }))
                .toBeUndefined();
        });

        it("allows one repetition, and none when another crash counts (guards against one request that crashes many upstreams)", async () => {
            const broken = { upstream: upstream(), metadata: metadataOf(DeadPart), eventCount: 0 };
            expect(await quarantine.examineBreak(broken)).toBe(true);
            channel.receive("10.0.0.2:1", evidence("front-2", [10]));
            expect(await quarantine.examineBreak(broken)).toBe(false);
        });
    });

    describe("used by a request", () => {
        const refusalOf = (ran: "no" | "unknown") =>
            new RequestQuarantine(quarantine, metadataOf(DeadPart), "lm").findRefusal(ran, 700)?.failure;

        it("states that the request has not run only when that is certain (guards against refusals of requests that ran)", () => {
            quarantineDeadPart();
            expect(refusalOf("no")).toEqual({ code: "PartQuarantined", ran: "no", retryAfterMs: 700 });
            expect(refusalOf("unknown")).toEqual({ code: "UpstreamFailed", ran: "unknown" });
        });
    });
});
