/** Types of the idempotency feature: claim objects in the store, events, outcomes and settings. */
import { z } from "zod";
import { sha256Hex } from "../../base/hashing.js";
import type { ResultCodeName } from "../../base/resultCodes.js";

/** Maximum size of a response body that a claim stores, in bytes. */
export const MaxStoredResponseBytes = 65_536;

/** A response that is stored so that a repeated request can be given it again. */
export const StoredResponseSchema = z.object({
    httpStatus: z.number().int(),
    contentType: z.string(),
    body: z.string(),
});
export type StoredResponse = z.infer<typeof StoredResponseSchema>;

/** Claim of an idempotency key as stored in the store under {@link claimKey}. */
export const ClaimSchema = z.object({
    hostKey: z.string(),
    requestId: z.string(),
    bodyHash: z.string(),
    state: z.enum(["claimed", "done", "released"]),
    /** Absent when the request is not done, or its response was interrupted, too large or not valid UTF-8. */
    answer: StoredResponseSchema.optional(),
    /** Whether the response of the request was interrupted. */
    interrupted: z.boolean().default(false),
});
export type Claim = z.infer<typeof ClaimSchema>;

/** @returns Id of a claim: a hash of team and key, which hides the key and has a fixed length. */
export function claimId(team: string, idempotencyKey: string): string {
    return sha256Hex(`${team}\n${idempotencyKey}`);
}

/** Prefix of the store keys of claim objects. */
export const ClaimPrefix = "claim/";

/** @returns Store key of a claim object. */
export function claimKey(id: string): string {
    return `${ClaimPrefix}${id}`;
}

/** Outcome of a claim request. */
export type ClaimOutcome =
    /** This request may be dispatched. The fencing number is higher than that of any earlier dispatch of the key. */
    | { readonly status: "held"; readonly fencingNumber: number; }
    /** The store did not acknowledge the claim in time. Only repeatable work may run; the claim is written later. */
    | { readonly status: "deferred"; }
    | { readonly status: "replay"; readonly answer: StoredResponse; }
    | { readonly status: "refused"; readonly code: ResultCodeName; readonly retryAfterMs: number | undefined; };

/** Events of the idempotency feature. */
export type IdempotencyEvent =
    | {
        readonly type: "claimRequested";
        readonly claimId: string;
        /** The caller's key as sent; tickets are recognised by their format. */
        readonly idempotencyKey: string;
        readonly requestId: string;
        readonly bodyHash: string;
        readonly repeatable: boolean;
    }
    /** The request ran to its end; `answer` is `undefined` when the response is not stored. */
    | {
        readonly type: "claimCompleted";
        readonly claimId: string;
        readonly requestId: string;
        readonly answer: StoredResponse | undefined;
        readonly interrupted: boolean;
    }
    /** The request definitely did not run. */
    | { readonly type: "claimReleased"; readonly claimId: string; readonly requestId: string; }
    | { readonly type: "ticketRequested"; readonly requestId: string; };

/** Notification that a claim request was decided. */
export interface ClaimDecided {
    readonly type: "claimDecided";
    readonly claimId: string;
    readonly requestId: string;
    readonly outcome: ClaimOutcome;
}

/** Notification that a ticket was issued; `ticket` is `undefined` when none may be issued now. */
export interface TicketIssued {
    readonly type: "ticketIssued";
    readonly requestId: string;
    readonly ticket: string | undefined;
}

/** Settings of the idempotency feature. */
export const IdempotencySettingsSchema = z.strictObject({
    /** Maximum wait for the store before repeatable work runs without a claim. */
    repeatableWaitMs: z.number().int().positive().default(300),
    /** Maximum wait for the store before work that may not be repeated is refused. */
    exclusiveWaitMs: z.number().int().positive().default(2_000),
    /** Delay before a failed write of a claim is first repeated; it doubles with each further failure. */
    firstRetryMs: z.number().int().positive().default(50),
    /** Maximum delay between repetitions of a failed write of a claim. */
    longestRetryMs: z.number().int().positive().default(2_000),
    /** Time for which responses stay in memory after they are stored. */
    replayCacheMs: z.number().int().positive().default(60_000),
    /** Tickets that the host record declares beyond those issued, so that sales continue during a store outage. */
    ticketReserve: z.number().int().positive().default(1_000),
    /** Timeout of a call that asks the issuer of a ticket whether it was used. */
    peerTimeoutMs: z.number().int().positive().default(1_000),
});
export type IdempotencySettings = z.infer<typeof IdempotencySettingsSchema>;
