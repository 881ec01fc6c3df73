import fc from "fast-check";
import { beforeEach, describe, expect, it } from "vitest";
import { QuarantineTracker } from "./quarantineTracker.js";
import { type PartEvidence, PartEvidenceSchema, type QuarantineDecision } from "./quarantineTypes.js";

describe("QuarantineTracker", () => {
    let decisions: QuarantineDecision[];
    let isTrialHost: boolean;
    let tracker: QuarantineTracker;
    let crashes: number;

    const knownEnds = new Set<string>();

    beforeEach(() => {
        decisions = [];
        isTrialHost = false;
        tracker = startTracker("own");
        crashes = 0;
        knownEnds.clear();
    });

    function startTracker(ownHostId: string): QuarantineTracker {
        return new QuarantineTracker({
            ownHostId,
            isTrialHost: () => isTrialHost,
            hasUpstreamEnded: ({ upstreamId }) => knownEnds.has(upstreamId),
            onDecision: decision => decisions.push(decision),
        });
    }

    /** Ends another upstream under a request. */
    function crash(partIds: readonly string[], atMs: number, hostId = "own"): void {
        const ended = { upstreamId: `upstream-${crashes++}`, startedAtMs: 1, crashedAtMs: atMs };
        tracker.recordCrash(ended, partIds, hostId, atMs);
    }

    function isRefused(partId: string, nowMs: number): boolean {
        return tracker.findQuarantined([partId], nowMs)?.partId === partId;
    }

    function kinds(): string[] {
        return decisions.map(({ kind }) => kind);
    }

    /** Ends three upstreams one after the other under requests with a part, the last one at 2 s. */
    function quarantine(partId: string): void {
        [0, 1_000, 2_000].forEach(atMs => crash(["first", partId], atMs));
    }

    describe("given crashes of different upstreams under requests with a part", () => {
        it("quarantines it at the third event (guards against requests that crash one upstream after the other)", () => {
            crash(["d"], 0);
            crash(["d"], 1_000);
            expect(isRefused("d", 1_500)).toBe(false);
            crash(["d"], 2_000);
            expect(tracker.findQuarantined(["first", "d"], 2_000)).toMatchObject({ partId: "d", retryAfterMs: 60_000 });
            expect(kinds()).toEqual(["quarantined"]);
            expect(decisions[0]).toMatchObject({ partId: "d", level: 1, hostIds: ["own"] });
        });

        it("counts an incarnation once (guards against one crash that two hosts and repeated messages report)", () => {
            for (const hostId of ["own", "a", "b", "a"]) {
                for (const startedAtMs of [1, 1, 2]) {
                    const ended = { upstreamId: "u", startedAtMs, crashedAtMs: startedAtMs * 1_000 };
                    tracker.recordCrash(ended, ["d"], hostId, 3_000);
                }
            }
            expect(isRefused("d", 3_000)).toBe(false);
            expect(tracker.explain(3_000)[0]?.crashes).toHaveLength(2);
        });

        it("counts simultaneous ones as one event (guards against a quarantine by a rack or a release)", () => {
            [0, 20, 60, 90, 300, 400].forEach(atMs => crash(["d"], atMs));
            expect(isRefused("d", 500)).toBe(false);
        });

        it("quarantines at five crashes in two events (guards against frequent requests that crash many upstreams)", () => {
            [0, 300, 700, 900].forEach(atMs => crash(["d"], atMs));
            expect(isRefused("d", 950)).toBe(false);
            crash(["d"], 1_000);
            expect(isRefused("d", 1_000)).toBe(true);
        });

        it("forgets them after five minutes (guards against coincidences that add up over a day)", () => {
            [0, 200_000, 310_000].forEach(atMs => crash(["d"], atMs));
            expect(isRefused("d", 310_000)).toBe(false);
        });
    });

    describe("given evidence of other hosts", () => {
        it("ignores one host's word (guards against a faulty host that quarantines a part alone)", () => {
            [0, 1_000, 2_000, 3_000].forEach(atMs => crash(["d"], atMs, "a"));
            expect(isRefused("d", 3_000)).toBe(false);
            expect(tracker.explain(3_000)[0]).toMatchObject({ state: "suspected", exemption: "oneHost" });
            crash(["d"], 4_000, "b");
            expect(isRefused("d", 4_000)).toBe(true);
        });

        it("relies on one host's word for upstreams that it knows to have ended (guards against traffic that reaches one host)", () => {
            [0, 1_000, 2_000].forEach(atMs => crash(["d"], atMs, "a"));
            expect(isRefused("d", 3_000)).toBe(false);
            tracker.explain(3_000)[0]!.crashes.slice(1).forEach(({ upstreamId }) => knownEnds.add(upstreamId));
            expect(isRefused("d", 3_000)).toBe(false);
            tracker.explain(3_000)[0]!.crashes.forEach(({ upstreamId }) => knownEnds.add(upstreamId));
            expect(isRefused("d", 3_000)).toBe(true);
        });

        it("comes to the same result in any order and with repeats (guards against hosts that disagree)", () => {
            const evidence: { hostId: string; part: PartEvidence; }[] = [10_000, 9_000, 7_000, 3_000].map((
                ageMs,
                index,
            ) => ({
                hostId: `host-${index % 2}`,
                part: { partId: "d", crashes: [{ upstreamId: `u${index}`, startedAtMs: 1, ageMs }] },
            }));
            evidence.push({ hostId: "host-2", part: { partId: "d", crashes: [], clearedAgeMs: 8_000 } });
            const order = fc.shuffledSubarray([...evidence, ...evidence], { minLength: 10 });
            fc.assert(
                fc.property(order, fc.boolean(), (shuffled, isCleared) => {
                    tracker = startTracker("own");
                    shuffled.filter(({ hostId }) => isCleared || hostId !== "host-2")
                        .forEach(({ hostId, part }) => tracker.recordEvidence(part, hostId, 20_000));
                    expect(isRefused("d", 20_000)).toBe(!isCleared);
                }),
                { numRuns: 100, seed: 20_261_204 },
            );
        });

        it("keeps a quarantine over the restart of the hosts that saw the crashes (guards against a release of all hosts)", () => {
            quarantine("d");
            const messages = ["a", "b"].map(hostId => {
                const other = startTracker(hostId);
                tracker.ownEvidence(2_000).forEach(part => other.recordEvidence(part, "own", 2_000));
                other.recordCrash(
                    { upstreamId: `u-${hostId}`, startedAtMs: 1, crashedAtMs: 3_000 },
                    ["d"],
                    hostId,
                    3_000,
                );
                return { hostId, evidence: other.ownEvidence(4_000) };
            });
            tracker = startTracker("own");
            messages.forEach(({ hostId, evidence }) => {
                evidence.forEach(part => tracker.recordEvidence(PartEvidenceSchema.parse(part), hostId, 4_000));
            });
            expect(isRefused("d", 4_000)).toBe(true);
        });
    });

    describe("given a completed answer with the part", () => {
        it("drops the crashes before it and names the part (guards against sound parts that stay accused)", () => {
            crash(["d", "e"], 0);
            crash(["d"], 1_000);
            expect(tracker.recordCompletion(["first", "d"], 1_500)).toEqual(["d"]);
            expect(tracker.recordCompletion(["first", "d"], 1_600)).toEqual([]);
            [12_000, 13_000].forEach(atMs => crash(["d"], atMs));
            expect(isRefused("d", 13_000)).toBe(false);
        });

        it("ignores crashes before it that are reported late (guards against messages out of order)", () => {
            tracker.recordClearance("d", 2_500, 2_500);
            quarantine("d");
            expect(isRefused("d", 20_000)).toBe(false);
        });

        it("quarantines nothing for some seconds in which others complete (guards against a part that is sound no more)", () => {
            for (let atMs = 0; atMs <= 8_001; atMs += 500) {
                tracker.recordCompletion([atMs === 0 ? "first" : "other"], atMs);
            }
            [1_000, 2_000, 3_000, 4_000, 5_000].forEach(atMs => crash(["first"], atMs));
            expect(isRefused("first", 5_000)).toBe(false);
            expect(isRefused("first", 8_001)).toBe(true);
        });

        it("quarantines nothing while no answer completes (guards against an outage of all upstreams)", () => {
            tracker.recordCompletion(["first"], 0);
            [1_000, 2_000, 3_000, 4_000, 5_000].forEach(atMs => crash(["first"], atMs));
            expect(isRefused("first", 60_000)).toBe(false);
        });

        it("sends a past completion of a part that others suspect (guards against hosts that know no completion)", () => {
            tracker.recordCompletion(["first"], 1_000);
            crash(["first"], 2_000, "a");
            expect(tracker.ownEvidence(3_000)).toMatchObject([{ partId: "first", crashes: [], clearedAgeMs: 2_000 }]);
        });

        it("ends a quarantine at all hosts (guards against sound parts that are refused until a trial)", () => {
            quarantine("d");
            tracker.recordClearance("d", 2_500, 3_000);
            expect(isRefused("d", 3_000)).toBe(false);
            expect(kinds()).toEqual(["quarantined", "cleared"]);
        });
    });

    describe("given several parts that could explain the crashes", () => {
        it("never quarantines a part of many requests (guards against a first part that is refused)", () => {
            for (let index = 0; index < 64; index++) {
                tracker.recordRequest("s", index % 3 === 0 ? ["first"] : [`other-${index}`], 0);
            }
            [0, 1_000, 2_000, 3_000, 4_000, 5_000].forEach(atMs => crash(["first"], atMs));
            expect(isRefused("first", 5_000)).toBe(false);
            expect(tracker.explain(5_000)[0]).toMatchObject({ exemption: "common" });
        });

        it("quarantines the rarer of two that always come together (guards against a sound part in the same prompts)", () => {
            tracker.recordRequest("s", ["first", "b"], 0);
            [0, 1_000, 2_000].forEach(atMs => crash(["first", "d", "b"], atMs));
            expect([isRefused("first", 2_000), isRefused("b", 2_000), isRefused("d", 2_000)]).toEqual([
                false,
                false,
                true,
            ]);
        });

        it("prefers a part without any completed answer (guards against a sound part that is seldom asked for)", () => {
            tracker.recordCompletion(["b"], 0);
            [20_000, 21_000, 22_000].forEach(atMs => crash(["d", "b"], atMs));
            expect([isRefused("b", 22_000), isRefused("d", 22_000)]).toEqual([false, true]);
        });

        it("quarantines the one with more crashes, and takes back its choice (guards against a part that came with the deadly one)", () => {
            [0, 1_000, 2_000].forEach(atMs => crash(["d", "b"], atMs));
            expect(isRefused("b", 2_000)).toBe(true);
            crash(["d", "c"], 3_000);
            expect([isRefused("b", 3_000), isRefused("d", 3_000)]).toEqual([false, true]);
            expect(kinds()).toContain("withdrawn");
        });

        it("quarantines none in an outage of all upstreams (guards against parts of requests that were repeated)", () => {
            for (let index = 0; index < 12; index++) {
                crash(index % 3 === 0 ? ["b"] : [`other-${index}`], index * 400);
            }
            expect(isRefused("b", 5_000)).toBe(false);
        });
    });

    describe("given a request whose upstream has ended", () => {
        it("allows one repeat, and none once another crash is known (guards against repeats that crash upstreams)", () => {
            expect(tracker.mayRepeat(["first", "d"], 0, { upstreamId: "upstream-0", startedAtMs: 1 })).toBe(true);
            crash(["first", "d"], 0);
            expect(tracker.mayRepeat(["first", "d"], 0)).toBe(true);
            expect(tracker.mayRepeat(["first", "d"], 0, { upstreamId: "upstream-0", startedAtMs: 1 })).toBe(true);
            expect(tracker.mayRepeat(["d"], 0, { upstreamId: "another", startedAtMs: 1 })).toBe(false);
            crash(["d"], 1_000, "a");
            expect(tracker.mayRepeat(["d"], 1_000)).toBe(false);
            tracker.recordCompletion(["d"], 1_100);
            expect(tracker.mayRepeat(["d"], 1_200)).toBe(true);
        });
    });

    describe("given a quarantine that has ended", () => {
        beforeEach(() => quarantine("d"));

        it("lets one request at the trial host through (guards against a burst after each quarantine)", () => {
            expect(isRefused("d", 63_000)).toBe(true);
            isTrialHost = true;
            expect([63_000, 63_001, 64_000].map(nowMs => isRefused("d", nowMs))).toEqual([false, true, true]);
            expect(kinds()).toEqual(["quarantined", "trial"]);
        });

        it("renews it for twice as long when the trial crashes an upstream, without a repeat", () => {
            isTrialHost = true;
            tracker.findQuarantined(["d"], 63_000);
            crash(["first", "d"], 64_000);
            expect(tracker.mayRepeat(["first", "d"], 64_000)).toBe(false);
            expect(tracker.findQuarantined(["d"], 64_000)).toMatchObject({ retryAfterMs: 120_000 });
            expect(kinds()).toEqual(["quarantined", "trial", "renewed"]);
        });

        it("ends it when the trial completes", () => {
            isTrialHost = true;
            tracker.findQuarantined(["d"], 63_000);
            expect(tracker.recordCompletion(["first", "d"], 64_000)).toContain("d");
            expect(isRefused("d", 64_000)).toBe(false);
        });

        it("allows another trial later (guards against a caller that left its trial)", () => {
            isTrialHost = true;
            tracker.findQuarantined(["d"], 63_000);
            expect([isRefused("d", 70_000), isRefused("d", 74_000)]).toEqual([true, false]);
        });

        it("renews it at hosts that learn of the trial's crash (guards against hosts that let requests through)", () => {
            crash(["d"], 63_000, "a");
            expect(tracker.findQuarantined(["d"], 64_000)).toMatchObject({ retryAfterMs: 119_000 });
        });
    });

    describe("given more evidence than it keeps", () => {
        it("keeps the quarantined parts and the newest others (guards against memory without a bound)", () => {
            quarantine("d");
            for (let index = 0; index < 2_000; index++) {
                crash([`p-${index}`, "x".repeat(65)], 3_000 + index);
            }
            const parts = tracker.explain(5_000);
            expect(parts).toHaveLength(512);
            expect(parts.map(({ partId }) => partId)).toEqual(expect.arrayContaining(["d", "p-1999"]));
            const sent = tracker.ownEvidence(5_000);
            expect(sent.length).toBeLessThanOrEqual(128);
            expect(sent.map(({ partId }) => partId)).toContain("d");
            for (let index = 0; index < 100; index++) {
                crash(["e"], 10_000 + index * 1_000);
            }
            expect(tracker.explain(120_000).find(({ partId }) => partId === "e")!.crashes).toHaveLength(16);
        });
    });
});
