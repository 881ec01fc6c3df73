/** Board section of budgets. Written by the budget controller only. */
import type { BillDraft } from "./budgetTypes.js";

/** A host's cumulative numbers for one budget; see docs/design.md, section 4. */
export interface BudgetEntry {
    /** G: tokens granted, acknowledged by the store. */
    grantedTokens: number;
    /** Limit that the next host record shall declare. The journal section holds the acknowledged one. */
    wantedLimitTokens: number;
    /** S: tokens billed. */
    settledTokens: number;
    /** R: worst-case tokens of requests in flight. */
    reservedTokens: number;
    /** O: tokens sent to peers. */
    sentTokens: number;
    /** I: tokens received from peers. */
    receivedTokens: number;
    /** Moving average of demand. */
    demandTokensPerS: number;
    /** Cost of the largest recent request. */
    largestCostTokens: number;
}

/** A settled reservation whose bill line the journal has not taken yet. */
export interface SettledBill {
    /** Number of the bill within the process, from 1. */
    readonly ordinal: number;
    /** Incarnation that the reservation belongs to. */
    readonly hostKey: string;
    /** Draft with the tokens capped by the reservation. */
    readonly draft: BillDraft;
}

/** Budgets of this host incarnation. */
export interface BudgetBoard {
    entries: Map<string, BudgetEntry>;
    /** Entries of sealed incarnations of this process, by host key, until their requests are settled and billed. */
    sealedEntries: Map<string, Map<string, BudgetEntry>>;
    /** Reservations in flight, by host key. */
    openReservations: Map<string, number>;
    /** Bills that the journal has not taken yet, in order. */
    bills: SettledBill[];
    /** Budgets whose received tokens would be lost if the closing record were written now. */
    unreturnableCount: number;
    /** Whether an admission waits for a higher limit, so that the record is to be written at once. */
    flushWanted: boolean;
}

/** @returns An empty section. */
export function createBudgetBoard(): BudgetBoard {
    return {
        entries: new Map(),
        sealedEntries: new Map(),
        openReservations: new Map(),
        bills: [],
        unreturnableCount: 0,
        flushWanted: false,
    };
}

/** @returns Net consumption including reservations: S + R + O - I. */
export function usedTokens(entry: BudgetEntry): number {
    return entry.settledTokens + entry.reservedTokens + entry.sentTokens - entry.receivedTokens;
}

/** @returns An entry without tokens. */
export function createBudgetEntry(): BudgetEntry {
    return {
        grantedTokens: 0,
        wantedLimitTokens: 0,
        settledTokens: 0,
        reservedTokens: 0,
        sentTokens: 0,
        receivedTokens: 0,
        demandTokensPerS: 0,
        largestCostTokens: 0,
    };
}
