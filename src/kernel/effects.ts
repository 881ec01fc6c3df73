/** Effects that controllers ask for, and the events that report their results. */
import type { AdmissionDecided } from "../features/admission/admissionTypes.js";
import type { ReservationDecided } from "../features/budget/budgetTypes.js";
import type { ClaimDecided, TicketIssued } from "../features/idempotency/idempotencyTypes.js";
import type { ShutdownCompleted } from "../features/lifecycle/lifecycleTypes.js";
import type { PeerOutcome, PeerReply, PeerRequest } from "../peer/peerMessages.js";
import type { ListOutcome, ReadOutcome, WriteOutcome } from "../platform/platformStore.js";
import type { RouterEvent } from "./events.js";

/** Names of the features, in the order in which their controllers run. */
export const FeatureNames = [
    "config",
    "membership",
    "journal",
    "budget",
    "recovery",
    "idempotency",
    "upstream",
    "admission",
    "lifecycle",
] as const;
export type FeatureName = (typeof FeatureNames)[number];

/** Identifies a call, so that its result finds the controller that asked for it. */
interface CallIdentity {
    readonly owner: FeatureName;
    /** Unique within the owner. */
    readonly callId: string;
}

/** Notifications from controllers to the gateway. */
export type Notification = ReservationDecided | ClaimDecided | TicketIssued | AdmissionDecided | ShutdownCompleted;

/** Work for the outside world. */
export type Effect =
    | (CallIdentity & { readonly type: "storeGet"; readonly key: string; })
    | (CallIdentity & {
        readonly type: "storePut";
        readonly key: string;
        readonly value: unknown;
        readonly expectedVersion: number;
    })
    | (CallIdentity & {
        readonly type: "storeList";
        readonly prefix: string;
        readonly afterKey: string;
        readonly limit: number;
    })
    | (CallIdentity & {
        readonly type: "peerCall";
        readonly address: string;
        readonly request: PeerRequest;
        readonly timeoutMs: number;
    })
    /** Answers a request that arrived as {@link PeerRequested}. */
    | { readonly type: "peerAnswer"; readonly exchangeId: string; readonly reply: PeerReply; }
    | { readonly type: "notify"; readonly notification: Notification; }
    /** Hands an event to the controllers of this process; performed by the kernel. */
    | { readonly type: "postEvent"; readonly event: RouterEvent; };

/** A request from a peer. Exactly one controller answers it. */
export interface PeerRequested {
    readonly type: "peerRequested";
    readonly exchangeId: string;
    readonly request: PeerRequest;
}

/** Results of effects. */
export type ResultEvent =
    | (CallIdentity & { readonly type: "storeGetDone"; readonly key: string; readonly outcome: ReadOutcome; })
    | (CallIdentity & { readonly type: "storePutDone"; readonly key: string; readonly outcome: WriteOutcome; })
    | (CallIdentity & { readonly type: "storeListDone"; readonly outcome: ListOutcome; })
    | (CallIdentity & { readonly type: "peerCallDone"; readonly address: string; readonly outcome: PeerOutcome; });
