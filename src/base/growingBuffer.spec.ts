import { describe, expect, it } from "vitest";
import { GrowingBuffer } from "./growingBuffer.js";

const MaxBytes = 100_000;

describe("GrowingBuffer", () => {
    describe("given chunks of one byte that are views of large buffers", () => {
        it("keeps one allocation of at most twice the bytes (guards against retained receive buffers)", () => {
            const buffer = new GrowingBuffer(MaxBytes);
            for (let index = 0; index < 20_000; index++) {
                buffer.append(Buffer.alloc(65_536, index % 251).subarray(7, 8));
            }
            expect(buffer.length).toBe(20_000);
            expect(buffer.allocatedBytes).toBeLessThanOrEqual(2 * 20_000);
            const bytes = buffer.take();
            expect(bytes.buffer.byteLength).toBeLessThanOrEqual(2 * 20_000);
            expect([...bytes.subarray(248, 254)]).toEqual([248, 249, 250, 0, 1, 2]);
        });
    });

    describe("given one chunk", () => {
        it("allocates no more than its length (guards against bodies that count twice)", () => {
            const buffer = new GrowingBuffer(MaxBytes);
            buffer.append(Buffer.alloc(50_000, 1));
            expect(buffer.allocatedBytes).toBe(50_000);
        });

        it("copies it (guards against bodies that change with the receive buffer)", () => {
            const chunk = Buffer.from("body");
            const buffer = new GrowingBuffer(MaxBytes);
            buffer.append(chunk);
            chunk.fill(0);
            expect(buffer.take().toString()).toBe("body");
        });
    });

    describe("given a chunk that will be appended", () => {
        it("states the allocation beforehand (guards against memory that is counted after it is allocated)", () => {
            const buffer = new GrowingBuffer(MaxBytes);
            for (const size of [1, 1_022, 1, 1, 30_000, 40_000, 28_975]) {
                const expected = buffer.allocatedBytesAfter(size);
                buffer.append(Buffer.alloc(size));
                expect(buffer.allocatedBytes).toBe(expected);
            }
            expect(buffer.allocatedBytes).toBe(MaxBytes);
        });
    });

    describe("given bytes beyond its maximum", () => {
        it("has no room for them (guards against bodies above the limit)", () => {
            const buffer = new GrowingBuffer(10);
            buffer.append(Buffer.alloc(10));
            expect(buffer.hasRoomFor(1)).toBe(false);
            expect(() => buffer.append(Buffer.alloc(1))).toThrow(RangeError);
            expect(buffer.length).toBe(10);
        });
    });

    describe("given no bytes", () => {
        it("is an empty body (guards against a body that is missing)", () => {
            const buffer = new GrowingBuffer(MaxBytes);
            expect(buffer.take().length).toBe(0);
            buffer.append(Buffer.from("x"));
            buffer.clear();
            expect([buffer.length, buffer.allocatedBytes]).toEqual([0, 0]);
        });
    });
});
