/** Effects: work outside the controllers, such as store and peer calls, that a controller requests. */
import type { AdmissionDecided } from "../features/admission/admissionTypes.js";
import type { ReservationDecided } from "../features/budget/budgetTypes.js";
import type { ClaimDecided, TicketIssued } from "../features/idempotency/idempotencyTypes.js";
import type { RequestsEnded, RequestsLimited, ShutdownCompleted } from "../features/lifecycle/lifecycleTypes.js";
import type { PeerReply, PeerRequest } from "../peer/peerMessages.js";
import type { CallIdentity } from "./effectResults.js";
import type { RouterEvent } from "./events.js";

/** Notifications from controllers to the gateway. */
export type Notification =
    | ReservationDecided
    | ClaimDecided
    | TicketIssued
    | AdmissionDecided
    | RequestsLimited
    | RequestsEnded
    | ShutdownCompleted;

/** Work that a controller requests. Results of store and peer calls are posted as events. */
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
    /** Replies to a request that arrived as {@link PeerRequestReceived}. */
    | { readonly type: "peerReply"; readonly exchangeId: string; readonly reply: PeerReply; }
    | { readonly type: "notify"; readonly notification: Notification; }
    /** Posts an event to the controllers of this process; performed by the kernel. */
    | { readonly type: "postEvent"; readonly event: RouterEvent; };
