/** Sequences of keyed requests that once violated a property, reduced by fast-check. */
import type { ClaimSequence } from "./claimSequence.js";

/** Sequences by the failure that each guards against. */
export const FailedClaimSequences: Readonly<Record<string, ClaimSequence>> = {
    "a host shuts down before it cancels its duplicate bill (a key billed twice)": {
        "seed": 2524,
        "commands": [
            {
                "type": "cutStore",
                "host": 1,
            },
            {
                "type": "keyedChat",
                "host": 1,
                "key": 0,
                "durationMs": 5,
            },
            {
                "type": "request",
                "host": 1,
                "budget": 0,
                "costTokens": 1,
                "usedShare": 0,
                "durationMs": 300,
            },
            {
                "type": "shutdown",
                "host": 1,
            },
            {
                "type": "sale",
                "host": 0,
                "key": 0,
                "durationMs": 5,
            },
            {
                "type": "burst",
                "host": 0,
                "budget": 0,
                "costTokens": 1,
                "usedShare": 0,
                "durationMs": 5,
            },
            {
                "type": "request",
                "host": 0,
                "budget": 0,
                "costTokens": 1,
                "usedShare": 0,
                "durationMs": 5,
            },
            {
                "type": "keyedChat",
                "host": 0,
                "key": 0,
                "durationMs": 5,
            },
            {
                "type": "sale",
                "host": 0,
                "key": 0,
                "durationMs": 5,
            },
        ],
    },
    "a release without a response conflicts with the finished claim of another host (a doubled sale)": {
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
    },
    "a host claims a key and dies before any peer learns of it (a key that stays running forever)": {
        "seed": 0,
        "commands": [
            {
                "type": "sale",
                "host": 0,
                "key": 0,
                "durationMs": 5,
            },
            {
                "type": "lostAnswers",
                "share": 0.1,
            },
            {
                "type": "lateWrites",
                "share": 0.1,
            },
            {
                "type": "request",
                "host": 1,
                "budget": 0,
                "costTokens": 1,
                "usedShare": 0,
                "durationMs": 5,
            },
            {
                "type": "shutdown",
                "host": 0,
            },
            {
                "type": "wait",
                "durationMs": 102,
            },
            {
                "type": "sale",
                "host": 0,
                "key": 1,
                "durationMs": 5,
            },
            {
                "type": "keyedChat",
                "host": 0,
                "key": 1,
                "durationMs": 5,
            },
            {
                "type": "wait",
                "durationMs": 607,
            },
            {
                "type": "request",
                "host": 0,
                "budget": 0,
                "costTokens": 1,
                "usedShare": 0,
                "durationMs": 5,
            },
            {
                "type": "sale",
                "host": 1,
                "key": 0,
                "durationMs": 5,
            },
            {
                "type": "cutPeers",
                "host": 0,
                "other": 0,
            },
            {
                "type": "ticketSale",
                "host": 0,
                "ticket": 0,
                "durationMs": 5,
            },
            {
                "type": "restart",
                "host": 0,
            },
            {
                "type": "keyedChat",
                "host": 0,
                "key": 0,
                "durationMs": 5,
            },
            {
                "type": "kill",
                "host": 0,
            },
            {
                "type": "keyedChat",
                "host": 1,
                "key": 0,
                "durationMs": 5,
            },
            {
                "type": "request",
                "host": 0,
                "budget": 0,
                "costTokens": 1,
                "usedShare": 0,
                "durationMs": 5,
            },
            {
                "type": "restart",
                "host": 0,
            },
            {
                "type": "burst",
                "host": 0,
                "budget": 1,
                "costTokens": 79,
                "usedShare": 0,
                "durationMs": 5,
            },
            {
                "type": "request",
                "host": 0,
                "budget": 0,
                "costTokens": 1,
                "usedShare": 0,
                "durationMs": 5,
            },
            {
                "type": "sale",
                "host": 0,
                "key": 1,
                "durationMs": 5,
            },
        ],
    },
};
