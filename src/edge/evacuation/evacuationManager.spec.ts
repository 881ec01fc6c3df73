import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { rendezvousOrder } from "../../base/hashing.js";
import { log } from "../../base/log.js";
import { EvacuationTestFleet, type Freeze, maySend } from "../../standins/evacuationTestFleet.js";
import type { PeerMessage } from "../peers/peerChannel.js";

/** Time within which an evacuation must be in force, in milliseconds. */
const EvacuateMs = 5_000;

const isPoll = ({ k }: PeerMessage) => k === "zs";
const none = (sending: readonly boolean[]) => sending.every(isSending => !isSending);
const all = (sending: readonly boolean[]) => sending.every(isSending => isSending);

describe("EvacuationManager", () => {
    let fleet: EvacuationTestFleet;

    const startFleet = async (hostCount: number) => {
        fleet = new EvacuationTestFleet(hostCount);
        await fleet.play(1_000);
    };

    beforeEach(() => {
        vi.useFakeTimers();
    });

    afterEach(() => {
        fleet.stopAll();
        vi.useRealTimers();
        vi.restoreAllMocks();
    });

    describe.each([1, 8, 20])("given a fleet of %i hosts", hostCount => {
        it("sends nothing to an evacuated zone until that is taken back (guards against hosts that do not follow)", async () => {
            await startFleet(hostCount);
            expect(all(fleet.sendingTo("z1"))).toBe(true);
            fleet.evacuate("z1");
            await fleet.play(200);
            expect(none(fleet.sendingTo("z1"))).toBe(true);
            expect(all(fleet.sendingTo("z2"))).toBe(true);
            await fleet.play(8_000);
            expect(none(fleet.sendingTo("z1"))).toBe(true);
            fleet.takeBack("z1");
            await fleet.play(200);
            expect(all(fleet.sendingTo("z1"))).toBe(true);
        });

        it("sends no message while no zone is evacuated (guards against traffic that is billed in vain)", async () => {
            await startFleet(hostCount);
            await fleet.play(5_000);
            expect(fleet.sentMessages).toEqual([]);
        });

        it("repeats the set by few hosts (guards against repetitions that grow with the square of the fleet)", async () => {
            await startFleet(hostCount);
            fleet.evacuate("z1");
            await fleet.play(1_000);
            fleet.sentMessages.length = 0;
            await fleet.play(10_000);
            const sets = fleet.sentMessages.filter(({ k }) => k === "ze");
            expect(sets.length).toBeLessThan(10 * 3 * hostCount);
            expect(sets.length).toBeGreaterThanOrEqual(4 * (hostCount - 1));
        });
    });

    describe("given a host without the store", () => {
        it.each([8, 20])(
            "learns of it by the broadcast, in a fleet of %i (guards against a host that goes on sending)",
            async hostCount => {
                await startFleet(hostCount);
                const host = fleet.hosts[3]!;
                host.isCutOffFromStore = true;
                await fleet.play(3_000);
                // The polls of the collectors would tell it too.
                fleet.isLost = isPoll;
                fleet.evacuate("z1");
                await fleet.play(200);
                expect(maySend(host, "z1")).toBe(false);
                fleet.takeBack("z1");
                await fleet.play(200);
                expect(maySend(host, "z1")).toBe(true);
            },
        );

        it("learns of it by a repetition if the first messages are lost (guards against one lost datagram)", async () => {
            await startFleet(8);
            const host = fleet.hosts[3]!;
            host.isCutOffFromStore = true;
            await fleet.play(3_000);
            fleet.isLost = (_message, address) => address === host.identity.peerAddress;
            fleet.evacuate("z1");
            await fleet.play(1_000);
            expect(maySend(host, "z1")).toBe(true);
            fleet.isLost = isPoll;
            await fleet.play(EvacuateMs - 1_000);
            expect(maySend(host, "z1")).toBe(false);
        });

        it("learns of the end by an answer to its own outdated message if it missed all others", async () => {
            await startFleet(8);
            const host = fleet.hosts[3]!;
            fleet.evacuate("z1");
            await fleet.play(500);
            host.isCutOffFromStore = true;
            host.isCutOffFromHosts = true;
            await fleet.play(2_000);
            fleet.takeBack("z1");
            await fleet.play(15_000);
            expect(maySend(host, "z1")).toBe(false);
            host.isCutOffFromHosts = false;
            await fleet.play(4_000);
            expect(maySend(host, "z1")).toBe(true);
        });

        it("keeps the last set if it reaches no host either", async () => {
            await startFleet(8);
            const host = fleet.hosts[3]!;
            fleet.evacuate("z1");
            await fleet.play(500);
            host.isCutOffFromStore = true;
            host.isCutOffFromHosts = true;
            await fleet.play(30_000);
            expect([maySend(host, "z1"), maySend(host, "z2")]).toEqual([false, true]);
        });
    });

    describe("given a store that is down", () => {
        it("keeps the set in force, without a refusal (guards against an outage that ends an evacuation or stops the fleet)", async () => {
            await startFleet(8);
            fleet.evacuate("z1");
            await fleet.play(500);
            fleet.isStoreDown = true;
            await fleet.play(30_000);
            expect(none(fleet.sendingTo("z1"))).toBe(true);
            expect(all(fleet.sendingTo("z2"))).toBe(true);
        });
    });

    describe("given a store that comes back from a copy with a lower number", () => {
        it("follows the copy's list (guards against hosts that keep a set of the lost history)", async () => {
            await startFleet(8);
            fleet.evacuate("z0");
            const copy = fleet.store.copy();
            fleet.takeBack("z0");
            fleet.evacuate("z1");
            await fleet.play(500);
            expect([none(fleet.sendingTo("z1")), all(fleet.sendingTo("z0"))]).toEqual([true, true]);
            fleet.hosts[3]!.isCutOffFromStore = true;
            fleet.restore(copy);
            await fleet.play(3_000);
            expect([all(fleet.sendingTo("z1")), none(fleet.sendingTo("z0"))]).toEqual([true, true]);
        });
    });

    describe.each<Freeze>(["process", "machine"])("given a suspended host (%s)", freeze => {
        const suspend = async (durationMs: number) => {
            await startFleet(8);
            const host = fleet.hosts[3]!;
            host.freeze = freeze;
            fleet.evacuate("z1");
            await fleet.play(durationMs);
            return host;
        };

        it("sends nothing before the set is confirmed, and then not to the zone (guards against a send at the moment it wakes)", async () => {
            const host = await suspend(10_000);
            fleet.wake(host);
            expect([maySend(host, "z0"), maySend(host, "z1"), host.manager.isReliable]).toEqual([false, false, false]);
            await fleet.play(100);
            expect([maySend(host, "z0"), maySend(host, "z1"), host.manager.isReliable]).toEqual([true, false, true]);
        });

        it("is confirmed by another host if the store does not respond", async () => {
            const host = await suspend(10_000);
            host.isCutOffFromStore = true;
            fleet.wake(host);
            expect(maySend(host, "z0")).toBe(false);
            await fleet.play(100);
            expect([maySend(host, "z0"), maySend(host, "z1")]).toEqual([true, false]);
        });

        it("is confirmed by another host's set without an evacuation too", async () => {
            const host = await suspend(10_000);
            fleet.takeBack("z1");
            await fleet.play(15_000);
            host.isCutOffFromStore = true;
            fleet.wake(host);
            expect(maySend(host, "z0")).toBe(false);
            await fleet.play(100);
            expect([maySend(host, "z0"), maySend(host, "z1")]).toEqual([true, true]);
        });

        it("goes on after a second if neither responds (guards against an isolated host that refuses for ever)", async () => {
            const host = await suspend(10_000);
            host.isCutOffFromStore = true;
            host.isCutOffFromHosts = true;
            host.delayed.length = 0;
            fleet.wake(host);
            await fleet.play(900);
            expect(maySend(host, "z0")).toBe(false);
            await fleet.play(200);
            expect(maySend(host, "z0")).toBe(true);
        });
    });

    describe("given messages that waited while the host was suspended", () => {
        it("do not confirm the set as replies to an earlier query (guards against an answer from before the evacuation)", async () => {
            await startFleet(8);
            const host = fleet.hosts[3]!;
            host.isCutOffFromStore = true;
            host.freeze = "process";
            await fleet.play(1_000);
            fleet.wake(host);
            expect(host.manager.isReliable).toBe(false);
            // The query is on its way; its replies come while the host stands still again.
            host.freeze = "process";
            await fleet.play(100);
            fleet.evacuate("z1");
            await fleet.play(8_000);
            host.freeze = undefined;
            expect(maySend(host, "z0")).toBe(false);
            expect(host.delayed.length).toBeGreaterThan(3);
            host.delayed.splice(0).forEach(deliver => deliver());
            expect([host.manager.isReliable, maySend(host, "z1")]).toEqual([false, false]);
        });

        it("do not make its set current for others (guards against an outdated answer to another host)", async () => {
            await startFleet(2);
            const [asking, answering] = fleet.hosts as [typeof fleet.hosts[0], typeof fleet.hosts[0]];
            fleet.evacuate("z1");
            await fleet.play(500);
            asking.freeze = "process";
            answering.freeze = "process";
            fleet.isStoreDown = true;
            await fleet.play(10_000);
            fleet.wake(answering);
            await fleet.play(1_200);
            expect(maySend(answering, "z0")).toBe(true);
            fleet.wake(asking);
            expect(maySend(asking, "z0")).toBe(false);
            await fleet.play(500);
            expect(maySend(asking, "z0")).toBe(false);
        });
    });

    describe("given a starting host", () => {
        it("is not informed before the first list and does not send to the zone after it (guards against sends at the start)", async () => {
            await startFleet(8);
            const host = fleet.hosts[3]!;
            fleet.evacuate("z1");
            await fleet.play(6_000);
            fleet.stop(host);
            await fleet.play(1_000);
            fleet.start(host);
            expect([host.manager.isInformed, maySend(host, "z0")]).toEqual([false, false]);
            await fleet.play(100);
            expect([host.manager.isInformed, maySend(host, "z0"), maySend(host, "z1")]).toEqual([true, true, false]);
        });

        it("is not informed by a host whose set the store confirmed too long ago", async () => {
            await startFleet(2);
            const [first, second] = fleet.hosts as [typeof fleet.hosts[0], typeof fleet.hosts[0]];
            fleet.evacuate("z1");
            await fleet.play(500);
            fleet.isStoreDown = true;
            fleet.stop(second);
            await fleet.play(10_000);
            fleet.start(second);
            await fleet.play(5_000);
            expect([first.manager.isInformed, second.manager.isInformed]).toEqual([true, false]);
        });
    });

    describe("given the confirmations of the hosts", () => {
        const collectorsOf = (zone: string) => {
            const ids = rendezvousOrder(zone, fleet.hosts.map(({ identity }) => identity.hostId));
            return ids.slice(0, 2).map(id => fleet.hosts.find(({ identity }) => identity.hostId === id)!);
        };
        const otherThanCollectors = (zone: string) => fleet.hosts.find(host => !collectorsOf(zone).includes(host))!;

        it.each([1, 8, 20])(
            "writes that the evacuation holds, once, in a fleet of %i (guards against operators who wait in vain)",
            async hostCount => {
                await startFleet(hostCount);
                fleet.evacuate("z1");
                await fleet.play(3_000);
                expect(fleet.statusOf("z1")).toEqual({ holds: true, hosts: hostCount, unconfirmed: [] });
                expect(fleet.statusWrites.length).toBe(1);
            },
        );

        it("writes it again for a later evacuation of the zone (guards against a status of the earlier one)", async () => {
            await startFleet(8);
            fleet.evacuate("z1");
            await fleet.play(2_000);
            fleet.takeBack("z1");
            await fleet.play(2_000);
            const host = otherThanCollectors("z1");
            host.isCutOffFromStore = true;
            host.isCutOffFromHosts = true;
            fleet.evacuate("z1");
            await fleet.play(2_000);
            expect(fleet.statusOf("z1")).toEqual({ holds: false, hosts: 8, unconfirmed: [host.identity.hostId] });
        });

        it("counts a host that only receives messages (guards against a host without the store that is never confirmed)", async () => {
            await startFleet(8);
            otherThanCollectors("z1").isCutOffFromStore = true;
            await fleet.play(2_000);
            fleet.isLost = message => message.k === "ze";
            fleet.evacuate("z1");
            await fleet.play(2_000);
            expect(fleet.statusOf("z1")).toEqual({ holds: true, hosts: 8, unconfirmed: [] });
        });

        it("holds without a silent host after the time, and names it until it confirms", async () => {
            await startFleet(8);
            const host = otherThanCollectors("z1");
            host.freeze = "process";
            fleet.evacuate("z1");
            await fleet.play(EvacuateMs - 500);
            const { hostId } = host.identity;
            expect(fleet.statusOf("z1")).toEqual({ holds: false, hosts: 8, unconfirmed: [hostId] });
            await fleet.play(1_500);
            expect(fleet.statusOf("z1")).toEqual({ holds: true, hosts: 8, unconfirmed: [hostId] });
            fleet.wake(host);
            await fleet.play(2_000);
            expect(fleet.statusOf("z1")).toEqual({ holds: true, hosts: 8, unconfirmed: [] });
        });

        it.each([0, 1])(
            "writes it although collector %i is dead (guards against a status that one host can hide)",
            async rank => {
                await startFleet(8);
                const dead = collectorsOf("z1")[rank]!;
                fleet.stop(dead);
                fleet.evacuate("z1");
                await fleet.play(EvacuateMs + 3_000);
                const unconfirmed = [dead.identity.hostId];
                expect(fleet.statusOf("z1")).toEqual({ holds: true, hosts: 8, unconfirmed });
            },
        );

        it("writes nothing if both are dead, and the evacuation is in force all the same", async () => {
            await startFleet(8);
            const dead = collectorsOf("z1");
            dead.forEach(host => fleet.stop(host));
            fleet.evacuate("z1");
            await fleet.play(10_000);
            expect(fleet.statusOf("z1")).toBeUndefined();
            expect(none(fleet.hosts.filter(host => !dead.includes(host)).map(host => maySend(host, "z1")))).toBe(true);
        });

        it("settles if the collectors disagree about a host (guards against writes that are charged without an end)", async () => {
            await startFleet(8);
            const [first] = collectorsOf("z1");
            const host = otherThanCollectors("z1");
            fleet.isLost = ({ k }, address) =>
                (k === "zs" || k === "zc") && address === (k === "zs" ? host : first!).identity.peerAddress &&
                fleet.sender === (k === "zs" ? first! : host);
            fleet.evacuate("z1");
            await fleet.play(EvacuateMs + 3_000);
            const count = fleet.statusWrites.length;
            expect(fleet.statusOf("z1")).toMatchObject({ holds: true, hosts: 8 });
            await fleet.play(10_000);
            expect([count, fleet.statusWrites.length]).toEqual([count, count]);
            expect(count).toBeLessThanOrEqual(3);
        });

        it("does not hold by the status that a copy of the store brings back (guards against an outdated statement)", async () => {
            await startFleet(8);
            fleet.evacuate("z1");
            await fleet.play(2_000);
            const copy = fleet.store.copy();
            fleet.takeBack("z1");
            await fleet.play(2_000);
            const host = otherThanCollectors("z1");
            host.isCutOffFromStore = true;
            host.isCutOffFromHosts = true;
            fleet.restore(copy);
            await fleet.play(3_500);
            expect(fleet.statusOf("z1")).toEqual({ holds: false, hosts: 8, unconfirmed: [host.identity.hostId] });
        });
    });

    describe("given objects that have no effect", () => {
        it.each([
            ["of an unknown zone", "nowhere", {}],
            ["that cannot be read", "z2", "text"],
        ])(
            "logs one warning for one %s (guards against a log that fills up, and a misspelt zone that stops others)",
            async (
                _name,
                zone,
                value,
            ) => {
                const warn = vi.spyOn(log, "warn");
                await startFleet(1);
                fleet.evacuate(zone, value);
                await fleet.play(5_000);
                fleet.evacuate("z1");
                await fleet.play(5_000);
                expect(warn).toHaveBeenCalledTimes(1);
                expect([maySend(fleet.hosts[0]!, "z0"), maySend(fleet.hosts[0]!, "z2")]).toEqual([true, true]);
            },
        );

        it("accepts the zone of a listed upstream that the settings do not name", async () => {
            await startFleet(1);
            fleet.evacuate("listed");
            await fleet.play(100);
            expect(maySend(fleet.hosts[0]!, "listed")).toBe(false);
        });
    });
});
