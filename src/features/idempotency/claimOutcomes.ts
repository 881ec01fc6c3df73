/** Outcomes of claim requests, and the checks of a host record that decide between them. */
import type { ResultCodeName } from "../../base/resultCodes.js";
import type { ReadOutcome } from "../../platform/platformStore.js";
import { type HostRecord, HostRecordSchema } from "../journal/journalTypes.js";
import type { Claim, ClaimOutcome } from "./idempotencyTypes.js";
import type { LocalClaim } from "./localClaim.js";

/** Milliseconds after which a refused caller should retry while the earlier request may still be running. */
export const RunningRetryAfterMs = 1_000;

/**
 * @param code Result code that the caller receives.
 * @param retryAfterMs Milliseconds after which the caller should retry; absent when no retry is advised.
 * @returns An outcome that refuses the request.
 */
export function createRefusal(code: ResultCodeName, retryAfterMs?: number): ClaimOutcome {
    return { status: "refused", code, retryAfterMs };
}

/**
 * Decides a repeated request whose key belongs to a finished one.
 * @returns A replay of the stored response. Without one a refusal: `OutcomeUnknown` after an interrupted response, otherwise
 * `AnswerNotStored`, because the response was too large or not valid UTF-8.
 */
export function createOutcomeOfFinishedClaim(claim: Pick<Claim, "answer" | "interrupted">): ClaimOutcome {
    if (claim.answer !== undefined) {
        return { status: "replay", answer: claim.answer };
    }
    return createRefusal(claim.interrupted ? "OutcomeUnknown" : "AnswerNotStored");
}

/**
 * Decides a repeated request whose key this host has claimed.
 * @param bodyHash Hash of the body of the repeated request.
 * @returns A replay or a refusal: `KeyReused` when the body differs, `RequestRunning` when the first request
 * has not ended, or ran without a claim and another request holds the key.
 */
export function createOutcomeOfLocalClaim(claim: LocalClaim, bodyHash: string): ClaimOutcome {
    if (claim.bodyHash !== bodyHash) {
        return createRefusal("KeyReused");
    }
    if (claim.completion === undefined || claim.stage === "lost") {
        return createRefusal("RequestRunning", RunningRetryAfterMs);
    }
    return createOutcomeOfFinishedClaim(claim.completion);
}

/** @returns Whether the read found a host record that is sealed; false also when the read failed. */
export function isRecordSealed(outcome: ReadOutcome): boolean {
    return parseRecordState(outcome) === "sealed";
}

/** @returns Whether the read found a host record that is sealed or closed; false also when the read failed. */
export function isRecordSealedOrClosed(outcome: ReadOutcome): boolean {
    const state = parseRecordState(outcome);
    return state === "sealed" || state === "closed";
}

function parseRecordState(outcome: ReadOutcome): HostRecord["state"] | undefined {
    const record = outcome.status === "found" ? HostRecordSchema.safeParse(outcome.object.value) : undefined;
    return record?.data?.state;
}
