import { describe, expect, it } from "vitest";
import { LineWriter, type WriteBytes } from "./lineWriter.js";

describe("LineWriter", () => {
    describe("given a reader that stalls", () => {
        it("drops lines beyond the bound and says how many (guards against memory that grows)", () => {
            const written: string[] = [];
            let finish: () => void = () => undefined;
            const stalled: WriteBytes = (bytes, done) => {
                written.push(bytes.toString());
                finish = () => done(null, bytes.length);
            };
            const writer = new LineWriter(stalled, 20);
            writer.add("first");
            writer.flush();
            for (let count = 0; count < 10; count++) {
                writer.add("123456");
            }
            finish();
            expect(written[0]).toBe("first\n");
            expect(written[1]).toContain("\"count\":8");
        });
    });

    describe("given a write that takes only a part", () => {
        it("writes the rest (guards against lines that are cut)", () => {
            const written: string[] = [];
            const writer = new LineWriter((bytes, done) => {
                const part = bytes.subarray(0, 3);
                written.push(part.toString());
                done(null, part.length);
            });
            writer.add("abcdefgh");
            writer.flush();
            expect(written.join("")).toBe("abcdefgh\n");
        });
    });
});
