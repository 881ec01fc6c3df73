/** Computes the bills of requests: the usage that the upstream reported, else what was delivered, capped by the reservation. */
import type { ExecutionState } from "../base/resultCodes.js";
import { type BillDraft, grantBudgetName } from "../features/budget/budgetTypes.js";
import type { RoutePlan } from "../routing/routePlan.js";
import type { Attempt } from "./attempt.js";
import type { CallerRequest } from "./gatewayTypes.js";

/** A finished request, as its bills need it. */
export interface FinishedRequest {
    readonly request: CallerRequest;
    readonly plan: RoutePlan;
    /** Id of the idempotency claim; it identifies the bill of a request with a key. */
    readonly claimId: string | undefined;
    /** `cut`: the response was not delivered completely. */
    readonly outcome: "complete" | "cut";
    /** Whether an upstream ran the request. */
    readonly ran: ExecutionState;
    /** The attempt whose response was delivered, if any. */
    readonly attempt: Attempt | undefined;
}

interface Charge {
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly tokens: number;
}

/** @returns The bill of a request that ran or may have run. */
export function createRequestBill(finished: FinishedRequest): BillDraft {
    const charge = finished.request.responseKind === "service" ?
        computeServiceCharge(finished) :
        computeChatCharge(finished);
    const tokens = Math.min(charge.tokens, finished.plan.costTokens);
    return createBill(finished, finished.plan.budget, finished.claimId ?? finished.request.requestId, {
        ...charge,
        tokens,
    });
}

/** @returns The bill of one use of the claimed grant. */
export function createGrantBill(finished: FinishedRequest): BillDraft {
    const billId = `${finished.claimId ?? finished.request.requestId}/grant`;
    const charge = { promptTokens: 0, outputTokens: 0, tokens: 1 };
    return createBill(finished, grantBudgetName(finished.plan.grant ?? ""), billId, charge);
}

/** A call without a response is not charged, because the caller received nothing. */
function computeServiceCharge({ plan, ran }: FinishedRequest): Charge {
    return { promptTokens: 0, outputTokens: 0, tokens: ran === "yes" ? plan.costTokens : 0 };
}

function computeChatCharge({ request, plan, outcome, attempt }: FinishedRequest): Charge {
    if (attempt === undefined || outcome === "cut" && attempt.reader.contentChunks === 0) {
        return { promptTokens: 0, outputTokens: 0, tokens: 0 };
    }
    const { usage, outputTokens } = attempt.reader;
    const promptTokens = usage?.promptTokens ?? plan.promptTokens;
    if (usage === undefined && request.responseKind === "chatJson") {
        // Without reported usage, only the reservation bounds the cost of a response that was not streamed.
        return { promptTokens, outputTokens: plan.maxOutputTokens, tokens: plan.costTokens };
    }
    return { promptTokens, outputTokens, tokens: promptTokens + outputTokens };
}

function createBill(finished: FinishedRequest, budget: string, billId: string, charge: Charge): BillDraft {
    const { request, plan, attempt, outcome } = finished;
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
