/** Queues and the choice of an upstream: events and outcomes. */
import type { ResultCodeName } from "../../base/resultCodes.js";
import type { RoutePlan } from "../../routing/routePlan.js";
import type { WorkClass } from "../config/configTypes.js";

/** Fields that a request takes over from its route plan. */
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

/** A request as the admission controller sees it. */
export interface AdmissionRequest extends PlannedFields {
    readonly requestId: string;
    readonly team: string;
    /** Longest wait until dispatch, in milliseconds. */
    readonly maxQueueWaitMs: number;
    /** Upstreams that already failed this request. */
    readonly excludedUpstreams: readonly string[];
}

/** Answer to an admission request. */
export type AdmissionOutcome =
    | {
        readonly status: "dispatch";
        readonly upstream: string;
        /** Class whose priority is sent to the engine; absent means the request's own class. */
        readonly enginePriority?: WorkClass;
    }
    | { readonly status: "refused"; readonly code: ResultCodeName; readonly retryAfterMs: number | undefined; };

/** Events of the admission feature. */
export type AdmissionEvent =
    | { readonly type: "admissionRequested"; readonly request: AdmissionRequest; }
    /** The caller went away while the request waited. */
    | { readonly type: "admissionCancelled"; readonly requestId: string; }
    /** Asks whether a retry or a hedge may be sent; answered like an admission. */
    | { readonly type: "retryRequested"; readonly request: AdmissionRequest; readonly reason: "retry" | "hedge"; };

/** Notification of the admission feature. */
export interface AdmissionDecided {
    readonly type: "admissionDecided";
    readonly requestId: string;
    readonly outcome: AdmissionOutcome;
}
