import { describe, expect, it } from "vitest";
import { equalHashes, rendezvousOrder, RendezvousSet, sha256Hex } from "./hashing.js";

const hosts = Array.from({ length: 40 }, (_, index) => `host-${index}`);
const keys = Array.from({ length: 4_000 }, (_, index) => `budget-${index}`);

describe("RendezvousSet", () => {
    const set = new RendezvousSet(hosts);

    describe("with many keys", () => {
        it("places each key on the requested number of candidates, evenly (guards against a host with most of the keys)", () => {
            const counts = hosts.map(host => keys.filter(key => set.isPlacedOn(key, host, 2)).length);
            expect(counts.reduce((sum, count) => sum + count, 0)).toBe(2 * keys.length);
            expect(Math.min(...counts)).toBeGreaterThan(120);
            expect(Math.max(...counts)).toBeLessThan(290);
        });
    });

    describe("when a candidate is removed", () => {
        it("keeps the placements on the others (guards against shares that all move when a host fails)", () => {
            const remaining = new RendezvousSet(hosts.slice(1));
            const moved = keys.filter(key =>
                hosts.slice(1).some(host => set.isPlacedOn(key, host, 2) && !remaining.isPlacedOn(key, host, 2))
            );
            expect(moved).toEqual([]);
        });
    });
});

describe("rendezvousOrder", () => {
    describe("when a candidate is removed", () => {
        it("keeps the order of the others", () => {
            const order = rendezvousOrder("key", hosts);
            expect(rendezvousOrder("key", hosts.filter(host => host !== order[3]))).toEqual(
                order.filter(host => host !== order[3]),
            );
        });
    });
});

describe("equalHashes", () => {
    describe("given hashes", () => {
        it("compares content and length", () => {
            expect(equalHashes(sha256Hex("a"), sha256Hex("a"))).toBe(true);
            expect(equalHashes(sha256Hex("a"), sha256Hex("b"))).toBe(false);
            expect(equalHashes(sha256Hex("a"), "")).toBe(false);
        });
    });
});
