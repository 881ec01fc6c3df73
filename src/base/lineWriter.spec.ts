import { describe, expect, it } from "vitest";
import { LineWriter, type WriteBytes } from "./lineWriter.js";

describe("LineWriter", () => {
    describe("given a stalled reader", () => {
        it("drops lines that exceed the buffer and states how many (guards against unbounded memory)", () => {
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

    describe("given a write that writes only some of the bytes", () => {
        it("writes the remainder (guards against truncated lines)", () => {
            const written: string[] = [];
            const writer = new LineWriter((bytes, done) => {
                const chunk = bytes.subarray(0, 3);
                written.push(chunk.toString());
                done(null, chunk.length);
            });
            writer.add("abcdefgh");
            writer.flush();
            expect(written.join("")).toBe("abcdefgh\n");
        });
    });
});
