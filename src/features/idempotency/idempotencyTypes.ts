/** Claims of idempotency keys: stored object, events and outcomes. */
import { z } from "zod";
import { sha256Hex } from "../../base/hashing.js";
import type { ResultCodeName } from "../../base/resultCodes.js";

/** Largest answer body that a claim stores, in bytes. */
export const MaxStoredResponseBytes = 65_536;

/** An answer kept for replay. */
export const StoredResponseSchema = z.object({
    httpStatus: z.number().int(),
    contentType: z.string(),
    body: z.string(),
});
export type StoredResponse = z.infer<typeof StoredResponseSchema>;

/** Claim object in the store, under {@link claimKey}. */
export const ClaimSchema = z.object({
    hostKey: z.string(),
    requestId: z.string(),
    bodyHash: z.string(),
    state: z.enum(["claimed", "done", "released"]),
    /** Absent when the request is not done or its answer was too large. */
    answer: StoredResponseSchema.optional(),
    /** Whether the request ended with an interrupted answer. */
    interrupted: z.boolean().default(false),
});
export type Claim = z.infer<typeof ClaimSchema>;

/** @returns Name of a claim: hides the key and bounds its length. */
export function claimId(team: string, idempotencyKey: string): string {
    return sha256Hex(`${team}\n${idempotencyKey}`);
}

/** Prefix of claim objects. */
export const ClaimPrefix = "claim/";

/** @returns Key of a claim object. */
export function claimKey(id: string): string {
    return `${ClaimPrefix}${id}`;
}

/** Answer to a claim request. */
export type ClaimOutcome =
    /** This request may be dispatched. The fencing number is higher than that of any earlier dispatch of the key. */
    | { readonly status: "held"; readonly fencingNumber: number; }
    /** The store could not be asked; only repeatable work may go on. The claim is written later. */
    | { readonly status: "deferred"; }
    | { readonly status: "replay"; readonly answer: StoredResponse; }
    | { readonly status: "refused"; readonly code: ResultCodeName; readonly retryAfterMs: number | undefined; };

/** Events of the idempotency feature. */
export type IdempotencyEvent =
    | {
        readonly type: "claimRequested";
        readonly claimId: string;
        /** The caller's key as sent; tickets are recognised by their form. */
        readonly idempotencyKey: string;
        readonly requestId: string;
        readonly bodyHash: string;
        readonly repeatable: boolean;
    }
    /** The request ran to its end; `answer` is absent when it is not stored. */
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

/** Notification of the idempotency feature. */
export interface ClaimDecided {
    readonly type: "claimDecided";
    readonly claimId: string;
    readonly requestId: string;
    readonly outcome: ClaimOutcome;
}

/** Notification of the idempotency feature: a ticket, or `undefined` when none may be issued. */
export interface TicketIssued {
    readonly type: "ticketIssued";
    readonly requestId: string;
    readonly ticket: string | undefined;
}

/** Settings of the idempotency feature. */
export const IdempotencySettingsSchema = z.strictObject({
    /** Longest wait for the store before repeatable work goes on without a claim. */
    repeatableWaitMs: z.number().int().positive().default(300),
    /** Longest wait for the store before work that may not be repeated is refused. */
    exclusiveWaitMs: z.number().int().positive().default(2_000),
    firstRetryMs: z.number().int().positive().default(50),
    longestRetryMs: z.number().int().positive().default(2_000),
    /** Time for which answers stay in memory after they are stored. */
    replayCacheMs: z.number().int().positive().default(60_000),
    /** Tickets that are declared in the host record beyond those issued, so that sales go on in a store outage. */
    ticketReserve: z.number().int().positive().default(1_000),
    peerTimeoutMs: z.number().int().positive().default(1_000),
});
export type IdempotencySettings = z.infer<typeof IdempotencySettingsSchema>;
