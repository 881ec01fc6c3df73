import { describe, expect, it } from "vitest";
import { EvidenceTestFleet } from "../../standins/evidenceTestFleet.js";
import { determineGatheringRole } from "../peers/loadGatherers.js";
import { MaxDatagramBytes } from "../peers/peerChannel.js";

/** Maximum number of hosts with a request at the upstream that crashes, and of shared prompt parts of each request. */
const AccusingHosts = 20;
const PartsPerRequest = 3;

/** Time within which evidence reaches all hosts, in milliseconds: two passes of 20 ms on, with some reserve. */
const DeliveryMs = 200;

/** Time within which a host that missed all messages about a change learns of it, in milliseconds. */
const RepeatedWithinMs = 3_000;

const partId = (request: number, part: number): string =>
    part === 0 ? "5c1e07a2" : (request * 7 + part).toString(16).padStart(8, "9");

/** Lets an upstream crash under requests of up to {@link AccusingHosts} hosts. @returns Evidence as `PART UPSTREAM HOST`. */
function crash(fleet: EvidenceTestFleet, upstreamId: string): string[] {
    const count = Math.min(AccusingHosts, fleet.hosts.length);
    const stride = Math.floor(fleet.hosts.length / count);
    return Array.from({ length: count }, (_, request) => {
        const { identity, tracker, exchange } = fleet.hosts[request * stride]!;
        const partIds = Array.from({ length: PartsPerRequest }, (_, part) => partId(request, part));
        const crashedAtMs = fleet.clock.monotonicMs();
        tracker.addOwn({ upstreamId, startedAtMs: 1_791_144_000_000, crashedAtMs }, partIds);
        exchange.recordChange();
        return partIds.map(id => `${id} ${upstreamId} ${identity.hostId}`);
    }).flat();
}

/** @returns Ids of hosts that lack some evidence of others, without hosts that are cut off. */
function hostsWithout(fleet: EvidenceTestFleet, evidence: readonly string[]): string[] {
    return fleet.hosts.filter(({ identity, tracker, channel }) =>
        !channel.isCutOff &&
        evidence.some(item => !item.endsWith(` ${identity.hostId}`) && !tracker.receivedCrashes.has(item))
    ).map(({ identity }) => identity.hostId);
}

const withoutHost = (item: string): string => item.slice(0, item.lastIndexOf(" "));

/** Cuts the gatherers with a rank off in all zones. */
function cutOffGatherers(fleet: EvidenceTestFleet, rank: number): void {
    for (const { identity, channel } of fleet.hosts) {
        channel.isCutOff = determineGatheringRole(fleet.identities, identity)?.rank === rank;
    }
}

const fleets = [{ hostCount: 8, zoneCount: 2 }, { hostCount: 65, zoneCount: 6 }, { hostCount: 195, zoneCount: 6 }];

