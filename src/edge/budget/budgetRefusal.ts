/** Why prepaid tokens are not available, and when a caller should retry; covers exhausted budgets and store outages. */
import { maxUnspentTokensOfOthers, settledTokensOfOthers, type TeamLedger } from "./ledger.js";
import type { RefusalReason } from "./loanMessages.js";

/**
 * Reason why tokens were refused, and when to retry. The reasons are:
 * - `exhausted`: the known spending of all hosts has used up the budget.
 * - `paced`: the store cannot be reached; the release makes tokens available over time.
 * - `heldElsewhere`: another host may be able to serve the request at once.
 * - `fragmented`: the remaining tokens are spread over several hosts until they divide them again.
 * - `atRisk`: killed processes may have spent the tokens, so only a top-up helps.
 */
export interface BudgetRefusal {
    readonly reason: RefusalReason;
    /** Time after which a retry may succeed, in milliseconds; `undefined` when no retry can. */
    readonly retryAfterMs: number | undefined;
    /** Address of the other host that gave the reason, whose log has the token counts; `undefined` for this host. */
    readonly lender?: string | undefined;
}

/** Retry-After when another host may serve the retry, in milliseconds. */
const HeldElsewhereRetryMs = 100;

/** Retry-After until the hosts have divided the remaining tokens again, in milliseconds; they plan once a second. */
const FragmentedRetryMs = 1_500;

/** Retry-After when only a top-up helps, in milliseconds; there are a few top-ups a day. */
const AtRiskRetryMs = 5_000;

/**
 * Retry-After in a store outage when the release does not cover the request within {@link ReleaseHorizonMs}, in
 * milliseconds; shorter than a usual outage.
 */
const OutageRetryMs = 2_500;

/** How far ahead the release in a store outage is searched for a time that covers a request, in milliseconds. */
export const ReleaseHorizonMs = 5_000;

/** Refusal when no lender replies, when a host does not lend, or when it does not know the team's ledger. */
export const NoLenderRefusal: BudgetRefusal = { reason: "heldElsewhere", retryAfterMs: HeldElsewhereRetryMs };

/** Data from which the refusing host determines the reason. */
export interface RefusalInput {
    readonly costTokens: number;
    readonly prepaidTokens: number;
    /** The team's ledger; `undefined` when this host does not know it. */
    readonly ledger: TeamLedger | undefined;
    readonly hostId: string;
    /** Tokens that finished requests have cost from this host's share. */
    readonly settledTokens: number;
    readonly isStoreUnavailable: boolean;
    /**
     * @returns Time until the release of the own record covers the request, in milliseconds; `undefined` when that is more
     * than {@link ReleaseHorizonMs} away.
     */
    releaseWaitMs(): number | undefined;
}

/** @returns A refusal with a reason that holds for the whole fleet if there is one, else with what limits this host. */
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
        { reason: "heldElsewhere", retryAfterMs: HeldElsewhereRetryMs } :
        { reason: "fragmented", retryAfterMs: FragmentedRetryMs };
}

/** Reasons in order of precedence: those that hold for the whole fleet come before those that hold for one host. */
const ReasonPrecedence: readonly RefusalReason[] = ["exhausted", "paced", "atRisk", "fragmented", "heldElsewhere"];

/** @returns The refusal with the highest precedence; of equal reasons, the one with the earlier retry. */
export function selectRefusal(refusals: readonly BudgetRefusal[]): BudgetRefusal {
    const rank = ({ reason }: BudgetRefusal) => ReasonPrecedence.indexOf(reason);
    const sorted = [...refusals].sort((left, right) =>
        rank(left) - rank(right) || (left.retryAfterMs ?? 0) - (right.retryAfterMs ?? 0)
    );
    return sorted[0] ?? NoLenderRefusal;
}
