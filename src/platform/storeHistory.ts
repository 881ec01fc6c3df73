/**
 * Histories of a store. A store that comes back from a copy has lost its last writes and gives out their revisions again, which begins
 * a new history. Versions and revisions contain the number of the history in front, so that each is greater than all of earlier
 * histories and none occurs twice.
 */

/** Number of revisions of one history; histories up to 32,767 give safe integers. */
const RevisionsPerHistory = 2 ** 38;
const MaxHistory = 2 ** 15 - 1;

/** @returns Whether a number can be that of a history. */
export function isHistory(value: number): boolean {
    return Number.isInteger(value) && value >= 0 && value <= MaxHistory;
}

/** @returns The version or revision that has a number within a history. */
export function versionInHistory(history: number, number: number): number {
    return history * RevisionsPerHistory + number;
}

/** @returns History of a version or revision. */
export function historyOf(version: number): number {
    return Math.floor(version / RevisionsPerHistory);
}

/** @returns Number of a version or revision within its history. */
export function numberInHistory(version: number): number {
    return version % RevisionsPerHistory;
}
