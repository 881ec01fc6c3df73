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

    describe("given a write that fails", () => {
        it("states how many lines were lost (guards against gaps in the log that nothing shows)", () => {
            const written: string[] = [];
            let error: NodeJS.ErrnoException | null = Object.assign(new Error("no space"), { code: "ENOSPC" });
            const writer = new LineWriter((bytes, done) => {
                written.push(bytes.toString());
                done(error, error === null ? bytes.length : 0);
            });
            writer.add("first");
            writer.add("second");
            writer.flush();
            error = null;
            writer.add("third");
            writer.flush();
            expect(written[1]).toContain("third");
            expect(written[1]).toContain("\"count\":2");
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

    describe("given a process that ends", () => {
        /** Completes a write when it is called. */
        let finish: () => void = () => undefined;
        const written: string[] = [];
        const slow: WriteBytes = (bytes, done) => {
            finish = () => {
                written.push(bytes.toString());
                done(null, bytes.length);
            };
        };

        it("waits until a slow reader has all lines (guards against the last lines of a stop that are lost)", async () => {
            const writer = new LineWriter(slow);
            writer.add("first");
            writer.flush();
            writer.add("last");
            const drained = writer.drain(1_000);
            finish();
            finish();
            expect(await drained).toBe(true);
            expect(written.join("")).toBe("first\nlast\n");
        });

        it("gives up after a time (guards against a stop that a stalled reader makes too long)", async () => {
            const writer = new LineWriter(slow);
            writer.add("first");
            expect(await writer.drain(10)).toBe(false);
        });
    });
});
