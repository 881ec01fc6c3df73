/** Folds the share of a closed or sealed incarnation into a budget. While the share is present, the fold is not done. */
import type { BudgetObject } from "../budget/budgetTypes.js";
import type { RecordEntry } from "../journal/journalTypes.js";

/** @returns Net consumption in tokens that a record declares: settled (S) + sent (O) - received (I). */
export function computeDeclaredNetTokens(entry: RecordEntry | undefined): number {
    return entry === undefined ? 0 : entry.settledTokens + entry.sentTokens - entry.receivedTokens;
}

/**
 * Folds a share by the host record: consumed tokens are closed, those declared but not accounted for are at risk, and the
 * remainder becomes unallocated.
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
    const netTokens = computeDeclaredNetTokens(entry);
    const newAtRiskTokens = isSealed ? Math.max(0, (entry?.limitTokens ?? 0) - netTokens) : 0;
    return {
        ...object,
        closedTokens: object.closedTokens + netTokens,
        shares: omitKey(object.shares, hostKey),
        atRiskTokens: newAtRiskTokens > 0 ?
            { ...object.atRiskTokens, [hostKey]: newAtRiskTokens } :
            object.atRiskTokens,
    };
}

/**
 * Charges a sealed incarnation its exact consumption, in place of its share or its tokens at risk.
 * @param entry Entry of the sealed record, by which others may have folded already.
 * @param netTokens Exact net consumption: S + O - I.
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
            shares: omitKey(object.shares, hostKey),
        };
    }
    if (object.atRiskTokens[hostKey] === undefined) {
        return undefined;
    }
    return {
        ...object,
        closedTokens: object.closedTokens + netTokens - computeDeclaredNetTokens(entry),
        atRiskTokens: omitKey(object.atRiskTokens, hostKey),
    };
}

function omitKey<T>(record: Readonly<Record<string, T>>, key: string): Record<string, T> {
    return Object.fromEntries(Object.entries(record).filter(([name]) => name !== key));
}
