import { describe, expect, it } from "vitest";
import { type HostLocation, selectWatchSource } from "./watchSource.js";

const fleet = (count: number): HostLocation[] =>
    Array.from({ length: count }, (_, index) => ({ hostId: `h${index}`, zone: `z${index % 3}` }));

describe("selectWatchSource", () => {
    describe("given a small fleet", () => {
        it("lets every host watch the store", () => {
            const hosts = fleet(8);
            expect(hosts.map(own => selectWatchSource(hosts, own).kind)).toEqual(hosts.map(() => "watchAll"));
        });
    });

    describe("given a large fleet", () => {
        const hosts = fleet(85);
        const choices = new Map(hosts.map(own => [own, selectWatchSource(hosts, own)]));
        const watching = hosts.filter(own => choices.get(own)!.kind === "watchForZone");

        it("has two watchers in each zone (guards against calls to the store that grow with the fleet)", () => {
            expect(watching.map(({ zone }) => zone).sort()).toEqual(["z0", "z0", "z1", "z1", "z2", "z2"]);
        });

        it("lets the others ask both watchers of their zone, half of them each one first", () => {
            const firsts = new Map<string, number>();
            for (const [own, choice] of choices) {
                if (choice.kind === "ask") {
                    expect(choice.hosts.length).toBe(2);
                    expect(choice.hosts.every(host => host.zone === own.zone && watching.includes(host))).toBe(true);
                    const id = choice.hosts[0]!.hostId;
                    firsts.set(id, (firsts.get(id) ?? 0) + 1);
                }
            }
            expect(Math.min(...firsts.values())).toBeGreaterThan(4);
        });
    });
});
