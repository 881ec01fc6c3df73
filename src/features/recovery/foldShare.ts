/** Folding the share of a closed or sealed incarnation into a budget. The presence of the share marks what is left to do. */
import type { BudgetObject } from "../budget/budgetTypes.js";
import type { RecordEntry } from "../journal/journalTypes.js";

/** @returns Net consumption that a record declares: S + O - I. */
export function computeDeclaredNetTokens(entry: RecordEntry | undefined): number {
    return entry === undefined ? 0 : entry.settledTokens + entry.sentTokens - entry.receivedTokens;
}

/**
 * Folds by the record: consumed tokens are closed, declared but unaccounted ones are at risk, the rest is free.
 * @param entry Entry of the record; without one, the share is returned in full.
 * @param isSealed Whether the record was sealed; the numbers of a closed record are exact.
 * @returns The new object, or `undefined` when there is nothing left to fold.
 */
export function foldShareByRecord(
    object: BudgetObject,
    hostKey: string,
    entry: RecordEntry | undefined,
    isSealed: boolean,
): BudgetObject | undefined {
    if (object.shares[hostKey] === undefined) {
        return undefined;
    }
    const net = computeDeclaredNetTokens(entry);
    const atRisk = isSealed ? Math.max(0, (entry?.limitTokens ?? 0) - net) : 0;
    return {
        ...object,
        closedTokens: object.closedTokens + net,
        shares: without(object.shares, hostKey),
        atRiskTokens: atRisk > 0 ? { ...object.atRiskTokens, [hostKey]: atRisk } : object.atRiskTokens,
    };
}

/**
 * Replaces what a sealed incarnation is charged by its exact consumption.
 * @param entry Entry of the sealed record, by which others may have folded already.
 * @param netTokens Exact S + O - I.
 * @returns The new object, or `undefined` when there is nothing left to correct.
 */
export function foldShareByExactConsumption(
    object: BudgetObject,
    hostKey: string,
    entry: RecordEntry | undefined,
    netTokens: number,
): BudgetObject | undefined {
    if (object.shares[hostKey] !== undefined) {
        return {
            ...object,
            closedTokens: object.closedTokens + netTokens,
            shares: without(object.shares, hostKey),
        };
    }
    if (object.atRiskTokens[hostKey] === undefined) {
        return undefined;
    }
    return {
        ...object,
        closedTokens: object.closedTokens + netTokens - computeDeclaredNetTokens(entry),
        atRiskTokens: without(object.atRiskTokens, hostKey),
    };
}

function without<T>(record: Readonly<Record<string, T>>, key: string): Record<string, T> {
    return Object.fromEntries(Object.entries(record).filter(([name]) => name !== key));
}
