/** Grouping of values. */

/** @returns Values by key, in their original order within each group. */
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
