import { describe, expect, it } from "vitest";
import { readTarget, replaceHost } from "./requestTarget.js";

describe("readTarget", () => {
    describe("given a path", () => {
        it.each(["/order/", "/order/?a=http://x/", "*", "//other/path"])(
            "takes %s as it is (guards against paths that change)",
            target => {
                expect(readTarget(target, "h.example")).toEqual({ host: "h.example", path: target });
            },
        );
    });

    describe("given a URL", () => {
        it.each([
            ["http://h.example/order/?a=1", "h.example", "/order/?a=1"],
            ["HTTP://h.example:8080", "h.example:8080", "/"],
            ["https://h.example?a=1", "h.example", "/?a=1"],
            ["http://h.example//order/../x", "h.example", "//order/../x"],
        ])("takes host and path from %s (guards against requests of sound clients that get 404)", (url, host, path) => {
            expect(readTarget(url, "other.example")).toEqual({ host, path });
        });

        it.each(["ftp://h.example/", "http:///order/", "http://user@h.example/", "http://h.example/#part"])(
            "reads none from %s (guards against a host that another reader takes from elsewhere)",
            url => expect(readTarget(url, "h.example")).toBeUndefined(),
        );
    });
});

describe("replaceHost", () => {
    it("changes only the value of the header (guards against values that are taken for names)", () => {
        expect(replaceHost(["A", "host", "HOST", "old", "B", "x"], "new")).toEqual([
            "A",
            "host",
            "HOST",
            "new",
            "B",
            "x",
        ]);
    });
});
