/** Section of the blackboard for budgets. Only the budget controller writes it. */
import type { BillDraft } from "./budgetTypes.js";

/** Token counts of one host incarnation for one budget; see docs/design.md, section 4. */
export interface BudgetEntry {
    /** G: tokens granted to the host, as acknowledged by the store. */
    grantedTokens: number;
    /** Limit that the next host record should declare. The journal section holds the acknowledged limit. */
    wantedLimitTokens: number;
    /** S: tokens billed. */
    settledTokens: number;
    /** R: worst-case tokens of requests in flight. */
    reservedTokens: number;
    /** O: tokens sent to peers. */
    sentTokens: number;
    /** I: tokens received from peers. */
    receivedTokens: number;
    /** Moving average of the demand. */
    demandTokensPerS: number;
    /** Cost of the largest recent request. */
    largestCostTokens: number;
}

/** Bill of a settled reservation that the journal has not taken over yet. */
export interface SettledBill {
    /** Number of the bill within the process, starting at 1. */
    readonly ordinal: number;
    /** Key of the host incarnation that the reservation belongs to. */
    readonly hostKey: string;
    /** Data of the bill line, with the tokens capped at the reserved ones. */
    readonly draft: BillDraft;
}

/** Budgets of this process. */
export interface BudgetBoard {
    /** Entries of the current host incarnation, by budget. */
    entries: Map<string, BudgetEntry>;
    /** Entries of sealed incarnations of this process, by host key and budget, until their requests are settled and billed. */
    sealedEntries: Map<string, Map<string, BudgetEntry>>;
    /** Number of open reservations, by host key. */
    openReservations: Map<string, number>;
    /** Bills that the journal has not taken over yet, in order of their numbers. */
    bills: SettledBill[];
    /** Number of budgets whose received tokens would be lost if the closing record were written now. */
    unreturnableCount: number;
    /** Whether the host record should be written at once, for example because a reservation waits for a higher limit. */
    flushWanted: boolean;
}

/** @returns A section without budgets. */
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

/** @returns An entry with all counts at 0. */
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
