import { beforeEach, describe, expect, it } from "vitest";
import { EvacuationConfirmations } from "./evacuationConfirmations.js";

const SilentMs = 5_000;
const hosts = ["h2", "h1", "h3"];

describe("EvacuationConfirmations", () => {
    let confirmations: EvacuationConfirmations;
    const confirm = (hostId: string, nowMs: number, version = 10, zones = ["a"]) =>
        confirmations.record({ hostId, version, zones }, nowMs);

    beforeEach(() => {
        confirmations = new EvacuationConfirmations("a", 10, SilentMs);
    });

    describe("given confirmations of all hosts", () => {
        it("holds (guards against operators who wait in vain)", () => {
            expect(confirmations.statusOf(hosts, 0)).toEqual({
                holds: false,
                hosts: 3,
                unconfirmed: ["h1", "h2", "h3"],
            });
            hosts.forEach(hostId => confirm(hostId, 100));
            expect(confirmations.statusOf(hosts, 100)).toEqual({ holds: true, hosts: 3, unconfirmed: [] });
        });
    });

    describe("given statements that confirm nothing", () => {
        it.each([
            ["an older set", 9, ["a"]],
            ["a set without the zone", 11, ["b"]],
        ])("does not hold by %s, and the host is not silent (guards against operators who turn the power off early)", (
            _name,
            version,
            zones,
        ) => {
            confirmations.statusOf(hosts, 0);
            ["h1", "h2"].forEach(hostId => confirm(hostId, 100));
            confirm("h3", SilentMs, version, zones);
            expect(confirmations.statusOf(hosts, SilentMs + 100)).toMatchObject({ holds: false, unconfirmed: ["h3"] });
        });
    });

    describe("given a silent host", () => {
        it("holds after the time, and names it (guards against a dead host that hides the state of the others)", () => {
            confirmations.statusOf(hosts, 1_000);
            ["h1", "h2"].forEach(hostId => confirm(hostId, 1_100));
            expect(confirmations.statusOf(hosts, 1_000 + SilentMs - 1).holds).toBe(false);
            expect(confirmations.statusOf(hosts, 1_000 + SilentMs)).toEqual({
                holds: true,
                hosts: 3,
                unconfirmed: ["h3"],
            });
        });

        it("goes on to hold when a host is listed later, which started with the set", () => {
            confirmations.statusOf(["h1"], 0);
            confirm("h1", 100);
            expect(confirmations.statusOf(["h1"], 100).holds).toBe(true);
            expect(confirmations.statusOf(["h1", "h2"], 200)).toEqual({ holds: true, hosts: 2, unconfirmed: ["h2"] });
        });
    });
});
