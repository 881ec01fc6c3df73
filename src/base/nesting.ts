/** Nesting of parsed JSON. A value that is nested very deeply can be parsed but not written again. */

/** @returns Whether objects and arrays are nested in more than a number of levels. */
export function isNestedDeeper(value: unknown, maxLevels: number): boolean {
    let level: unknown[] = [value];
    for (let depth = 0; depth <= maxLevels; depth++) {
        level = level.flatMap(item => typeof item === "object" && item !== null ? Object.values(item) : []);
        if (level.length === 0) {
            return false;
        }
    }
    return true;
}
