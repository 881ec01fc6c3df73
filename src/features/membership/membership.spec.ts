import { beforeEach, describe, expect, it } from "vitest";
import { KernelTestFleet, type KernelTestHost } from "../../standins/kernelTestFleet.js";
import { createUpstreamStatus } from "../upstream/upstreamBoard.js";
import { MaxDigestBytes } from "./digestSize.js";
import type { Member } from "./membershipTypes.js";

const Second = 1_000;

describe("MembershipController", () => {
    let fleet: KernelTestFleet;

    beforeEach(() => {
        fleet = new KernelTestFleet();
    });

    function host(hostId: string): KernelTestHost {
        return fleet.hosts.get(hostId)!;
    }

    function stateAt(observer: string, subject: string): Member["state"] | undefined {
        return host(observer).kernel.board.membership.members.get(subject)?.state;
    }

    function suspectsAt(observer: string): string[] {
        return [...host(observer).kernel.board.membership.suspects];
    }

    describe("when a host dies", () => {
        it("is suspected by all hosts within 15 s, and no live host is (guards against shares that are never recovered)", () => {
            fleet.startMany(8);
            fleet.advance(20 * Second);
            host("h3").isRunning = false;
            fleet.advance(15 * Second);
            for (const { hostId, kernel } of fleet.runningHosts) {
                const states = [...kernel.board.membership.members.values()].filter(member => member.state !== "live");
                expect(states.map(member => member.hostId), hostId).toEqual(["h3"]);
            }
            expect(fleet.runningHosts.some(({ hostId }) => suspectsAt(hostId).length > 0)).toBe(true);
        });

        it("stays suspected while the platform still lists it (guards against relying on a stale host list)", () => {
            fleet.startMany(4);
            fleet.advance(10 * Second);
            host("h1").isRunning = false;
            fleet.advance(90 * Second);
            expect(fleet.listedHosts.has("h1")).toBe(true);
            expect(["h0", "h2", "h3"].map(observer => stateAt(observer, "h1"))).toEqual(Array(3).fill("suspect"));
        });

        it("is no longer suspected once its record is sealed (guards against endless reads of the record)", () => {
            fleet.startMany(4);
            fleet.advance(10 * Second);
            const hostKey = `h1~${host("h1").incarnation}`;
            host("h1").isRunning = false;
            fleet.advance(15 * Second);
            expect(suspectsAt("h0")).toEqual([hostKey]);
            host("h0").kernel.post({
                type: "storePutDone",
                owner: "recovery",
                callId: "seal",
                key: `host/${hostKey}`,
                outcome: { status: "applied", version: 2 },
            });
            fleet.advance(6 * Second);
            for (const observer of ["h0", "h2", "h3"]) {
                expect(suspectsAt(observer)).toEqual([]);
                expect(stateAt(observer, "h1")).toBe("sealed");
            }
        });
    });

    describe("when hosts join one after another", () => {
        it("suspects none of them (guards against successors that are skipped while the ring changes)", () => {
            fleet.startMany(8);
            for (let index = 8; index < 40; index++) {
                fleet.start(`h${index}`);
                fleet.advance(1_500, () => {
                    for (const { kernel } of fleet.runningHosts) {
                        expect([...kernel.board.membership.suspects]).toEqual([]);
                    }
                });
            }
        });
    });

    describe("when a host that never ran is listed", () => {
        it("is not a candidate for sealing, as it has no incarnation (guards against sealing a missing record)", () => {
            fleet.startMany(3);
            fleet.listedHosts.set("h9", {
                ...fleet.listedHosts.get("h0")!,
                hostId: "h9",
                peerAddress: fleet.addressOf("h9"),
            });
            fleet.advance(40 * Second);
            expect(stateAt("h0", "h9")).toBe("suspect");
            expect(suspectsAt("h0")).toEqual([]);
        });
    });

    describe("when a host restarts", () => {
        it("replaces its old incarnation, which may be sealed (guards against two incarnations with one share)", () => {
            fleet.startMany(5);
            fleet.advance(10 * Second);
            const oldKey = `h2~${host("h2").incarnation}`;
            const restarted = fleet.start("h2");
            fleet.advance(8 * Second);
            for (const { hostId, kernel } of fleet.runningHosts.filter(({ hostId }) => hostId !== "h2")) {
                const member = kernel.board.membership.members.get("h2");
                expect(member, hostId).toMatchObject({ incarnation: restarted.incarnation, state: "live" });
                expect(suspectsAt(hostId)).toEqual([oldKey]);
            }
        });

        it("is accepted although its clock was set back (guards against a host whose updates are ignored)", () => {
            fleet.startMany(5);
            fleet.advance(10 * Second);
            for (const { kernel } of fleet.runningHosts) {
                const known = kernel.board.membership.members.get("h2");
                if (known !== undefined) {
                    known.heartbeat += 3_600_000;
                }
            }
            const { incarnation } = fleet.start("h2");
            fleet.advance(10 * Second);
            for (const observer of ["h0", "h1", "h3", "h4"]) {
                const member = host(observer).kernel.board.membership.members.get("h2");
                expect(member).toMatchObject({ incarnation, state: "live" });
            }
        });
    });

    describe("when hosts are cut off or paused", () => {
        it("finds all hosts again after the partition (guards against a fleet that stays divided)", () => {
            fleet.startMany(8);
            fleet.advance(10 * Second);
            for (const hostId of ["h0", "h1", "h2", "h3"]) {
                fleet.partitionByHost.set(hostId, 1);
            }
            fleet.advance(60 * Second);
            expect(stateAt("h0", "h7")).toBe("suspect");
            fleet.partitionByHost.clear();
            fleet.advance(20 * Second);
            for (const { kernel } of fleet.runningHosts) {
                const states = [...kernel.board.membership.members.values()].map(member => member.state);
                expect(states).toEqual(Array(7).fill("live"));
                expect(kernel.board.membership.suspects.size).toBe(0);
            }
        });

        it("suspects no host after its own pause (guards against a resumed host that seals the fleet)", () => {
            fleet.startMany(6);
            fleet.advance(10 * Second);
            host("h4").isPaused = true;
            fleet.advance(40 * Second);
            expect(stateAt("h0", "h4")).toBe("suspect");
            host("h4").isPaused = false;
            fleet.advance(20 * Second, () => expect(suspectsAt("h4")).toEqual([]));
            expect(stateAt("h0", "h4")).toBe("live");
        });
    });

    describe("when a host or an upstream leaves", () => {
        it("informs the other hosts within 2 s and is not suspected after its end", () => {
            fleet.startMany(6);
            fleet.advance(10 * Second);
            const leaving = host("h0").kernel.board;
            leaving.lifecycle.phase = "draining";
            leaving.upstream.statuses.set("u1", { ...createUpstreamStatus(8), leavingSeenHere: true });
            fleet.advance(2 * Second);
            for (let index = 1; index < 6; index++) {
                expect(stateAt(`h${index}`, "h0")).toBe("leaving");
                expect([...host(`h${index}`).kernel.board.membership.leavingUpstreams]).toEqual(["u1"]);
            }
            leaving.lifecycle.phase = "closed";
            fleet.advance(2 * Second);
            host("h0").isRunning = false;
            fleet.advance(30 * Second);
            expect(suspectsAt("h1")).toEqual([]);
            expect(stateAt("h1", "h0")).toBe("closed");
            expect(host("h1").kernel.board.membership.leavingUpstreams.size).toBe(0);
        });
    });

    describe("when peers have requests in flight", () => {
        it("adds them up and drops old reports (guards against herding and against counting requests of dead hosts)", () => {
            fleet.startMany(4);
            for (const hostId of ["h1", "h2", "h3"]) {
                const { statuses } = host(hostId).kernel.board.upstream;
                statuses.set("u1", { ...createUpstreamStatus(8), inFlight: 5 });
            }
            fleet.advance(10 * Second);
            expect(host("h0").kernel.board.membership.peerInFlight.get("u1")).toBe(15);
            for (const hostId of ["h1", "h2", "h3"]) {
                host(hostId).isRunning = false;
            }
            fleet.advance(12 * Second);
            expect(host("h0").kernel.board.membership.peerInFlight.size).toBe(0);
        });
    });

    describe("in a fleet of 400 hosts", () => {
        it("sends as much as in a fleet of 8 and reports a death to all (guards against cost that grows with the fleet)", () => {
            fleet.startMany(400);
            fleet.advance(10 * Second);
            const sentBefore = fleet.runningHosts.map(host => host.sentBytes);
            fleet.advance(10 * Second);
            const rates = fleet.runningHosts.map((host, index) => (host.sentBytes - sentBefore[index]!) / 10);
            const mean = rates.reduce((sum, rate) => sum + rate, 0) / rates.length;
            expect(mean).toBeLessThan(2 * MaxDigestBytes);
            expect(Math.max(...rates)).toBeLessThan(4_096);
            expect(Math.max(...fleet.runningHosts.map(host => host.largestDigestBytes))).toBeLessThanOrEqual(
                MaxDigestBytes,
            );
            host("h77").isRunning = false;
            fleet.advance(20 * Second);
            const unaware = fleet.runningHosts.filter(({ hostId }) => stateAt(hostId, "h77") !== "suspect");
            expect(unaware.map(({ hostId }) => hostId)).toEqual([]);
        });
    });
});
