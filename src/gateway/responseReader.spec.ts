import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { ChatJsonReader, ChatStreamReader, type ResponseReader } from "./responseReader.js";

const chunk = (fields: Record<string, unknown>): string => `data: ${JSON.stringify({ id: "c1", ...fields })}`;
const content = (text: string): string =>
    chunk({ choices: [{ index: 0, delta: { content: text }, finish_reason: null }] });
const finish = chunk({ choices: [{ index: 0, delta: {}, finish_reason: "stop" }] });
const usage = chunk({ choices: [], usage: { prompt_tokens: 7, completion_tokens: 9 } });

/** Feeds the text to the reader in chunks of the given sizes, which are repeated in turn. */
function read(reader: ResponseReader, text: string, sizes: readonly number[]): { forwarded: string; status: string; } {
    const data = Buffer.from(text);
    const forwardedChunks: Buffer[] = [];
    let status = "open";
    for (let offset = 0, turn = 0; offset < data.length && status === "open"; turn++) {
        const size = sizes[turn % sizes.length]!;
        const readResult = reader.push(data.subarray(offset, offset + size));
        forwardedChunks.push(readResult.bytesToForward ?? Buffer.alloc(0));
        status = readResult.status;
        offset += size;
    }
    return { forwarded: Buffer.concat(forwardedChunks).toString(), status };
}

const sizesArbitrary = fc.array(fc.integer({ min: 1, max: 90 }), { minLength: 1, maxLength: 8 });
const textsArbitrary = fc.array(fc.string({ unit: "grapheme", minLength: 1, maxLength: 12 }), { maxLength: 12 });

describe("ChatStreamReader", () => {
    describe("given bytes that are costly to split", () => {
        /** Time in which the bytes of one read must be split, in milliseconds: the process does nothing else meanwhile. */
        const maxPieceMs = 100;
        const readBytes = 65_536;

        it.each([["small events", ": x\r\n\r\n", readBytes], ["one event", "data: x\n", 8]])(
            "reads them at once: %s (guards against an upstream that takes all time of the process)",
            (_name, text, pieceBytes) => {
                const data = Buffer.from(text.repeat(readBytes / 8));
                const reader = new ChatStreamReader();
                const startedMs = performance.now();
                const statuses = new Set<string>();
                for (let offset = 0; offset < data.length; offset += pieceBytes) {
                    statuses.add(reader.push(data.subarray(offset, offset + pieceBytes)).status);
                }
                expect(performance.now() - startedMs).toBeLessThan(maxPieceMs);
                expect([...statuses]).toEqual(["open"]);
            },
        );
    });

    describe("when a complete stream arrives in chunks of any size", () => {
        it("forwards every byte and counts the content (guards against lost chunks and wrong bills)", () => {
            fc.assert(
                fc.property(textsArbitrary, sizesArbitrary, fc.constantFrom("\n", "\r\n"), (texts, sizes, newline) => {
                    const events = [...texts.map(content), ": comment", finish, usage, "data: [DONE]"];
                    const text = events.map(event => `${event}${newline}${newline}`).join("");
                    const reader = new ChatStreamReader();
                    expect(read(reader, text, sizes)).toEqual({ forwarded: text, status: "whole" });
                    expect(reader.contentChunks).toBe(texts.length);
                    expect(reader.usage).toEqual({ promptTokens: 7, outputTokens: 9 });
                }),
                { seed: 1, numRuns: 300 },
            );
        });
    });

    describe("when a stream is cut off at any byte", () => {
        it("is never complete and forwards only complete events (guards against incomplete streams that look complete)", () => {
            fc.assert(
                fc.property(textsArbitrary, sizesArbitrary, fc.nat(), (texts, sizes, cut) => {
                    const text = [...texts.map(content), finish, "data: [DONE]"].map(event => `${event}\n\n`).join("");
                    const data = Buffer.from(text);
                    const truncated = data.subarray(0, cut % data.length).toString("latin1");
                    const reader = new ChatStreamReader();
                    const { forwarded, status } = read(reader, Buffer.from(truncated, "latin1").toString(), sizes);
                    expect(status).toBe("open");
                    expect(forwarded === "" || forwarded.endsWith("\n\n")).toBe(true);
                    expect(reader.finish().status).toBe("invalid");
                }),
                { seed: 1, numRuns: 300 },
            );
        });
    });

    it.each([
        ["no finish reason", `${content("a")}\n\ndata: [DONE]\n\n`, "invalid", `${content("a")}\n\n`],
        ["an error", `${content("a")}\n\n${chunk({ error: { message: "x" } })}\n\n`, "invalid", `${content("a")}\n\n`],
        ["broken JSON", `${content("a")}\n\ndata: {"id"\n\n`, "invalid", `${content("a")}\n\n`],
        [
            "a chunk with another id",
            `${content("a")}\n\n${content("b").replace("c1", "c2")}\n\n`,
            "mismatch",
            `${content("a")}\n\n`,
        ],
    ])(
        "rejects %s and forwards what came before (guards against invalid responses)",
        (_name, text, status, forwarded) => {
            expect(read(new ChatStreamReader(), text, [1_000])).toEqual({ forwarded, status });
        },
    );
});

describe("ChatJsonReader", () => {
    it("forwards only complete responses (guards against delivering half a response)", () => {
        const text = JSON.stringify({ choices: [], usage: { prompt_tokens: 1, completion_tokens: 2 } });
        for (let length = 0; length <= text.length; length++) {
            const reader = new ChatJsonReader();
            reader.push(Buffer.from(text.slice(0, length)));
            expect(reader.finish().status).toBe(length === text.length ? "whole" : "invalid");
        }
    });
});
