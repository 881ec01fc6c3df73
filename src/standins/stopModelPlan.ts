/** Plans of plays of the stop model: the fleet, its upstreams, the stops, and the rules by which hosts that stop begin requests. */
import type { Random } from "../base/random.js";
import type { DurationMargins } from "../edge/stop/requestDurations.js";
import type { StopAdmission, StopRequest } from "../edge/stop/stopAdmission.js";
import { exponential } from "./distributions.js";

/** Time for which a host that stops still accepts connections, in milliseconds. */
export const NoticeMs = 3_000;

/** Time limits of the kinds of requests, in milliseconds. */
const TimeLimitMs = { longStream: 15_000, shortStream: 15_000, plain: 5_000, order: 3_000 } as const;

/** Share of each kind in the requests. */
const LongStreamShare = 0.5;
const ShortStreamShare = 0.25;
const PlainShare = 0.15;

/** Events of long streams: 60 to 660 tokens, three in an event. */
const MinLongEvents = 20;
const MaxLongEvents = 220;
const MeanLongEvents = 73;

/** Time to the first event or response, and its upper bound, in milliseconds. */
const MinFirstMs = 100;
const MeanFirstMs = 250;
const MaxFirstMs = 1_500;

/** Pauses of upstreams, in milliseconds. */
const MinPauseMs = 1_000;
const MaxPauseMs = 2_000;

/** Pace of the upstreams, in milliseconds per event, and the variation between the streams of one upstream. */
const MinPaceMs = 20;
const MaxPaceMs = 40;
const PaceVariation = 0.1;

/** Conditions of the upstreams. */
export interface UpstreamPlan {
    readonly upstreamCount: number;
    /** Share of the upstreams that are slow, and how many times slower they are. */
    readonly slowShare: number;
    readonly slowFactor: number;
    /** Share of the requests in which the upstream pauses once for 1 to 2 s. */
    readonly pauseShare: number;
    /** Factor on all times of upstreams from the first stop on. */
    readonly laterFactor: number;
}

/** One play of the model. */
export interface StopPlan {
    readonly seed: number;
    readonly hostCount: number;
    readonly callersPerHost: number;
    readonly graceMs: number;
    /** Hosts that are stopped, and how many of them at once. */
    readonly stopCount: number;
    readonly batchCount: number;
    readonly upstreams: UpstreamPlan;
    readonly rule: StopRule;
}

/** A request with the time that it will take at an upstream. */
export interface ModelRequest extends StopRequest {
    readonly firstMs: number;
    readonly durationMs: number;
}

/** What a play has shown. Requests are those sent from the first stop on. */
export interface StopFigures {
    requestCount: number;
    /** Requests that a host began between the signal to stop and its end. */
    begunAfterSignalCount: number;
    /** Answers cut at the end of the stop whose request the host began before the signal, in the notice, and after the notice. */
    cutBeforeSignalCount: number;
    cutInNoticeCount: number;
    cutAfterNoticeCount: number;
    /** Requests that were refused once, and more than once. */
    refusedOnceCount: number;
    refusedAgainCount: number;
    /** Requests that all tries refused. */
    failedCount: number;
    /** Time between the first try and the one that was accepted, for each request that was refused, in milliseconds. */
    readonly refusalDelaysMs: number[];
    /** Time that each cut answer had taken, in milliseconds. */
    readonly cutAfterMs: number[];
}

/** Decides whether a host that stops begins a request. */
export abstract class StopRule {
    abstract readonly name: string;
    /** Margins of the estimates of the hosts. */
    readonly margins: DurationMargins | undefined;

    constructor(margins?: DurationMargins) {
        this.margins = margins;
    }

    /** @param sinceSignalMs Time since the signal to stop. */
    abstract canBegin(request: StopRequest, admission: StopAdmission, sinceSignalMs: number): boolean;
}

/** Begins repeatable requests whatever their duration, and the others by their time limit once the notice is over. */
export class AcceptRepeatableRule extends StopRule {
    override readonly name = "accept repeatable";

