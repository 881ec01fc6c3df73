/** Base class of admission policies, which decide when and to which upstream a request is sent. */
import type { Random } from "../../base/random.js";
import type { ResultCodeName } from "../../base/resultCodes.js";
import type { WorkClass } from "../config/configTypes.js";
import type { UpstreamStatus } from "../upstream/upstreamBoard.js";
import type { AdmissionSettings } from "./admissionSettings.js";
import type { AdmissionRequest } from "./admissionTypes.js";
import type { ActiveDispatch, UpstreamLoad } from "./inFlightTracker.js";

/** State of an upstream that policies base their decisions on. */
export interface UpstreamView {
    readonly name: string;
    readonly slots: number;
    /** Whether the upstream pauses running work for more urgent work. */
    readonly supportsPreemption: boolean;
    readonly status: UpstreamStatus;
    /** Requests that this host has decided to send and that have not ended. */
    readonly load: Readonly<UpstreamLoad>;
}

/** Data and functions that the admission controller provides to its policy. */
export interface PolicyContext {
    readonly settings: AdmissionSettings;
    readonly random: Random;
    /** @returns Current monotonic time in milliseconds. */
    nowMs(): number;
    /** @returns Number of hosts that share the upstreams, this one included. */
    hostCount(): number;
    /** @returns Weight of a team in the fair queues; 1 when it is not configured. */
    teamWeight(team: string): number;
    /** @returns The upstream, or `undefined` when it is not configured. */
    findUpstream(name: string): UpstreamView | undefined;
    /** Decides that a request is sent to an upstream. `pool` is the key of its pool, or empty. */
    dispatch(request: AdmissionRequest, upstream: string, pool: string): void;
    /** Decides that a request is refused without having run. */
    refuse(request: AdmissionRequest, code: ResultCodeName, retryAfterMs: number | undefined): void;
    /** @returns Whether one more request may probe a slow upstream; if so, the probe is counted. */
    tryAcquireProbe(): boolean;
}

/** Decides when and to which upstream requests are sent. Every submitted request is dispatched, refused or cancelled once. */
export abstract class AdmissionPolicy {
    protected readonly context: PolicyContext;

    constructor(context: PolicyContext) {
        this.context = context;
    }

    /** Dispatches or refuses a request, or adds it to a queue. */
    abstract submit(request: AdmissionRequest): void;

    /** @returns Name of an upstream that could get the request at once, for a hedge; `undefined` when there is none. */
    abstract findAvailableUpstream(request: AdmissionRequest): string | undefined;

    /** Removes a waiting request. @returns The request, or `undefined` when it was not waiting. */
    abstract cancel(requestId: string): AdmissionRequest | undefined;

    /** Dispatches the waiting requests that can be sent. Called when capacity may have become free. */
    abstract dispatchWaiting(): void;

    /** Called on every tick, for time-dependent work such as timeouts. */
    abstract tick(): void;

    /** @returns Class whose priority is sent to the engine. */
    abstract selectEnginePriority(request: AdmissionRequest): WorkClass;

    /** Records the duration of a completed dispatch, in milliseconds. */
    recordCompletion(dispatch: ActiveDispatch, durationMs: number): void {
        void dispatch;
        void durationMs;
    }

    /** @returns Number of waiting requests by class. */
    abstract countQueued(): Record<WorkClass, number>;

    /** @returns The usable upstreams for a request: the rule's candidates, or its fallbacks when no candidate is usable. */
    protected usableUpstreams(request: AdmissionRequest): UpstreamView[] {
        const candidates = this.#filterUsable(request.candidates, request);
        return candidates.length > 0 ? candidates : this.#filterUsable(request.fallbacks, request);
    }

    #filterUsable(names: readonly string[], request: AdmissionRequest): UpstreamView[] {
        const usable: UpstreamView[] = [];
        for (const name of names) {
            const view = this.context.findUpstream(name);
            if (
                view !== undefined && view.status.usable && !view.status.leaving &&
                !request.excludedUpstreams.includes(name) && (request.weights[name] ?? 1) > 0
            ) {
                usable.push(view);
            }
        }
        return usable;
    }
}
