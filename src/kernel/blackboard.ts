/** The blackboard of a router: one section per feature, each written by that feature's controller only. */
import { type AdmissionBoard, createAdmissionBoard } from "../features/admission/admissionBoard.js";
import { type BudgetBoard, createBudgetBoard } from "../features/budget/budgetBoard.js";
import { type ConfigBoard, createConfigBoard } from "../features/config/configBoard.js";
import { createIdempotencyBoard, type IdempotencyBoard } from "../features/idempotency/idempotencyBoard.js";
import { createJournalBoard, type JournalBoard } from "../features/journal/journalBoard.js";
import { createLifecycleBoard, type LifecycleBoard } from "../features/lifecycle/lifecycleBoard.js";
import { createMembershipBoard, type MembershipBoard } from "../features/membership/membershipBoard.js";
import { createRecoveryBoard, type RecoveryBoard } from "../features/recovery/recoveryBoard.js";
import { createUpstreamBoard, type UpstreamBoard } from "../features/upstream/upstreamBoard.js";

/** All sections of the blackboard, by feature. */
export interface Blackboard {
    readonly config: ConfigBoard;
    readonly membership: MembershipBoard;
    readonly journal: JournalBoard;
    readonly budget: BudgetBoard;
    readonly recovery: RecoveryBoard;
    readonly idempotency: IdempotencyBoard;
    readonly upstream: UpstreamBoard;
    readonly admission: AdmissionBoard;
    readonly lifecycle: LifecycleBoard;
}

/**
 * @param hostId Id of this host.
 * @param incarnation Id of this start of the process.
 * @returns A blackboard with empty sections.
 */
export function createBlackboard(hostId: string, incarnation: string): Blackboard {
    return {
        config: createConfigBoard(),
        membership: createMembershipBoard(),
        journal: createJournalBoard(hostId, incarnation),
        budget: createBudgetBoard(),
        recovery: createRecoveryBoard(),
        idempotency: createIdempotencyBoard(),
        upstream: createUpstreamBoard(),
        admission: createAdmissionBoard(),
        lifecycle: createLifecycleBoard(),
    };
}

/** @returns The blackboard as JSON values for the state dump; maps become objects, and sets become arrays. */
export function dumpBlackboard(board: Blackboard): unknown {
    return JSON.parse(JSON.stringify(board, (_key, value: unknown) => {
        if (value instanceof Map) {
            return Object.fromEntries(value);
        }
        return value instanceof Set ? [...value] : value;
    }));
}
