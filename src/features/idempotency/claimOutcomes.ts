/** Answers to claim requests. */
import type { ResultCodeName } from "../../base/resultCodes.js";
import type { ReadOutcome } from "../../platform/platformStore.js";
import { type HostRecord, HostRecordSchema } from "../journal/journalTypes.js";
import type { Claim, ClaimOutcome } from "./idempotencyTypes.js";
import type { LocalClaim } from "./localClaim.js";

/** Time after which a caller should ask again for the outcome of a running request. */
export const RunningRetryAfterMs = 1_000;

/** @returns A refusal. */
export function createRefusal(code: ResultCodeName, retryAfterMs?: number): ClaimOutcome {
    return { status: "refused", code, retryAfterMs };
}

/** @returns The answer to a second request with the key of a finished one. */
export function createOutcomeOfFinishedClaim(claim: Pick<Claim, "answer" | "interrupted">): ClaimOutcome {
    if (claim.answer !== undefined) {
        return { status: "replay", answer: claim.answer };
    }
    return createRefusal(claim.interrupted ? "OutcomeUnknown" : "AnswerNotStored");
}

/** @returns The answer to a second request with the key of a claim of this host. */
export function createOutcomeOfLocalClaim(claim: LocalClaim, bodyHash: string): ClaimOutcome {
    if (claim.bodyHash !== bodyHash) {
        return createRefusal("KeyReused");
    }
    if (claim.completion === undefined || claim.stage === "lost") {
        return createRefusal("RequestRunning", RunningRetryAfterMs);
    }
    return createOutcomeOfFinishedClaim(claim.completion);
}

/** @returns Whether a host record was read and is sealed. */
export function isRecordSealed(outcome: ReadOutcome): boolean {
    return stateOf(outcome) === "sealed";
}

/** @returns Whether a host record was read and is sealed or closed. */
export function isRecordSealedOrClosed(outcome: ReadOutcome): boolean {
    const state = stateOf(outcome);
    return state === "sealed" || state === "closed";
}

function stateOf(outcome: ReadOutcome): HostRecord["state"] | undefined {
    const record = outcome.status === "found" ? HostRecordSchema.safeParse(outcome.object.value) : undefined;
    return record?.data?.state;
}
