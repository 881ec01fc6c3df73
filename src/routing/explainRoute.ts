/** Explains the routing of a request: which rules were tried, which one applies, and which upstream would be chosen. */
import { matchesSelector, type Selector } from "../base/labels.js";
import { type ResultCodeName, ResultCodes } from "../base/resultCodes.js";
import { scoreOf, type UpstreamCandidate } from "../features/admission/chooseUpstream.js";
import type { ConfigResources } from "../features/config/configTypes.js";
import type { UpstreamStatus } from "../features/upstream/upstreamBoard.js";
import { offersRequestedTarget, planRoute, ruleMismatch } from "./planRoute.js";
import type { RoutePlan, RouteQuery } from "./routePlan.js";
import { routingIndexOf } from "./routingIndex.js";

/** A routing rule that was tried. */
export interface ExplainedRule {
    readonly rule: string;
    readonly order: number;
    /** Why it does not apply; absent for the rule that applies. */
    readonly mismatch?: string;
}

/** An upstream and its role in the route. */
export interface ExplainedUpstream {
    readonly upstream: string;
    readonly role: "candidate" | "fallback" | "none";
    /** Why it cannot get the request, or how its score is calculated. */
    readonly reason: string;
    /** Lower is better; absent if it cannot get the request. */
    readonly score?: number;
}

/** The explanation of the routing of one request. */
export interface RouteExplanation {
    /** Rules in the order in which they were tried, up to the one that applies. */
    readonly rules: readonly ExplainedRule[];
    /** Names of the budgets that match the team, sorted; the first one pays. */
    readonly budgets: readonly string[];
    /** All upstreams, sorted by name; empty if the request is refused. */
    readonly upstreams: readonly ExplainedUpstream[];
    /** The plan, unless the request is refused. */
    readonly plan?: RoutePlan;
    /** Code of the refusal, if the request is refused. */
    readonly refusal?: ResultCodeName;
    /** Upstream with the best score. The router compares two random ones and may choose another. */
    readonly upstream?: string;
}

/**
 * Explains how a request is routed.
 * @param resources Configuration in force.
 * @param query What is known of the request.
 * @param statuses Load and health by upstream name, from a router; an upstream without an entry counts as idle and usable.
 */
export function explainRoute(
    resources: ConfigResources,
    query: RouteQuery,
    statuses: ReadonlyMap<string, Partial<UpstreamStatus>> = new Map(),
): RouteExplanation {
    const planned = planRoute(resources, query);
    const team = resources.teams.get(query.team);
    const budgets = team === undefined ? [] : routingIndexOf(resources).findBudgetNamesForTeam(query.team, team);
    const rules = explainRules(resources, query);
    if (planned.isErr) {
        return { rules, budgets, upstreams: [], refusal: planned.error };
    }
    const plan = planned.value;
    const upstreams = [...resources.upstreams.keys()].sort().map(name =>
        explainUpstream(resources, query, plan, name, statuses.get(name) ?? {})
    );
    const best = findBest(upstreams, "candidate") ?? findBest(upstreams, "fallback");
    return { rules, budgets, upstreams, plan, ...(best === undefined ? {} : { upstream: best.upstream }) };
}

/** @returns The explanation as text with one line for each rule, figure and upstream. */
export function formatExplanation(explanation: RouteExplanation): string {
    const { rules, budgets, plan, refusal, upstreams, upstream } = explanation;
    const lines = rules.map(({ rule, order, mismatch }) =>
        `rule ${rule} (order ${order}): ${mismatch === undefined ? "applies" : `skipped, ${mismatch}`}`
    );
    if (refusal !== undefined) {
        lines.push(`refused: ${refusal} (${ResultCodes[refusal].code}), ${ResultCodes[refusal].message}`);
    }
    if (plan !== undefined) {
        const kind = plan.requestKind === "" ? "no request kind" : `kind ${plan.requestKind}`;
        const length = plan.long ? "long" : "short";
        lines.push(
            `${kind}: class ${plan.workClass}, ${length}, ${plan.repeatable ? "repeatable" : "at most once"}`,
            `budget ${plan.budget}: reserves ${plan.costTokens} tokens${formatOtherBudgets(budgets)}`,
        );
        if (plan.grant !== undefined) {
            lines.push(`grant ${plan.grant}: urgent if a use is left`);
        }
        for (const entry of upstreams.filter(one => one.role !== "none" || one.reason !== NotSelectedReason)) {
            lines.push(`${entry.role === "none" ? "upstream" : entry.role} ${entry.upstream}: ${entry.reason}`);
        }
        lines.push(upstream === undefined ? "no usable upstream" : `would go to ${upstream}`);
    }
    return lines.join("\n");
}

const NotSelectedReason = "not selected by the rule";

function explainRules(resources: ConfigResources, query: RouteQuery): ExplainedRule[] {
    const team = resources.teams.get(query.team);
    const explained: ExplainedRule[] = [];
    for (const { name, rule } of routingIndexOf(resources).rules) {
        const mismatch = team === undefined || !matchesSelector(rule.teams, team.labels) ?
            "the labels of the team do not match" :
            ruleMismatch(resources, rule, query);
        explained.push({ rule: name, order: rule.order, ...(mismatch === undefined ? {} : { mismatch }) });
        if (mismatch === undefined) {
            break;
        }
    }
    return explained;
}

function explainUpstream(
    resources: ConfigResources,
    query: RouteQuery,
    plan: RoutePlan,
    name: string,
    status: Partial<UpstreamStatus>,
): ExplainedUpstream {
    const resource = resources.upstreams.get(name)!;
    const role = plan.candidates.includes(name) ? "candidate" : plan.fallbacks.includes(name) ? "fallback" : "none";
    if (role === "none") {
        const rule = resources.rules.get(plan.rule)!;
        const selected = isSelectedBy(rule.upstreams, resource.labels) ||
            isSelectedBy(rule.fallbackUpstreams, resource.labels);
        const reason = selected && !offersRequestedTarget(resource, query) ?
            "does not offer what is asked for" :
            NotSelectedReason;
        return { upstream: name, role, reason };
    }
    const weight = plan.weights[name] ?? 1;
    if (weight === 0 || status.leaving === true || status.usable === false) {
        const reason = weight === 0 ? "has weight 0" : status.leaving === true ? "is leaving" : "is ejected";
        return { upstream: name, role, reason };
    }
    const choice: UpstreamCandidate = {
        name,
        slots: resource.slots,
        ownInFlight: status.inFlight ?? 0,
        otherLoad: status.otherLoad ?? 0,
        slownessFactor: status.slownessFactor ?? 1,
        weight,
    };
    const score = scoreOf(choice);
    const reason =
        `score ${
            score.toFixed(3)
        } = (${choice.ownInFlight} own + ${choice.otherLoad} others + 1) / ${choice.slots} slots` +
        ` x slowness ${choice.slownessFactor} / weight ${weight}`;
    return { upstream: name, role, reason, score };
}

function isSelectedBy(selector: Selector | undefined, labels: Record<string, string>): boolean {
    return selector !== undefined && matchesSelector(selector, labels);
}

function findBest(
    upstreams: readonly ExplainedUpstream[],
    role: ExplainedUpstream["role"],
): ExplainedUpstream | undefined {
    return upstreams
        .filter(entry => entry.role === role && entry.score !== undefined)
        .sort((a, b) => a.score! - b.score!)[0];
}

function formatOtherBudgets(budgets: readonly string[]): string {
    return budgets.length > 1 ? ` (lowest name of ${budgets.join(", ")})` : "";
}
