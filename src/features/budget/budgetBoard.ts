/** Board section of budgets. Written by the budget controller only. */

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

/** Budgets of this host incarnation. */
export interface BudgetBoard {
    entries: Map<string, BudgetEntry>;
    /** Whether an admission waits for a higher limit, so that the record is to be written at once. */
    flushWanted: boolean;
}

/** @returns An empty section. */
export function createBudgetBoard(): BudgetBoard {
    return { entries: new Map(), flushWanted: false };
}

/** @returns Net consumption including reservations: S + R + O - I. */
export function usedTokens(entry: BudgetEntry): number {
    return entry.settledTokens + entry.reservedTokens + entry.sentTokens - entry.receivedTokens;
}
