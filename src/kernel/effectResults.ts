/** Identities of the calls that controllers make, and the events that report the results. */
import type { PeerOutcome, PeerRequest } from "../peer/peerMessages.js";
import type { ListOutcome, ReadOutcome, WriteOutcome } from "../platform/platformStore.js";

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
/** Name of a feature and of its controller. */
export type FeatureName = (typeof FeatureNames)[number];

/** Identifies a call, so that its result reaches the controller that made it. */
export interface CallIdentity {
    readonly owner: FeatureName;
    /** Unique within the owner. */
    readonly callId: string;
}

/** A request from a peer. Exactly one controller replies to it. */
export interface PeerRequestReceived {
    readonly type: "peerRequestReceived";
    /** Id that the reply must carry. */
    readonly exchangeId: string;
    readonly request: PeerRequest;
}

/** Event that reports the result of an effect to all controllers that handle its type. */
export type EffectResultEvent =
    | (CallIdentity & { readonly type: "storeGetDone"; readonly key: string; readonly outcome: ReadOutcome; })
    | (CallIdentity & { readonly type: "storePutDone"; readonly key: string; readonly outcome: WriteOutcome; })
    | (CallIdentity & { readonly type: "storeListDone"; readonly outcome: ListOutcome; })
    | (CallIdentity & { readonly type: "peerCallDone"; readonly address: string; readonly outcome: PeerOutcome; });
