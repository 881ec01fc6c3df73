/** Times between output events of upstreams in load reports, so that hosts that have just started know how fast upstreams are. */
import { setBounded } from "../../base/boundedMap.js";
import { type EventTimes, loadKeyOf } from "./loadSums.js";

/** Times are sent in units of this many per millisecond. */
const UnitsPerMs = 10;

/** Number of upstreams in one message; they take turns, so that a message with the maximum number of loads fits into a datagram. */
const MaxEventTimesPerMessage = 4;

/** Longest time that is sent, in units; longer ones are not those of a stream of events. */
const MaxUnits = 9_999;

/** Weight of a newly received time; the reports of several hosts follow each other. */
const NewWeight = 0.3;

/** Maximum number of upstreams; far more than there are at the same time. */
const MaxEntries = 2_000;

/** Keeps the event times that other hosts have measured. */
export class EventTimeTracker {
    readonly #timesMs = new Map<string, number>();

    /** Records the times in a message; messages of older hosts have none. */
    record(times: EventTimes | undefined): void {
        for (const [key, units] of Object.entries(times ?? {})) {
            const known = this.#timesMs.get(key);
            const timeMs = units / UnitsPerMs;
            const averageMs = known === undefined ? timeMs : known + NewWeight * (timeMs - known);
            setBounded(this.#timesMs, key, averageMs, MaxEntries, () => false);
        }
    }

    /** @returns Time between output events of an upstream, in milliseconds; `undefined` when no host has reported it. */
    eventTimeMs(upstreamId: string): number | undefined {
        return this.#timesMs.get(loadKeyOf(upstreamId));
    }
}

/** Divides event times into messages, a few in each. */
export class EventTimeRotation {
    #position = 0;

    /**
     * @param times Event times by id of the upstream.
     * @returns The next ones for a message; `undefined` when there are none.
     */
    next(times: readonly (readonly [upstreamId: string, eventTimeMs: number])[]): EventTimes | undefined {
        if (times.length === 0) {
            return undefined;
        }
        const count = Math.min(MaxEventTimesPerMessage, times.length);
        const chosen = Array.from({ length: count }, (_, index) => times[(this.#position + index) % times.length]!);
        this.#position = (this.#position + count) % times.length;
        return Object.fromEntries(
            chosen.map((
                [id, timeMs],
            ) => [loadKeyOf(id), Math.min(MaxUnits, Math.max(1, Math.round(timeMs * UnitsPerMs)))]),
        );
    }
}
