/** Types of the admission feature: requests, events and outcomes. */
import type { ResultCodeName } from "../../base/resultCodes.js";
import type { RoutePlan } from "../../routing/routePlan.js";
import type { WorkClass } from "../config/configTypes.js";

/** Fields that an admission request takes over from its route plan. */
type PlannedFields = Pick<
    RoutePlan,
    | "workClass"
    | "long"
    | "repeatable"
    | "candidates"
    | "fallbacks"
    | "weights"
    | "maxInFlightPerUpstream"
    | "prefixKey"
    | "promptTokens"
    | "maxOutputTokens"
>;

/** A request that the admission controller queues and dispatches. */
export interface AdmissionRequest extends PlannedFields {
    readonly requestId: string;
    readonly team: string;
    /** Maximum wait until dispatch, in milliseconds. */
    readonly maxQueueWaitMs: number;
    /** Names of upstreams at which this request has already failed. */
    readonly excludedUpstreams: readonly string[];
}

/** Outcome of an admission request. `retryAfterMs` is the suggested retry delay; `undefined` when none is suggested. */
export type AdmissionOutcome =
    | {
        readonly status: "dispatch";
        readonly upstream: string;
        /** Class whose priority is sent to the engine; when absent, the request's own class. */
        readonly enginePriority?: WorkClass;
    }
    | { readonly status: "refused"; readonly code: ResultCodeName; readonly retryAfterMs: number | undefined; };

/** Events of the admission feature. */
export type AdmissionEvent =
    | { readonly type: "admissionRequested"; readonly request: AdmissionRequest; }
    /** The admission is no longer needed, for example because the caller disconnected; a waiting request is refused. */
    | { readonly type: "admissionCancelled"; readonly requestId: string; }
    /** Asks for a retry or a hedge; decided by an `admissionDecided` notification like an admission. */
    | { readonly type: "retryRequested"; readonly request: AdmissionRequest; readonly reason: "retry" | "hedge"; };

/** Notification of the admission feature: sent once for each admission request, retry or hedge. */
export interface AdmissionDecided {
    readonly type: "admissionDecided";
    readonly requestId: string;
    readonly outcome: AdmissionOutcome;
}
