import { describe, expect, it } from "vitest";
import { EventSplitter } from "./eventSplitter.js";
import { ResponseSyntaxError } from "./responseParser.js";

describe("EventSplitter", () => {
    describe("given an event that does not end", () => {
        it("throws an error (guards against a stream that exhausts the memory)", () => {
            const splitter = new EventSplitter();
            const push = () => splitter.push(Buffer.alloc(60_000, "x"));
            expect(() => Array.from({ length: 10 }, push)).toThrow(ResponseSyntaxError);
        });
    });

    describe("given a stream that arrives in pieces", () => {
        it("returns complete events only (guards against truncated events that reach the caller)", () => {
            const splitter = new EventSplitter();
            expect(splitter.push(Buffer.from("id: 1\ndata: a\n"))).toEqual([]);
            const events = splitter.push(Buffer.from("\nid: 2\ndata: b\n\nid: 3"));
            expect(events.map(event => event.id)).toEqual(["1", "2"]);
            expect(splitter.partial.toString()).toBe("id: 3");
        });

        it("accepts carriage returns and events without an id", () => {
            const events = new EventSplitter().push(Buffer.from("data: a\r\n\r\nid:7\r\ndata: b\r\n\r\n"));
            expect(events.map(event => event.id)).toEqual([undefined, "7"]);
        });

        it("keeps every byte", () => {
            const text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
            const splitter = new EventSplitter();
            const bytes = [...text].flatMap(part => splitter.push(Buffer.from(part)).map(event => event.bytes));
            expect(Buffer.concat(bytes).toString()).toBe(text);
        });
    });
});
