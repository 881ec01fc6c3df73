/** Sequences that once failed, reduced by fast-check. Each is run by `failedSequences.spec.ts`. */
import type { Sequence } from "./sequence.js";

/** Sequences by the failure that they showed. */
export const FailedSequences: Readonly<Record<string, Sequence>> = {
    "a sealed host draws again after its share was folded (a doubled fold freed tokens that were spent)": {
        "seed": 0,
        "hostCount": 3,
        "homesOnly": false,
        "budgets": [
            459,
            106,
        ],
        "commands": [
            {
                "type": "pause",
                "host": 0,
                "durationMs": 4173,
            },
            {
                "type": "burst",
                "host": 0,
                "budget": 1,
                "costTokens": 4,
                "usedShare": 0,
                "durationMs": 5,
            },
            {
                "type": "request",
                "host": 0,
                "budget": 1,
                "costTokens": 49,
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
                "type": "lateWrites",
                "share": 0,
            },
            {
                "type": "wait",
                "durationMs": 4145,
            },
            {
                "type": "cutStore",
                "host": 0,
            },
        ],
    },
    "tokens that a closed host had sent count as spent (a false refusal)": {
        "seed": 0,
        "hostCount": 3,
        "homesOnly": false,
        "budgets": [
            100,
            0,
        ],
        "commands": [
            {
                "type": "request",
                "host": 0,
                "budget": 0,
                "costTokens": 1,
                "usedShare": 0,
                "durationMs": 5,
            },
            {
                "type": "wait",
                "durationMs": 219,
            },
            {
                "type": "shutdown",
                "host": 1,
            },
            {
                "type": "request",
                "host": 0,
                "budget": 0,
                "costTokens": 83,
                "usedShare": 0,
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
                "type": "burst",
                "host": 0,
                "budget": 0,
                "costTokens": 1,
                "usedShare": 0,
                "durationMs": 5,
            },
            {
                "type": "heal",
            },
            {
                "type": "cutPeers",
                "host": 0,
                "other": 0,
            },
        ],
    },
    "a peer draws the last free tokens while another host asks for them (a false refusal)": {
        "seed": 744615,
        "hostCount": 4,
        "homesOnly": true,
        "budgets": [
            100,
            484,
        ],
        "commands": [
            {
                "type": "pause",
                "host": 2,
                "durationMs": 2230,
            },
            {
                "type": "request",
                "host": 0,
                "budget": 0,
                "costTokens": 101,
                "usedShare": 0,
                "durationMs": 5,
            },
            {
                "type": "heal",
            },
            {
                "type": "wait",
                "durationMs": 998,
            },
            {
                "type": "request",
                "host": 0,
                "budget": 0,
                "costTokens": 86,
                "usedShare": 0,
                "durationMs": 5,
            },
            {
                "type": "topUp",
                "budget": 0,
                "tokens": 33,
            },
            {
                "type": "burst",
                "host": 1,
                "budget": 1,
                "costTokens": 21,
                "usedShare": 0,
                "durationMs": 4000,
            },
            {
                "type": "lateWrites",
                "share": 0.1,
            },
            {
                "type": "cutStream",
            },
            {
                "type": "request",
                "host": 0,
                "budget": 1,
                "costTokens": 1,
                "usedShare": 0,
                "durationMs": 5,
            },
        ],
    },
    "a host without a share shuts down with received tokens (lost tokens)": {
        "seed": 0,
        "hostCount": 3,
        "homesOnly": true,
        "budgets": [
            100,
            1,
        ],
        "commands": [
            {
                "type": "shutdown",
                "host": 2,
            },
            {
                "type": "burst",
                "host": 2,
                "budget": 1,
                "costTokens": 1,
                "usedShare": 0,
                "durationMs": 5,
            },
            {
                "type": "wait",
                "durationMs": 1,
            },
            {
                "type": "slowStore",
                "latencyMs": 1,
            },
            {
                "type": "wait",
                "durationMs": 1,
            },
        ],
    },
    "a host is killed and restarted before its peers suspect it (a share that nobody returns)": {
        "seed": 25545,
        "hostCount": 3,
        "homesOnly": true,
        "budgets": [
            100,
            0,
        ],
        "commands": [
            {
                "type": "burst",
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
                "type": "wait",
                "durationMs": 1500,
            },
            {
                "type": "wait",
                "durationMs": 1500,
            },
            {
                "type": "kill",
                "host": 0,
            },
            {
                "type": "request",
                "host": 0,
                "budget": 0,
                "costTokens": 1,
                "usedShare": 0,
                "durationMs": 5,
            },
        ],
    },
    "a host that was sealed while it paused shuts down in a store outage (bill lines that nobody stores)": {
        "seed": 0,
        "hostCount": 3,
        "homesOnly": false,
        "budgets": [
            100,
            0,
        ],
        "commands": [
            {
                "type": "shutdown",
                "host": 0,
            },
            {
                "type": "pause",
                "host": 0,
                "durationMs": 5325,
            },
            {
                "type": "wait",
                "durationMs": 3799,
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
                "type": "wait",
                "durationMs": 888,
            },
            {
                "type": "staleReads",
                "share": 0,
            },
            {
                "type": "request",
                "host": 2,
                "budget": 0,
                "costTokens": 12,
                "usedShare": 0,
                "durationMs": 5,
            },
            {
                "type": "pause",
                "host": 0,
                "durationMs": 100,
            },
            {
                "type": "wait",
                "durationMs": 683,
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
                "type": "outage",
                "isDown": true,
            },
            {
                "type": "wait",
                "durationMs": 3750,
            },
            {
                "type": "cutStream",
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
                "type": "topUp",
                "budget": 0,
                "tokens": 0,
            },
            {
                "type": "wait",
                "durationMs": 208,
            },
            {
                "type": "wait",
                "durationMs": 1,
            },
            {
                "type": "request",
                "host": 0,
                "budget": 0,
                "costTokens": 1,
                "usedShare": 0,
                "durationMs": 5,
            },
        ],
    },
};
