/** Estimates how long requests take, from the response times that this host has seen lately. */
import { setBounded } from "../../base/boundedMap.js";
import type { Clock } from "../../base/clock.js";
import { RecentSamples } from "../../base/recentSamples.js";

/** Maximum number of kinds of request whose response times are kept; the least recently added one is dropped. */
const MaxKinds = 256;

/** Time for which the quantiles of a kind are reused, in milliseconds: a host that stops asks for every request. */
const QuantileReuseMs = 100;

/** The work that a request asks for. */
export interface ExpectedWork {
    /** Requests of one kind take similar times: those of one route to one service. */
    readonly kind: string;
    /** Maximum number of events of a stream, infinite if it is not known; `undefined` for a plain response. */
    readonly maxEvents: number | undefined;
    /** Time for which an upstream may be silent until another one is tried as well, in milliseconds; `undefined` for the margin. */
    readonly maxPauseMs?: number | undefined;
}

/** Times of a stream that has ended, since the arrival of its request. */
export interface StreamTimes {
    readonly firstEventMs: number;
    readonly eventCount: number;
    readonly elapsedMs: number;
}

/** How far an estimate lies above the durations seen. */
export interface DurationMargins {
    /** Fraction of the durations seen that the estimate covers before the other margins. */
    readonly quantile: number;
    /** Factor for work that is slower than the durations seen. */
    readonly slownessFactor: number;
    /** Added once for a pause of the upstream. */
    readonly pauseMs: number;
}

/**
 * The margins are wide, as a request that is cut costs its caller seconds and one that is refused a few milliseconds: an upstream
 * may fall silent for 2 s before its stream is moved, and upstreams may become slower than they were in the last minute.
 */
export const DefaultMargins: DurationMargins = { quantile: 0.95, slownessFactor: 1.5, pauseMs: 2_000 };

/** Quantiles of the durations of one kind; `undefined` without enough recent samples. */
interface DurationQuantiles {
    readonly atMs: number;
    readonly responseMs: number | undefined;
    readonly firstEventMs: number | undefined;
    readonly eventMs: number | undefined;
}

/** Durations of the requests of one kind. */
class KindDurations {
    readonly responses = new RecentSamples();
    readonly firstEvents = new RecentSamples();
    /** Times per event after the first one. */
    readonly events = new RecentSamples();
    #quantiles: DurationQuantiles | undefined;

    /** @returns The quantiles, at most {@link QuantileReuseMs} old. */
    quantiles(fraction: number, nowMs: number): DurationQuantiles {
        if (this.#quantiles === undefined || nowMs - this.#quantiles.atMs >= QuantileReuseMs) {
            this.#quantiles = {
                atMs: nowMs,
                responseMs: this.responses.quantileMs(fraction, nowMs),
                firstEventMs: this.firstEvents.quantileMs(fraction, nowMs),
                eventMs: this.events.quantileMs(fraction, nowMs),
            };
        }
        return this.#quantiles;
    }
}

/**
 * Response times of this host's recent requests by kind. They count from the arrival of a request, so they include waits for
 * its body, for tokens and for a caller that reads slowly; these make an estimate longer, never too short.
 */
export class RequestDurations {
    readonly #clock: Clock;
    readonly #margins: DurationMargins;
    readonly #kinds = new Map<string, KindDurations>();

    /** @param margins How far estimates lie above the durations seen. */
    constructor(clock: Clock, margins: DurationMargins = DefaultMargins) {
        this.#clock = clock;
        this.#margins = margins;
    }

    /** Records a plain response that was completed `elapsedMs` after the arrival of its request. */
    recordResponse(kind: string, elapsedMs: number): void {
        this.#kindDurations(kind).responses.record(elapsedMs, 1, this.#clock.monotonicMs());
    }

    /** Records a stream that has ended, whether it was complete or not. */
    recordStream(kind: string, { firstEventMs, eventCount, elapsedMs }: StreamTimes): void {
        if (eventCount < 1) {
            return;
        }
        const nowMs = this.#clock.monotonicMs();
        const durations = this.#kindDurations(kind);
        durations.firstEvents.record(firstEventMs, 1, nowMs);
        if (eventCount > 1) {
            // Weighted by events, so that a pause in a stream of few events does not count as the pace of long ones.
            const intervalCount = eventCount - 1;
            durations.events.record((elapsedMs - firstEventMs) / intervalCount, intervalCount, nowMs);
        }
    }

    /**
     * @returns Upper estimate of the time from the arrival of a request to the end of its response, in milliseconds; `undefined`
     * without enough recent samples.
     */
    estimateMs({ kind, maxEvents, maxPauseMs }: ExpectedWork): number | undefined {
        const { quantile, slownessFactor } = this.#margins;
        const pauseMs = maxPauseMs ?? this.#margins.pauseMs;
        const quantiles = this.#kinds.get(kind)?.quantiles(quantile, this.#clock.monotonicMs());
        if (quantiles === undefined) {
            return undefined;
        }
        const { responseMs, firstEventMs, eventMs } = quantiles;
        if (maxEvents === undefined) {
            return responseMs === undefined ? undefined : responseMs * slownessFactor + pauseMs;
        }
        if (firstEventMs === undefined || eventMs === undefined) {
            return undefined;
        }
        if (maxEvents === Number.POSITIVE_INFINITY) {
            return maxEvents;
        }
        return (firstEventMs + Math.max(0, maxEvents - 1) * eventMs) * slownessFactor + pauseMs;
    }

    #kindDurations(kind: string): KindDurations {
        let durations = this.#kinds.get(kind);
        if (durations === undefined) {
            durations = new KindDurations();
            setBounded(this.#kinds, kind, durations, MaxKinds, () => false);
        }
        return durations;
    }
}
