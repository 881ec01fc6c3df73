/** Why prepaid tokens are not available, and when a caller should come back. Answers budgets that run out, and outages. */
import { maxUnspentTokensOfOthers, settledTokensOfOthers, type TeamLedger } from "./ledger.js";
import type { RefusalReason } from "./loanMessages.js";

/**
 * `exhausted` by the known spending of all hosts; `paced` while the store is lost, as the release goes on; `heldElsewhere`, so
 * that another host may serve the request at once; `fragmented` among hosts until they divide the rest anew; `atRisk` with
 * processes that were killed, so that only a top-up helps.
 */
export interface BudgetRefusal {
    readonly reason: RefusalReason;
    /** Time after which a retry is of use, in milliseconds; `undefined` when none is. */
    readonly retryAfterMs: number | undefined;
    /** Address of the host that gave the reason, where another one did; its log has the numbers. */
    readonly lender?: string | undefined;
}

/** Retry-After where another host, to which a retry goes, may serve it, in milliseconds. */
const ElsewhereRetryMs = 100;

/** Retry-After until the hosts have divided the rest anew, in milliseconds; they plan once a second. */
const FragmentedRetryMs = 1_500;

/** Retry-After until a top-up, in milliseconds; a day has a few. */
const AtRiskRetryMs = 5_000;

/** Retry-After in an outage whose release does not cover the request soon, in milliseconds: a part of a usual outage. */
const OutageRetryMs = 2_500;

/** Time within which the release of an outage is looked ahead, in milliseconds. */
export const ReleaseHorizonMs = 5_000;

/** Refusal when no lender answers, and of a host that is no lender. */
export const NoLenderRefusal: BudgetRefusal = { reason: "heldElsewhere", retryAfterMs: ElsewhereRetryMs };

/** What a refusal depends on, as the refusing host knows it. */
export interface RefusalInput {
    readonly costTokens: number;
    readonly prepaidTokens: number;
    /** The team's ledger; `undefined` when this host does not know it. */
    readonly ledger: TeamLedger | undefined;
    readonly hostId: string;
    /** Tokens that finished requests of this host have cost. */
    readonly settledTokens: number;
    readonly isStoreUnavailable: boolean;
    /** Time until the own record's release covers the request, in milliseconds; `undefined` when not soon. */
    releaseWaitMs(): number | undefined;
}

/** @returns The reason that holds for the whole fleet if there is one, else what binds this host. */
export function determineRefusal(input: RefusalInput): BudgetRefusal {
    const { ledger, costTokens, prepaidTokens, hostId } = input;
    if (ledger === undefined) {
        return NoLenderRefusal;
    }
    const unspentTokens = prepaidTokens - settledTokensOfOthers(ledger, hostId) - input.settledTokens;
    if (unspentTokens < costTokens) {
        return { reason: "exhausted", retryAfterMs: undefined };
    }
    if (input.isStoreUnavailable) {
        return { reason: "paced", retryAfterMs: input.releaseWaitMs() ?? OutageRetryMs };
    }
    if (unspentTokens - ledger.atRiskTokens < costTokens) {
        return { reason: "atRisk", retryAfterMs: AtRiskRetryMs };
    }
    return maxUnspentTokensOfOthers(ledger, hostId) >= costTokens ?
        { reason: "heldElsewhere", retryAfterMs: ElsewhereRetryMs } :
        { reason: "fragmented", retryAfterMs: FragmentedRetryMs };
}

/** Reasons by how much they tell of the whole fleet, the most first. */
const ReasonOrder: readonly RefusalReason[] = ["exhausted", "paced", "atRisk", "fragmented", "heldElsewhere"];

/** @returns What the answers of all lenders amount to; of equal reasons the one with the earlier retry. */
export function selectRefusal(refusals: readonly BudgetRefusal[]): BudgetRefusal {
    const rank = ({ reason }: BudgetRefusal) => ReasonOrder.indexOf(reason);
    const sorted = [...refusals].sort((left, right) =>
        rank(left) - rank(right) || (left.retryAfterMs ?? 0) - (right.retryAfterMs ?? 0)
    );
    return sorted[0] ?? NoLenderRefusal;
}
