import { beforeEach, describe, expect, it } from "vitest";
import { LinkLoad } from "./linkLoad.js";

const LinkBytesPerS = 875_000;

/** A large request and its answer, in bytes. */
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

    /** Plays requests at a steady rate. */
    function play(requestsPerS: number, durationMs: number): void {
        for (const endMs = nowMs + durationMs; nowMs < endMs;) {
            nowMs += 100;
            bytes += requestsPerS * RequestBytes / 10;
            load.recordBytes(bytes, nowMs);
        }
    }

    describe("given the usual load of a small host", () => {
        it("takes callers and requests", () => {
            play(8, 10_000);
            expect([load.isBusy, load.isFull, load.shouldCloseConnections(nowMs)]).toEqual([false, false, false]);
        });

        it("takes a few large requests at once (guards against refusals at each short burst)", () => {
            bytes += 10 * RequestBytes;
            load.recordBytes(bytes, 100);
            expect([load.isBusy, load.isFull]).toEqual([false, false]);
        });
    });

    describe("given twice the usual load", () => {
        it("sends new callers elsewhere before a burst finds no room (guards against a link that is overrun for seconds)", () => {
            play(20, 1_000);
            expect([load.isBusy, load.isFull]).toEqual([true, false]);
        });
    });

    describe("on a heavy day: a host with a third of its zone's callers", () => {
        it("sends new callers elsewhere at once, and kept ones when the balancer has noticed", () => {
            play(30, 1_000);
            expect([load.isBusy, load.isFull, load.shouldCloseConnections(nowMs)]).toEqual([true, false, false]);
            play(30, 2_000);
            expect(load.shouldCloseConnections(nowMs)).toBe(true);
        });

        it("refuses what would only wait for the link (guards against requests that wait until their deadlines)", () => {
            play(46, 1_000);
            expect(load.isFull).toBe(true);
        });
    });

    describe("after callers have moved", () => {
        it("takes callers again only when it stays calm (guards against callers that move back and forth)", () => {
            play(46, 3_000);
            play(5, 14_000);
            play(20, 1_000);
            expect(load.isBusy).toBe(true);
            play(5, 16_000);
            expect([load.isBusy, load.isFull, load.shouldCloseConnections(nowMs)]).toEqual([false, false, false]);
        });
    });

    describe("given a link whose capacity is not known", () => {
        it("is never busy", () => {
            load = new LinkLoad(undefined);
            load.recordBytes(0, 0);
            load.recordBytes(1e12, 100);
            expect([load.isBusy, load.isFull, load.usedFraction]).toEqual([false, false, 0]);
        });
    });
});
