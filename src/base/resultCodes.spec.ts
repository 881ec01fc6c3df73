import { readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { ResultCodes } from "./resultCodes.js";

/** A row of the table in `docs/result-codes.md`. */
interface DocumentedCode {
    readonly code: number;
    readonly name: string;
    readonly httpStatus: number;
    readonly ran: string;
    readonly message: string;
}

function readTable(): DocumentedCode[] {
    const lines = readFileSync("docs/result-codes.md", "utf8").split("\n").filter(line => /^\| \d/.test(line));
    return lines.map(line => {
        const [code, name, httpStatus, ran, message] = line.split("|").slice(1).map(cell => cell.trim());
        return { code: Number(code), name: name!, httpStatus: Number(httpStatus), ran: ran!, message: message! };
    });
}

describe("ResultCodes", () => {
    describe("compared with docs/result-codes.md", () => {
        it("lists the same codes (guards against a page that misleads callers)", () => {
            expect(readTable()).toEqual(Object.values(ResultCodes));
        });
    });

    describe("as a set", () => {
        it("has unique numbers, and keys that equal the names", () => {
            const codes = Object.values(ResultCodes).map(entry => entry.code);
            expect(new Set(codes).size).toBe(codes.length);
            expect(Object.entries(ResultCodes).filter(([name, entry]) => name !== entry.name)).toEqual([]);
        });
    });
});
