import { beforeEach, describe, expect, it } from "vitest";
import { LinkLoad } from "./linkLoad.js";

const LinkBytesPerS = 875_000;

/** Size of a large request and its response together, in bytes. */
const RequestBytes = 19_000;

describe("LinkLoad", () => {
    let load: LinkLoad;
    let nowMs: number;
    let bytes: number;

    beforeEach(() => {
        load = new LinkLoad(LinkBytesPerS);
        nowMs = 0;
        bytes = 0;
        load.recordBytes(0, 0);
    });

    /** Simulates requests at a steady rate. */
    function simulate(requestsPerS: number, durationMs: number): void {
        for (const endMs = nowMs + durationMs; nowMs < endMs;) {
            nowMs += 100;
            bytes += requestsPerS * RequestBytes / 10;
            load.recordBytes(bytes, nowMs);
        }
    }

    describe("given the usual load of a small host", () => {
        it("accepts callers and requests", () => {
            simulate(8, 10_000);
            expect([load.isBusy, load.isFull, load.shouldCloseConnections(nowMs)]).toEqual([false, false, false]);
        });

        it("accepts a few large requests at once (guards against refusals at each short burst)", () => {
            bytes += 10 * RequestBytes;
            load.recordBytes(bytes, 100);
            expect([load.isBusy, load.isFull]).toEqual([false, false]);
        });
    });

    describe("given twice the usual load", () => {
        it("sends new callers elsewhere while there is capacity for a burst (guards against a link overloaded for seconds)", () => {
            simulate(20, 1_000);
            expect([load.isBusy, load.isFull]).toEqual([true, false]);
        });
    });

    describe("given a host with a third of its zone's callers at peak load", () => {
        it("sends new callers elsewhere at once, and connected ones when the load balancer has noticed", () => {
            simulate(30, 1_000);
            expect([load.isBusy, load.isFull, load.shouldCloseConnections(nowMs)]).toEqual([true, false, false]);
            simulate(30, 2_000);
            expect(load.shouldCloseConnections(nowMs)).toBe(true);
        });

        it("refuses requests that would wait for the link (guards against requests that wait until their deadlines)", () => {
            simulate(46, 1_000);
            expect(load.isFull).toBe(true);
        });
    });

    describe("given a host whose callers have moved to other hosts", () => {
        it("accepts callers again only after a period of low load (guards against callers that move back and forth)", () => {
            simulate(46, 3_000);
            simulate(5, 14_000);
            simulate(20, 1_000);
            expect(load.isBusy).toBe(true);
            simulate(5, 16_000);
            expect([load.isBusy, load.isFull, load.shouldCloseConnections(nowMs)]).toEqual([false, false, false]);
        });
    });

    describe("given a link of unknown capacity", () => {
        it("is never busy", () => {
            load = new LinkLoad(undefined);
            load.recordBytes(0, 0);
            load.recordBytes(1e12, 100);
            expect([load.isBusy, load.isFull, load.usedFraction]).toEqual([false, false, 0]);
        });
    });
});
