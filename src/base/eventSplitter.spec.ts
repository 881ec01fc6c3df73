import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { EventSplitter } from "./eventSplitter.js";

/** Time in which a piece must be split, in milliseconds: the shortest latency objective of a route, as the process does nothing else. */
const MaxPieceMs = 100;

/** Size of a read from a socket, and maximum size of an event, in bytes. */
const ReadBytes = 65_536;
const MaxEventBytes = 65_536;

/** @returns Time that the call takes, in milliseconds. */
function durationMs(call: () => void): number {
    const startedMs = performance.now();
    call();
    return performance.now() - startedMs;
}

describe("EventSplitter", () => {
    describe("given an event that does not end", () => {
        it("states that it is too long (guards against a stream that exhausts the memory)", () => {
            const splitter = new EventSplitter(MaxEventBytes);
            splitter.push(Buffer.alloc(60_000, "x"));
            expect(splitter.isEventTooLong).toBe(false);
            splitter.push(Buffer.alloc(60_000, "x"));
            expect(splitter.isEventTooLong).toBe(true);
        });
    });

    describe("given a stream that arrives in pieces", () => {
        it("returns complete events only (guards against truncated events that reach the caller)", () => {
            const splitter = new EventSplitter(MaxEventBytes);
            expect(splitter.push(Buffer.from("id: 1\ndata: a\n"))).toEqual([]);
            const events = splitter.push(Buffer.from("\nid: 2\ndata: b\n\nid: 3"));
            expect(events.map(event => event.id)).toEqual(["1", "2"]);
            expect(splitter.partial.toString()).toBe("id: 3");
        });

        it("accepts carriage returns and events without an id", () => {
            const events = new EventSplitter(MaxEventBytes).push(Buffer.from("data: a\r\n\r\nid:7\r\ndata: b\r\n\r\n"));
            expect(events.map(event => event.id)).toEqual([undefined, "7"]);
        });

        it("keeps every byte", () => {
            const text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
            const splitter = new EventSplitter(MaxEventBytes);
            const bytes = [...text].flatMap(part => splitter.push(Buffer.from(part)).map(event => event.bytes));
            expect(Buffer.concat(bytes).toString()).toBe(text);
        });

        it("finds the same events wherever it is cut (guards against ends of events that are missed between two pieces)", () => {
            const letter = fc.constantFrom("\r", "\n", "\r\n", "\n\n", "\r\n\r\n", "a", "id: 1", "data: x", ":");
            const streams = fc.array(fc.array(letter, { maxLength: 8 }).map(letters => letters.join("")), {
                maxLength: 8,
            });
            fc.assert(
                fc.property(streams, pieces => {
                    const splitter = new EventSplitter(MaxEventBytes);
                    const events = pieces.flatMap(piece =>
                        splitter.push(Buffer.from(piece)).map(({ bytes }) => bytes.toString())
                    );
                    let rest = pieces.join("");
                    const expected: string[] = [];
                    for (let end = rest.search(/\n\n|\r\n\r\n/); end >= 0; end = rest.search(/\n\n|\r\n\r\n/)) {
                        const length = end + (rest[end] === "\n" ? 2 : 4);
                        expected.push(rest.slice(0, length));
                        rest = rest.slice(length);
                    }
                    expect(events).toEqual(expected);
                    expect(splitter.partial.toString()).toBe(rest);
                }),
                { seed: 39, numRuns: 2_000 },
            );
        });
    });

    describe("given bytes that are costly to split (guards against an upstream that takes all time of the process)", () => {
        it.each([["line feeds", "data: x\n\n"], ["carriage returns", "data: x\r\n\r\n"], ["comments", ":\n\n"]])(
            "splits many small events in one piece at once: %s",
            (_name, event) => {
                const piece = Buffer.from(event.repeat(Math.ceil(ReadBytes / event.length)));
                expect(durationMs(() => new EventSplitter(MaxEventBytes).push(piece))).toBeLessThan(MaxPieceMs);
            },
        );

        it("splits one event in many small pieces at once", () => {
            const splitter = new EventSplitter(MaxEventBytes);
            const pieces = Array.from({ length: ReadBytes / 8 }, () => Buffer.from("data: x\n"));
            expect(durationMs(() => pieces.forEach(piece => splitter.push(piece)))).toBeLessThan(MaxPieceMs);
        });
    });
});