    override canBegin(request: StopRequest, admission: StopAdmission, sinceSignalMs: number): boolean {
        return request.isRepeatable || sinceSignalMs < NoticeMs || admission.findRefusal(request) === undefined;
    }
}

/** Goes by the time limit of all requests. */
export class TimeLimitRule extends StopRule {
    override readonly name = "time limit";

    override canBegin(request: StopRequest, admission: StopAdmission): boolean {
        return admission.findRefusal({ ...request, isRepeatable: false }) === undefined;
    }
}

/** Goes by the estimates of repeatable requests and the time limit of the others. */
export class EstimateRule extends StopRule {
    override readonly name = "estimate";

    override canBegin(request: StopRequest, admission: StopAdmission): boolean {
        return admission.findRefusal(request) === undefined;
    }
}

/** Begins everything during the notice, and goes by the estimates after it. */
export class EstimateAfterNoticeRule extends StopRule {
    override readonly name = "estimate after the notice";

    override canBegin(request: StopRequest, admission: StopAdmission, sinceSignalMs: number): boolean {
        return sinceSignalMs < NoticeMs || admission.findRefusal(request) === undefined;
    }
}

/** Draws requests and the times that they take. */
export class RequestSource {
    readonly #random: Random;
    readonly #plan: UpstreamPlan;
    readonly #paceMs: readonly number[];
    /** Factor on all times of upstreams. */
    factor = 1;

    constructor(random: Random, plan: UpstreamPlan) {
        this.#random = random;
        this.#plan = plan;
        const slowCount = Math.round(plan.slowShare * plan.upstreamCount);
        this.#paceMs = Array.from(
            { length: plan.upstreamCount },
            (_, index) => this.#between(MinPaceMs, MaxPaceMs) * (index < slowCount ? plan.slowFactor : 1),
        );
    }

    next(): ModelRequest {
        const drawn = this.#random.next();
        if (drawn < LongStreamShare) {
            const mean = MeanLongEvents - MinLongEvents;
            const maxEvents = Math.min(MaxLongEvents, MinLongEvents + Math.round(exponential(this.#random, mean)));
            return this.#stream("chat", maxEvents, TimeLimitMs.longStream);
        }
        if (drawn < LongStreamShare + ShortStreamShare) {
            return this.#stream("suggestion", 3 + this.#random.integer(18), TimeLimitMs.shortStream);
        }
        const isRepeatable = drawn < LongStreamShare + ShortStreamShare + PlainShare;
        const timeLimitMs = isRepeatable ? TimeLimitMs.plain : TimeLimitMs.order;
        const firstMs = this.#firstMs();
        return {
            kind: isRepeatable ? "report" : "order",
            maxEvents: undefined,
            isRepeatable,
            timeLimitMs,
            firstMs,
            durationMs: Math.min(timeLimitMs, firstMs + this.#pauseMs()),
        };
    }

    #stream(kind: string, maxEvents: number, timeLimitMs: number): ModelRequest {
        const variation = this.#between(1 - PaceVariation, 1 + PaceVariation);
        const paceMs = this.#paceMs[this.#random.integer(this.#paceMs.length)]! * variation * this.factor;
        const firstMs = this.#firstMs();
        const durationMs = Math.min(timeLimitMs, firstMs + (maxEvents - 1) * paceMs + this.#pauseMs());
        return { kind, maxEvents, isRepeatable: true, timeLimitMs, firstMs, durationMs };
    }

    #firstMs(): number {
        const drawnMs = MinFirstMs + exponential(this.#random, MeanFirstMs - MinFirstMs);
        return Math.min(MaxFirstMs, drawnMs) * this.factor;
    }

    #pauseMs(): number {
        return this.#random.next() < this.#plan.pauseShare ? this.#between(MinPauseMs, MaxPauseMs) : 0;
    }

    #between(min: number, max: number): number {
        return min + (max - min) * this.#random.next();
    }
}
