/** The claim of a request of this host, and the classification of claims found in the store. */
import type { StoredObject } from "../../platform/platformStore.js";
import type { BillDraft } from "../budget/budgetTypes.js";
import { type Claim, ClaimSchema, type IdempotencyEvent, type StoredResponse } from "./idempotencyTypes.js";
import type { Ticket } from "./tickets.js";

type ClaimRequested = Extract<IdempotencyEvent, { type: "claimRequested"; }>;

/**
 * Stages of a local claim.
 * - `claiming`: the store has not acknowledged the claim.
 * - `held`: the claim is acknowledged and the request may run.
 * - `finishing`, `releasing`: the final state is being written.
 * - `settled`: the final state is acknowledged; kept for replays.
 * - `lost`: the request ran without a claim, and another request turned out to hold the key.
 */
export type ClaimStage = "claiming" | "held" | "finishing" | "releasing" | "settled" | "lost";

/** How a claimed request ended. */
export interface ClaimCompletion {
    /** Response to replay; `undefined` when it is not stored. */
    readonly answer: StoredResponse | undefined;
    /** Whether the response was interrupted. */
    readonly interrupted: boolean;
}

/** A claim of a request that runs on this host. */
export interface LocalClaim {
    readonly claimId: string;
    readonly requestId: string;
    readonly bodyHash: string;
    readonly repeatable: boolean;
    /** Host key under which the claim is written. */
    readonly hostKey: string;
    /** Set when the key is a ticket; such a claim is written only at its end. */
    readonly ticket: Ticket | undefined;
    /** Monotonic time in milliseconds at which the request is decided without an acknowledged claim. */
    readonly deadlineMs: number;
    stage: ClaimStage;
    /** Whether the gateway was notified of the outcome. */
    isDecided: boolean;
    /** Whether the request will not run, so that the claim is released as soon as it is held. */
    isAbandoned: boolean;
    /** Version of the claim object that the next write expects to replace. */
    expectedVersion: number;
    /** Whether a store call of the claim is in flight. */
    isWriting: boolean;
    /** Earliest monotonic time of the next write in milliseconds. */
    nextWriteMs: number;
    /** Delay before the next repetition of a failed write in milliseconds. */
    retryMs: number;
    completion: ClaimCompletion | undefined;
    /** Bill of the request, kept so that it can be reversed. */
    bill: BillDraft | undefined;
    /** Monotonic time in milliseconds at which a settled claim is removed from memory. */
    expiresAtMs: number;
}

/** Fields of a new claim that do not come from its request. */
export interface LocalClaimOptions {
    /** Host key under which the claim is written. */
    readonly hostKey: string;
    /** Monotonic time in milliseconds at which the request is decided without an acknowledged claim. */
    readonly deadlineMs: number;
    /** Version of the claim object that the first write expects to replace. */
    readonly expectedVersion: number;
    /** Delay before the first repetition of a failed write in milliseconds. */
    readonly retryMs: number;
    /** Set when the key is a ticket, which needs no acknowledgement before the dispatch. */
    readonly ticket?: Ticket;
}

/** @returns The claim of a request, before its first write. */
export function createLocalClaim(request: ClaimRequested, options: LocalClaimOptions): LocalClaim {
    return {
        claimId: request.claimId,
        requestId: request.requestId,
        bodyHash: request.bodyHash,
        repeatable: request.repeatable,
        hostKey: options.hostKey,
        ticket: options.ticket,
        deadlineMs: options.deadlineMs,
        stage: options.ticket === undefined ? "claiming" : "held",
        isDecided: false,
        isAbandoned: false,
        expectedVersion: options.expectedVersion,
        isWriting: false,
        nextWriteMs: 0,
        retryMs: options.retryMs,
        completion: undefined,
        bill: undefined,
        expiresAtMs: Number.POSITIVE_INFINITY,
    };
}

/** What a claim found in the store means for a request with the same key. */
export type StoredClaimClassification =
    /** An earlier write of the same request took effect. */
    | { readonly kind: "sameRequest"; readonly claim: Claim; }
    /** Another request released the key; it can be claimed. */
    | { readonly kind: "released"; }
    /** The key belongs to a request with another body. */
    | { readonly kind: "differentBody"; }
    /** Another request with the same body has ended. */
    | { readonly kind: "done"; readonly claim: Claim; }
    /** Another request with the same body is running, or was when its host ended. */
    | { readonly kind: "running"; readonly hostKey: string; }
    /** The object does not match the schema of this release. */
    | { readonly kind: "unreadable"; };

/**
 * Classifies a claim found in the store.
 * @param object Object found under the claim's key.
 * @param local Claim of the request that needs the key.
 */
export function classifyStoredClaim(
    object: StoredObject,
    local: Pick<LocalClaim, "requestId" | "bodyHash">,
): StoredClaimClassification {
    const parsed = ClaimSchema.safeParse(object.value);
    if (!parsed.success) {
        return { kind: "unreadable" };
    }
    const claim = parsed.data;
    if (claim.requestId === local.requestId) {
        return { kind: "sameRequest", claim };
    }
    if (claim.state === "released") {
        return { kind: "released" };
    }
    if (claim.bodyHash !== local.bodyHash) {
        return { kind: "differentBody" };
    }
    return claim.state === "done" ? { kind: "done", claim } : { kind: "running", hostKey: claim.hostKey };
}

/** @returns The claim object that the next write stores, according to the stage of the claim. */
export function claimValue(local: LocalClaim): Claim {
    const { hostKey, requestId, bodyHash } = local;
    if (local.stage === "finishing") {
        const interrupted = local.completion?.interrupted ?? false;
        return { hostKey, requestId, bodyHash, state: "done", answer: local.completion?.answer, interrupted };
    }
    const state = local.stage === "releasing" ? "released" : "claimed";
    return { hostKey, requestId, bodyHash, state, interrupted: false };
}
