/** Times of the newest crashes of upstreams, whatever parts their requests had. */

/** Number of crashes that are remembered: those of an outage of a large service. */
const MaxCrashes = 256;

/** Time within which crashes count as one event, in milliseconds, as a rack or a release ends several upstreams at once. */
const EventMergeMs = 500;

/** Difference in time below which a statement about a known crash changes nothing, in milliseconds: usual delays of messages. */
export const TimeToleranceMs = 50;

/** Crashes by key, the newest last. */
export class CrashLog {
    readonly #crashes = new Map<string, number>();
    #version = 0;

    /** @returns Number that changes with the log. */
    get version(): number {
        return this.#version;
    }

    /** Records a crash; of several times for one crash, the earliest counts. */
    record(key: string, crashedAtMs: number): void {
        const known = this.#crashes.get(key);
        if (known !== undefined && crashedAtMs > known - TimeToleranceMs) {
            return;
        }
        this.#crashes.set(key, crashedAtMs);
        this.#version++;
        if (this.#crashes.size > MaxCrashes) {
            const [oldest] = this.#crashes.keys();
            this.#crashes.delete(oldest!);
        }
    }

    /**
     * @param isCounted Returns whether a crash is counted against the part in question.
     * @returns Number of events with crashes that are not counted against the part, within a time around another crash.
     */
    countOtherEvents(atMs: number, withinMs: number, isCounted: (key: string) => boolean): number {
        const timesMs: number[] = [];
        for (const [key, crashedAtMs] of this.#crashes) {
            if (Math.abs(crashedAtMs - atMs) <= withinMs && !isCounted(key)) {
                timesMs.push(crashedAtMs);
            }
        }
        return countEvents(timesMs.sort((left, right) => left - right));
    }
}

/**
 * @param timesMs Times of crashes in ascending order.
 * @returns Number of events that caused them.
 */
export function countEvents(timesMs: readonly number[]): number {
    let events = 0;
    let eventAtMs = Number.NEGATIVE_INFINITY;
    for (const timeMs of timesMs) {
        if (timeMs - eventAtMs > EventMergeMs) {
            events++;
            eventAtMs = timeMs;
        }
    }
    return events;
}
