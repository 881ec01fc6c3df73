/** Base class of policies: what decides when and where a request is sent. */
import type { Random } from "../../base/random.js";
import type { ResultCodeName } from "../../base/resultCodes.js";
import type { WorkClass } from "../config/configTypes.js";
import type { UpstreamStatus } from "../upstream/upstreamBoard.js";
import type { AdmissionSettings } from "./admissionSettings.js";
import type { AdmissionRequest } from "./admissionTypes.js";
import type { ActiveDispatch, UpstreamLoad } from "./inFlightTracker.js";

/** An upstream as policies see it. */
export interface UpstreamView {
    readonly name: string;
    readonly slots: number;
    /** Whether more urgent work pauses running work. */
    readonly supportsPreemption: boolean;
    readonly status: UpstreamStatus;
    /** Requests that this host decided to send and that have not ended. */
    readonly load: Readonly<UpstreamLoad>;
}

/** What policies work with. */
export interface PolicyContext {
    readonly settings: AdmissionSettings;
    readonly random: Random;
    /** Monotonic time. */
    nowMs(): number;
    /** Hosts that share the upstreams, this one included. */
    hostCount(): number;
    teamWeight(team: string): number;
    /** @returns The upstream, or `undefined` when it is not configured. */
    findUpstream(name: string): UpstreamView | undefined;
    /** Decides a request: it is sent. */
    dispatch(item: AdmissionRequest, upstream: string, pool: string): void;
    /** Decides a request: it is refused without having run. */
    refuse(item: AdmissionRequest, code: ResultCodeName, retryAfterMs: number | undefined): void;
    /** @returns Whether one more request may test a slow upstream; counts it if so. */
    tryAcquireProbe(): boolean;
}

/** Decides when and where requests are sent. Every submitted request is dispatched, refused or cancelled once. */
export abstract class AdmissionPolicy {
    protected readonly context: PolicyContext;

    constructor(context: PolicyContext) {
        this.context = context;
    }

    /** Takes a request: dispatches it, refuses it or keeps it waiting. */
    abstract submit(item: AdmissionRequest): void;

    /** @returns An upstream that could take the request at once, for a hedge. */
    abstract findAvailableUpstream(item: AdmissionRequest): string | undefined;

    /** @returns The request if it was waiting; it waits no longer. */
    abstract cancel(requestId: string): AdmissionRequest | undefined;

    /** Dispatches what can be sent. Called when capacity may have become free. */
    abstract dispatchWaiting(): void;

    /** Called on every tick, for what depends on the time. */
    abstract tick(): void;

    /** @returns Class whose priority the engine is told. */
    abstract selectEnginePriority(item: AdmissionRequest): WorkClass;

    /** A dispatch completed. */
    recordCompletion(dispatch: ActiveDispatch, durationMs: number): void {
        void dispatch;
        void durationMs;
    }

    /** @returns Waiting requests by class. */
    abstract countQueued(): Record<WorkClass, number>;

    /** @returns The upstreams that may get the request: the rule's candidates, or its fallbacks when none is usable. */
    protected usableUpstreams(item: AdmissionRequest): UpstreamView[] {
        const candidates = this.#usable(item.candidates, item);
        return candidates.length > 0 ? candidates : this.#usable(item.fallbacks, item);
    }

    #usable(names: readonly string[], item: AdmissionRequest): UpstreamView[] {
        const usable: UpstreamView[] = [];
        for (const name of names) {
            const view = this.context.findUpstream(name);
            if (
                view !== undefined && view.status.usable && !view.status.leaving &&
                !item.excludedUpstreams.includes(name) && (item.weights[name] ?? 1) > 0
            ) {
                usable.push(view);
            }
        }
        return usable;
    }
}
