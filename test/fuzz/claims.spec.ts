import { describe, expect, it } from "vitest";
import { ClaimBreaks } from "./claimBreaks.js";
import { checkClaimSequences } from "./claimCheck.js";
import { type ClaimSequence, runClaimSequence } from "./claimSequence.js";

/** Sequences of the run without a break. */
const SequenceCount = 150;

/** Sequences within which a break must be found. */
const BreakSequenceCount = 600;

/** A host's release is applied without an answer, another host finishes the key, and the first host claims it again. */
const ReleaseWithoutAnswer: ClaimSequence = {
    "seed": 717794,
    "commands": [
        {
            "type": "kill",
            "host": 0,
        },
        {
            "type": "lateWrites",
            "share": 0.4,
        },
        {
            "type": "wait",
            "durationMs": 14,
        },
        {
            "type": "restart",
            "host": 0,
        },
        {
            "type": "sale",
            "host": 0,
            "key": 0,
            "durationMs": 5,
        },
        {
            "type": "cutPeers",
            "host": 1,
            "other": 1,
        },
        {
            "type": "wait",
            "durationMs": 715,
        },
        {
            "type": "wait",
            "durationMs": 62,
        },
        {
            "type": "pause",
            "host": 0,
            "durationMs": 1441,
        },
        {
            "type": "staleReads",
            "share": 0.1,
        },
        {
            "type": "pause",
            "host": 1,
            "durationMs": 5481,
        },
        {
            "type": "topUp",
            "budget": 0,
            "tokens": 0,
        },
        {
            "type": "wait",
            "durationMs": 799,
        },
        {
            "type": "lostAnswers",
            "share": 0.4,
        },
        {
            "type": "sale",
            "host": 1,
            "key": 0,
            "durationMs": 5,
        },
        {
            "type": "sale",
            "host": 2,
            "key": 2,
            "durationMs": 5,
        },
        {
            "type": "sale",
            "host": 1,
            "key": 2,
            "durationMs": 5,
        },
        {
            "type": "wait",
            "durationMs": 3131,
        },
        {
            "type": "wait",
            "durationMs": 1500,
        },
        {
            "type": "sale",
            "host": 1,
            "key": 0,
            "durationMs": 5,
        },
        {
            "type": "kill",
            "host": 0,
        },
        {
            "type": "request",
            "host": 1,
            "budget": 0,
            "costTokens": 101,
            "usedShare": 0,
            "durationMs": 5,
        },
        {
            "type": "sale",
            "host": 0,
            "key": 0,
            "durationMs": 5,
        },
        {
            "type": "burst",
            "host": 1,
            "budget": 1,
            "costTokens": 52,
            "usedShare": 1,
            "durationMs": 300,
        },
    ],
};

describe("claims under faults", () => {
    describe("with the real controller", () => {
        it("keep work to one run and one bill (guards against doubled sales and crossed answers)", () => {
            expect(checkClaimSequences({ seed: 4, sequences: SequenceCount }).report).toBe("");
        }, 60_000);
    });

    describe("found by earlier runs", () => {
        it("a host that shuts down cancels its duplicate bill first (guards against a key billed twice)", () => {
            const request = { host: 1, budget: 0, costTokens: 1, usedShare: 0, durationMs: 300 } as const;
            const sequence: ClaimSequence = {
                seed: 2524,
                commands: [
                    { type: "cutStore", host: 1 },
                    { type: "keyedChat", host: 1, key: 0, durationMs: 5 },
                    { ...request, type: "request" },
                    { type: "shutdown", host: 1 },
                    { type: "sale", host: 0, key: 0, durationMs: 5 },
                    { ...request, type: "burst", host: 0, durationMs: 5 },
                    { ...request, type: "request", host: 0, durationMs: 5 },
                    { type: "keyedChat", host: 0, key: 0, durationMs: 5 },
                    { type: "sale", host: 0, key: 0, durationMs: 5 },
                ],
            };
            expect(() => runClaimSequence(sequence)).not.toThrow();
        });
    });

    describe("found by seed 71 after 5,229 sequences", () => {
        it("a release without answer leaves no version to write over (guards against a doubled sale)", () => {
            expect(() => runClaimSequence(ReleaseWithoutAnswer)).not.toThrow();
        });
    });

    describe("with a deliberate break", () => {
        it.each(Object.entries(ClaimBreaks))(
            "%s is found (guards against an oracle that sees nothing)",
            (_, create) => {
                const options = { seed: 4, sequences: BreakSequenceCount, shrink: false };
                expect(checkClaimSequences(options, create).failedAt).toBeGreaterThan(0);
            },
            60_000,
        );
    });
});
