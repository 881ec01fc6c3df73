/** Small readings of the evidence that the checks share. */
import { SaleTokens } from "./chaosResources.js";
import type { CallRecord } from "./chaosTypes.js";

/** @returns The values grouped by a key. */
export function groupBy<T>(values: readonly T[], keyOf: (value: T) => string): Map<string, T[]> {
    const groups = new Map<string, T[]>();
    for (const value of values) {
        const key = keyOf(value);
        const group = groups.get(key);
        if (group === undefined) {
            groups.set(key, [value]);
        }
        else {
            group.push(value);
        }
    }
    return groups;
}

/** @returns Tokens of a complete answer. */
export function answerTokens(call: CallRecord): number {
    return call.echo === undefined ? (call.promptTokens ?? 0) + (call.outputTokens ?? 0) : SaleTokens;
}
