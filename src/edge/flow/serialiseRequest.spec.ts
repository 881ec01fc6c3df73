import { describe, expect, it } from "vitest";
import { serialiseRequest } from "./serialiseRequest.js";

describe("serialiseRequest", () => {
    it.each(["a\nX-Forged: b", "a\r\n\r\nGET /x", "a\u010aX-Forged: b", "a\u0000b"])(
        "refuses a value that is no header text: %j (guards against names of teams that forge a header or a request)",
        value => {
            expect(() => serialiseRequest("GET", "/", ["X-Team", value], undefined)).toThrow("X-Team");
        },
    );

    it("writes bytes above 0x7F as they came (guards against a check that is too strict)", () => {
        const { head } = serialiseRequest("GET", "/", ["X-Team", "caf\u00e9\tb"], undefined);
        expect(head).toBe("GET / HTTP/1.1\r\nX-Team: caf\u00e9\tb\r\n\r\n");
    });
});
