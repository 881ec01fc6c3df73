/** Calls that controllers have made, and the events that report their results. */
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
export type FeatureName = (typeof FeatureNames)[number];

/** Identifies a call, so that its result finds the controller that asked for it. */
export interface CallIdentity {
    readonly owner: FeatureName;
    /** Unique within the owner. */
    readonly callId: string;
}

/** A request from a peer. Exactly one controller answers it. */
export interface PeerRequestReceived {
    readonly type: "peerRequested";
    readonly exchangeId: string;
    readonly request: PeerRequest;
}

/** Results of effects. */
export type EffectResultEvent =
    | (CallIdentity & { readonly type: "storeGetDone"; readonly key: string; readonly outcome: ReadOutcome; })
    | (CallIdentity & { readonly type: "storePutDone"; readonly key: string; readonly outcome: WriteOutcome; })
    | (CallIdentity & { readonly type: "storeListDone"; readonly outcome: ListOutcome; })
    | (CallIdentity & { readonly type: "peerCallDone"; readonly address: string; readonly outcome: PeerOutcome; });
