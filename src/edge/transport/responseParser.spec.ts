import { describe, expect, it } from "vitest";
import { type ResponseHead, ResponseParser, ResponseSyntaxError } from "./responseParser.js";

function parse(method: string, ...pieces: string[]) {
    const heads: ResponseHead[] = [];
    let body = "";
    let ends = 0;
    const parser = new ResponseParser({
        onHead: head => heads.push(head),
        onBody: bytes => body += bytes.toString(),
        onEnd: () => ends++,
    });
    parser.expectResponse(method);
    for (const piece of pieces) {
        parser.push(Buffer.from(piece, "latin1"));
    }
    return { parser, heads, body: () => body, ends: () => ends };
}

describe("ResponseParser", () => {
    describe("given a response that never ends (guards against upstreams that hold a request until its deadline)", () => {
        const endless = (start: string, piece: string) => () => parse("GET", start, piece.repeat(20_000));

        it.each([
            ["in a status line", "HTTP/1.1 200 O", "K"],
            ["in a header", "HTTP/1.1 200 OK\r\nX-A: ", "a"],
            ["in an endless list of headers", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"],
            ["in interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"],
            ["in a chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"],
            ["in chunks of one byte", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"],
            ["in a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"],
        ])("throws an error %s", (_where, start, piece) => {
            expect(endless(start, piece)).toThrow(ResponseSyntaxError);
        });
    });

    describe("given a response with a length", () => {
        it("ends after the last byte however it is split (guards against parsing that depends on packet boundaries)", () => {
            const text = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: b\r\n\r\nhello";
            const cut = parse("GET", ...text);
            expect(cut.body()).toBe("hello");
            expect(cut.ends()).toBe(1);
            expect(cut.heads[0]?.headersByName.get("x-a")).toBe("b");
        });

        it("does not parse bytes after it (guards against an extra response being taken for the next one)", () => {
            const { parser, ends } = parse("GET", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\n");
            expect(ends()).toBe(1);
            expect(parser.hasUnparsedBytes).toBe(true);
        });

        it("has no body for HEAD (guards against waiting for bytes that never come)", () => {
            const { ends } = parse("HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n");
            expect(ends()).toBe(1);
        });
    });

    describe("given a chunked response", () => {
        it("joins the chunks and skips trailers", () => {
            const { body, ends } = parse(
                "GET",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n",
                "2\r\nde\r\n0\r\nT: 1\r\n\r\n",
            );
            expect(body()).toBe("abcde");
            expect(ends()).toBe(1);
        });

        it("refuses a size that is not a number (guards against garbage read as the end of the body)", () => {
            expect(() => parse("GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"))
                .toThrow(ResponseSyntaxError);
        });

        it("refuses a chunk that is longer than its size", () => {
            expect(() => parse("GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n"))
                .toThrow(ResponseSyntaxError);
        });
    });

    describe("given a response without a length", () => {
        it("ends only when the connection closes", () => {
            const { parser, heads, ends } = parse("GET", "HTTP/1.1 200 OK\r\n\r\nabc");
            expect(heads[0]?.isCloseDelimited).toBe(true);
            expect(heads[0]?.isKeepAlive).toBe(false);
            expect(ends()).toBe(0);
            parser.finish();
            expect(ends()).toBe(1);
        });
    });

    describe("given bytes that are not a valid response", () => {
        it.each([
            ["garbage", "\x00\x01\x02garbage"],
            ["a status line that is not valid", "HTTP/1.1 2000 OK\r\n\r\n"],
            ["both a length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"],
            ["two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"],
            ["a length that is not a number", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"],
            ["a header without a name", "HTTP/1.1 200 OK\r\n: x\r\n\r\n"],
        ])("refuses %s (guards against foreign bytes that reach a caller)", (_name, text) => {
            expect(() => parse("GET", text)).toThrow(ResponseSyntaxError);
        });

        it("refuses a head that does not end (guards against unbounded memory use)", () => {
            expect(() => parse("GET", `HTTP/1.1 200 OK\r\nX: ${"a".repeat(20_000)}`)).toThrow(ResponseSyntaxError);
        });
    });

    describe("given an interim response", () => {
        it("waits for the final one", () => {
            const { heads } = parse("GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n");
            expect(heads.map(head => head.statusCode)).toEqual([204]);
        });
    });
});
