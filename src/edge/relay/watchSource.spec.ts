import { describe, expect, it } from "vitest";
import { type HostLocation, selectWatchSource } from "./watchSource.js";

const fleet = (count: number): HostLocation[] =>
    Array.from({ length: count }, (_, index) => ({ hostId: `h${index}`, zone: `z${index % 3}` }));

describe("selectWatchSource", () => {
    describe("given a small fleet", () => {
        it("lets every host watch the store", () => {
            const hosts = fleet(8);
            expect(hosts.map(own => selectWatchSource(hosts, own).kind)).toEqual(hosts.map(() => "everyHostWatches"));
        });
    });

    describe("given a large fleet", () => {
        const hosts = fleet(85);
        const sources = new Map(hosts.map(own => [own, selectWatchSource(hosts, own)]));
        const watchers = hosts.filter(own => sources.get(own)!.kind === "watchForZone");

        it("has two watchers in each zone (guards against calls to the store that grow with the fleet)", () => {
            expect(watchers.map(({ zone }) => zone).sort()).toEqual(["z0", "z0", "z1", "z1", "z2", "z2"]);
        });

        it("lets the other hosts ask both watchers of their zone, each watcher first for about half of them", () => {
            const firstChoiceCounts = new Map<string, number>();
            for (const [own, source] of sources) {
                if (source.kind === "askWatchers") {
                    expect(source.hosts.length).toBe(2);
                    expect(source.hosts.every(host => host.zone === own.zone && watchers.includes(host))).toBe(true);
                    const id = source.hosts[0]!.hostId;
                    firstChoiceCounts.set(id, (firstChoiceCounts.get(id) ?? 0) + 1);
                }
            }
            expect(Math.min(...firstChoiceCounts.values())).toBeGreaterThan(4);
        });
    });
});
