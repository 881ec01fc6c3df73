/** Bills of requests: reported usage, or what was delivered, capped by the reservation. */
import type { ExecutionState } from "../base/resultCodes.js";
import { type BillDraft, grantBudgetName } from "../features/budget/budgetTypes.js";
import type { RoutePlan } from "../routing/routePlan.js";
import type { Attempt } from "./attempt.js";
import type { CallerRequest } from "./gatewayTypes.js";

/** Facts of a finished request. */
export interface FinishedRequest {
    readonly request: CallerRequest;
    readonly plan: RoutePlan;
    /** Name of the claim; it identifies the bill of a keyed request. */
    readonly claimId: string | undefined;
    readonly outcome: "complete" | "cut";
    readonly ran: ExecutionState;
    /** The attempt whose answer was delivered, if any was. */
    readonly attempt: Attempt | undefined;
}

interface Charge {
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly tokens: number;
}

/** @returns The bill of a request that ran or may have run. */
export function requestBill(facts: FinishedRequest): BillDraft {
    const charge = facts.request.responseKind === "service" ? serviceCharge(facts) : chatCharge(facts);
    const tokens = Math.min(charge.tokens, facts.plan.costTokens);
    return billLine(facts, facts.plan.budget, facts.claimId ?? facts.request.requestId, { ...charge, tokens });
}

/** @returns The bill of one use of the claimed grant. */
export function grantBill(facts: FinishedRequest): BillDraft {
    const billId = `${facts.claimId ?? facts.request.requestId}/grant`;
    const charge = { promptTokens: 0, outputTokens: 0, tokens: 1 };
    return billLine(facts, grantBudgetName(facts.plan.grant ?? ""), billId, charge);
}

/** A call without an answer is not charged: the caller got nothing for it. */
function serviceCharge({ plan, ran }: FinishedRequest): Charge {
    return { promptTokens: 0, outputTokens: 0, tokens: ran === "yes" ? plan.costTokens : 0 };
}

function chatCharge({ request, plan, outcome, attempt }: FinishedRequest): Charge {
    if (attempt === undefined || outcome === "cut" && attempt.reader.contentChunks === 0) {
        return { promptTokens: 0, outputTokens: 0, tokens: 0 };
    }
    const { usage, outputTokens } = attempt.reader;
    const promptTokens = usage?.promptTokens ?? plan.promptTokens;
    if (usage === undefined && request.responseKind === "chatJson") {
        // Without usage nothing but the reservation bounds the cost of an answer that was not streamed.
        return { promptTokens, outputTokens: plan.maxOutputTokens, tokens: plan.costTokens };
    }
    return { promptTokens, outputTokens, tokens: promptTokens + outputTokens };
}

function billLine(facts: FinishedRequest, budget: string, billId: string, charge: Charge): BillDraft {
    const { request, plan, attempt, outcome } = facts;
    return {
        requestId: request.requestId,
        billId,
        team: request.team,
        budget,
        model: request.query.model ?? request.query.service ?? "",
        ...charge,
        requestKind: plan.requestKind,
        upstream: attempt?.upstream ?? "",
        outcome,
    };
}
