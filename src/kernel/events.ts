/** The events that controllers handle. */
import type { AdmissionEvent } from "../features/admission/admissionTypes.js";
import type { BudgetEvent } from "../features/budget/budgetTypes.js";
import type { ConfigEvent } from "../features/config/configEvents.js";
import type { IdempotencyEvent } from "../features/idempotency/idempotencyTypes.js";
import type { LifecycleEvent } from "../features/lifecycle/lifecycleTypes.js";
import type { MembershipEvent } from "../features/membership/membershipTypes.js";
import type { UpstreamEvent } from "../features/upstream/upstreamTypes.js";
import type { EffectResultEvent, PeerRequestReceived } from "./effectResults.js";

/** Interval of the {@link Tick} event in milliseconds. */
export const TickIntervalMs = 50;

/** Posted at a fixed interval, so that controllers can do work that is due. */
export interface Tick {
    readonly type: "tick";
}

/** Any event that a controller may handle. */
export type RouterEvent =
    | Tick
    | ConfigEvent
    | MembershipEvent
    | BudgetEvent
    | IdempotencyEvent
    | UpstreamEvent
    | AdmissionEvent
    | LifecycleEvent
    | PeerRequestReceived
    | EffectResultEvent;
