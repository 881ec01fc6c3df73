import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { LoadTestFleet } from "../../standins/loadTestFleet.js";
import { EventTimeRotation, EventTimeTracker } from "./eventTimes.js";
import { FleetSumSchema, loadKeyOf, LoadSum } from "./loadSums.js";
import { MaxDatagramBytes } from "./peerChannel.js";
import { LoadReportSchema } from "./peerLoadTracker.js";

describe("EventTimeRotation", () => {
    describe("given more upstreams than a message holds", () => {
        it("sends all of them in turn (guards against slow upstreams that no host learns of)", () => {
            const rotation = new EventTimeRotation();
            const times = Array.from({ length: 10 }, (_, index) => [`engine-${index}`, 30 + index] as const);
            const tracker = new EventTimeTracker();
            for (let message = 0; message < 3; message++) {
                tracker.record(rotation.next(times));
            }
            expect(times.map(([id]) => tracker.eventTimeMs(id))).toEqual(times.map(([, timeMs]) => timeMs));
            expect(rotation.next([])).toBeUndefined();
        });
    });

    describe("given messages with the maximum number of loads", () => {
        it("fits into a datagram (guards against messages that are dropped, so that no host learns the load)", () => {
            const ids = Array.from({ length: 98 }, (_, index) => `i-${(4_000_000_000 + index).toString(16)}ab`);
            const times = ids.map(id => [id, 999] as const);
            const sum = new LoadSum();
            ids.forEach(id => sum.add(loadKeyOf(id), 999, 999_900));
            const l = Object.fromEntries(ids.slice(0, 40).map(id => [id, [99, 999_999]]));
            const messages = [
                ...sum.toMessages().map(loads => ({ k: "t", n: 1_000_000, l: loads })),
                { k: "l", h: "front-ie-south-c-17", i: "mm6sxww133f137", n: 1_000_000, l },
            ];
            for (const message of messages) {
                const text = JSON.stringify({ ...message, s: new EventTimeRotation().next(times) });
                expect(Buffer.byteLength(text)).toBeLessThanOrEqual(MaxDatagramBytes);
            }
        });
    });
});

describe("messages with event times", () => {
    describe("given hosts of an older release", () => {
        it("reads messages without event times, and without them those that have some (guards against releases that cannot run side by side)", () => {
            const report = { k: "l", h: "h1", i: "1", n: 1, l: { "engine-1": [1, 100] } };
            const sum = { k: "t", n: 1, l: {} };
            expect(LoadReportSchema.parse(report)).toEqual(report);
            expect(FleetSumSchema.parse(sum)).toEqual(sum);
            const older = { report: LoadReportSchema.omit({ s: true }), sum: FleetSumSchema.omit({ s: true }) };
            expect(older.report.parse({ ...report, s: { a: 300 } })).toEqual(report);
            expect(older.sum.parse({ ...sum, s: { a: 300 } })).toEqual(sum);
        });
    });
});

describe("LoadReporter", () => {
    beforeEach(() => {
        vi.useFakeTimers();
    });

    afterEach(() => {
        vi.useRealTimers();
    });

    describe("given a host that has measured two engines, and others without samples", () => {
        it("tells the hosts of its zone (guards against hosts that have just started and treat slow engines as fast)", () => {
            const fleet = new LoadTestFleet(60, 20, 2);
            const measuring = fleet.hosts[0]!;
            for (const [index, intervalMs] of [[3, 30], [4, 60]] as const) {
                for (let count = 0; count < 50; count++) {
                    measuring.directory.all[index]!.eventTime.record(intervalMs);
                }
            }
            fleet.play(3_000, 0.3);
            fleet.stop();
            const others = fleet.hosts.filter(({ identity }) => identity.zone === "z0").slice(1);
            for (const { reporter } of others) {
                expect(reporter.peerEventTimeMs("engine-3")).toBeCloseTo(30);
                expect(reporter.peerEventTimeMs("engine-4")).toBeCloseTo(60);
                expect(reporter.peerEventTimeMs("engine-5")).toBeUndefined();
            }
        });
    });

    describe("given engines with more slots than half of the hosts", () => {
        it("sends none (guards against messages that grow in fleets that do not use them)", () => {
            const fleet = new LoadTestFleet(40, 20, 2);
            const measuring = fleet.hosts[0]!;
            for (let count = 0; count < 50; count++) {
                measuring.directory.all[3]!.eventTime.record(30);
            }
            fleet.play(3_000, 0.3);
            fleet.stop();
            expect(fleet.hosts.filter(({ reporter }) => reporter.peerEventTimeMs("engine-3") !== undefined)).toEqual(
                [],
            );
        });
    });
});
