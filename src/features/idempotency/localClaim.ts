/** A claim as the host that runs the request sees it, and the judgement of a claim found in the store. */
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
 * - `lost`: the request ran without a claim and another request turned out to hold it.
 */
export type ClaimStage = "claiming" | "held" | "finishing" | "releasing" | "settled" | "lost";

/** How a claimed request ended. */
export interface ClaimCompletion {
    readonly answer: StoredResponse | undefined;
    readonly interrupted: boolean;
}

/** A claim of a request of this host. */
export interface LocalClaim {
    readonly claimId: string;
    readonly requestId: string;
    readonly bodyHash: string;
    readonly repeatable: boolean;
    /** Host key under which the claim is written. */
    readonly hostKey: string;
    /** Set when the key is a ticket; such a claim is written only at its end. */
    readonly ticket: Ticket | undefined;
    readonly deadlineMs: number;
    stage: ClaimStage;
    /** Whether the gateway has its answer. */
    isDecided: boolean;
    /** Whether the request will not run, so that the claim is to be released as soon as it is held. */
    abandoned: boolean;
    expectedVersion: number;
    isWriting: boolean;
    nextWriteMs: number;
    retryMs: number;
    completion: ClaimCompletion | undefined;
    bill: BillDraft | undefined;
    expiresAtMs: number;
}

/** What a new claim takes from its host. */
export interface LocalClaimOptions {
    readonly hostKey: string;
    readonly deadlineMs: number;
    readonly expectedVersion: number;
    readonly retryMs: number;
    /** Set when the key is a ticket, which needs no acknowledgement before the dispatch. */
    readonly ticket?: Ticket;
}

/** @returns The claim of a request, before its first write. */
export function createLocalClaim(request: ClaimRequested, start: LocalClaimOptions): LocalClaim {
    return {
        claimId: request.claimId,
        requestId: request.requestId,
        bodyHash: request.bodyHash,
        repeatable: request.repeatable,
        hostKey: start.hostKey,
        ticket: start.ticket,
        deadlineMs: start.deadlineMs,
        stage: start.ticket === undefined ? "claiming" : "held",
        isDecided: false,
        abandoned: false,
        expectedVersion: start.expectedVersion,
        isWriting: false,
        nextWriteMs: 0,
        retryMs: start.retryMs,
        completion: undefined,
        bill: undefined,
        expiresAtMs: Number.POSITIVE_INFINITY,
    };
}

/** What a claim found in the store means for a request that wants the same key. */
export type StoredClaimClassification =
    /** An earlier write of the same request took effect. */
    | { readonly kind: "ours"; readonly claim: Claim; }
    | { readonly kind: "free"; }
    | { readonly kind: "otherRequest"; }
    | { readonly kind: "done"; readonly claim: Claim; }
    | { readonly kind: "running"; readonly hostKey: string; }
    | { readonly kind: "unreadable"; };

/**
 * Judges a claim found in the store.
 * @param object Object found under the claim's key.
 * @param local Claim of the request that wants the key.
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
        return { kind: "ours", claim };
    }
    if (claim.state === "released") {
        return { kind: "free" };
    }
    if (claim.bodyHash !== local.bodyHash) {
        return { kind: "otherRequest" };
    }
    return claim.state === "done" ? { kind: "done", claim } : { kind: "running", hostKey: claim.hostKey };
}

/** @returns The value that the next write of the claim stores. */
export function claimValue(local: LocalClaim): Claim {
    const { hostKey, requestId, bodyHash } = local;
    if (local.stage === "finishing") {
        const interrupted = local.completion?.interrupted ?? false;
        return { hostKey, requestId, bodyHash, state: "done", answer: local.completion?.answer, interrupted };
    }
    const state = local.stage === "releasing" ? "released" : "claimed";
    return { hostKey, requestId, bodyHash, state, interrupted: false };
}