describe("EvidenceExchange", () => {
    describe.each(fleets)("given a fleet of $hostCount hosts", ({ hostCount, zoneCount }) => {
        it("tells all hosts of a crash at once, each with a few datagrams (guards against verdicts that only some hosts reach)", () => {
            const fleet = new EvidenceTestFleet(hostCount, zoneCount);
            const evidence = crash(fleet, "i-ca80c416e5");
            fleet.play(DeliveryMs);
            expect(hostsWithout(fleet, evidence)).toEqual([]);
            const { messageCount, zoneCrossingCount, maxDatagramBytes } = fleet.traffic;
            const origins = Math.min(AccusingHosts, hostCount);
            expect(maxDatagramBytes).toBeLessThanOrEqual(MaxDatagramBytes);
            if (hostCount <= 16) {
                expect(messageCount).toBe(origins * (hostCount - 1));
            }
            else {
                // Each of two gatherers sends a message to every host of its zone and once to every other zone.
                expect(zoneCrossingCount).toBeLessThanOrEqual(origins * 2 * (zoneCount - 1));
                expect(messageCount).toBeLessThanOrEqual(origins * 2 * (hostCount + zoneCount));
            }
        });

        it("repeats it for hosts that were cut off (guards against lost datagrams and hosts that start later)", () => {
            const fleet = new EvidenceTestFleet(hostCount, zoneCount);
            const late = fleet.hosts.at(-2)!;
            late.channel.isCutOff = true;
            const evidence = crash(fleet, "i-ca80c416e5").filter(item => !item.endsWith(` ${late.identity.hostId}`));
            fleet.play(4_000);
            late.channel.isCutOff = false;
            fleet.play(RepeatedWithinMs);
            const received = [...late.tracker.receivedCrashes];
            for (const crashOfPart of new Set(evidence.map(withoutHost))) {
                const witnessCount = evidence.filter(item => withoutHost(item) === crashOfPart).length;
                const heardCount = received.filter(item => withoutHost(item) === crashOfPart).length;
                // One host's word does not lead to a quarantine; more than two say nothing new.
                expect(heardCount, crashOfPart).toBeGreaterThanOrEqual(Math.min(2, witnessCount));
            }
        });

        it("ends the repetitions when the evidence is gone (guards against messages without end)", () => {
            const fleet = new EvidenceTestFleet(hostCount, zoneCount);
            crash(fleet, "i-ca80c416e5");
            fleet.play(1_500);
            fleet.hosts.forEach(({ tracker }) => tracker.own.clear());
            fleet.play(RepeatedWithinMs);
            fleet.resetTraffic();
            fleet.play(10_000);
            expect(fleet.traffic.messageCount).toBe(0);
        });

        it("sends clearances of a busy part now and then only (guards against a message for each response)", () => {
            const fleet = new EvidenceTestFleet(hostCount, zoneCount);
            const [first] = fleet.hosts;
            for (let elapsedMs = 0; elapsedMs < 5_000; elapsedMs += 20) {
                first!.exchange.recordClearances(["5c1e07a2"]);
                fleet.play(20);
            }
            fleet.play(DeliveryMs);
            for (const { tracker, identity } of fleet.hosts) {
                if (identity !== first!.identity) {
                    expect(tracker.receivedClearances.get("5c1e07a2")).toBeGreaterThan(4_000);
                }
            }
            expect(fleet.traffic.messageCount).toBeLessThan(12 * 2 * (hostCount + zoneCount));
        });
    });

    describe.each(fleets.slice(1))("given a fleet of $hostCount hosts and gatherers that are down", fleetSize => {
        it.each([0, 1])(
            "reaches all hosts without those of rank %i (guards against evidence that one host carries)",
            rank => {
                const fleet = new EvidenceTestFleet(fleetSize.hostCount, fleetSize.zoneCount);
                cutOffGatherers(fleet, rank);
                const evidence = crash(fleet, "i-ca80c416e5").filter(item => {
                    const origin = fleet.hosts.find(({ identity }) => item.endsWith(` ${identity.hostId}`));
                    return origin?.channel.isCutOff === false;
                });
                fleet.play(DeliveryMs);
                expect(hostsWithout(fleet, evidence)).toEqual([]);
            },
        );
    });

    describe("given ages that pass through gatherers", () => {
        it("gives the time of the crash by the receiver's clock (guards against evidence that lives longer with each repetition)", () => {
            const fleet = new EvidenceTestFleet(65, 6);
            fleet.play(5_000);
            const crashedAtMs = fleet.clock.monotonicMs();
            crash(fleet, "i-ca80c416e5");
            fleet.play(8_000);
            for (const { tracker } of fleet.hosts) {
                expect(Math.max(...tracker.crashTimesMs) - crashedAtMs).toBeLessThanOrEqual(DeliveryMs);
                expect(Math.min(...tracker.crashTimesMs)).toBeGreaterThanOrEqual(crashedAtMs);
            }
        });
    });

    describe("given more parts than a datagram holds", () => {
        it("divides them (guards against datagrams that are dropped for their size)", () => {
            const fleet = new EvidenceTestFleet(8, 2);
            const [first, second] = fleet.hosts;
            const partIds = Array.from({ length: 400 }, (_, part) => partId(part, 1));
            for (let index = 0; index < 5; index++) {
                const crashedAtMs = fleet.clock.monotonicMs();
                first!.tracker.addOwn({ upstreamId: `i-ca80c416e${index}`, startedAtMs: 1, crashedAtMs }, partIds);
                first!.exchange.recordChange();
                fleet.play(DeliveryMs);
            }
            expect(fleet.traffic.maxDatagramBytes).toBeLessThanOrEqual(MaxDatagramBytes);
            expect(second!.tracker.receivedCrashes.size).toBe(400 * 5);
        });
    });
});
