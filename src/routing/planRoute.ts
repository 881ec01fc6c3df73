/** Plans the routes of requests by the configuration in force. The same resources and query always give the same plan. */
import { Result } from "true-myth";
import { hash32 } from "../base/hashing.js";
import { matchesSelector } from "../base/labels.js";
import type { ResultCodeName } from "../base/resultCodes.js";
import type { ConfigResources, RequestKind, Rule, Upstream } from "../features/config/configTypes.js";
import type { RoutePlan, RouteQuery } from "./routePlan.js";
import { type NamedRule, routingIndexOf } from "./routingIndex.js";

/** Size from which a prompt is predicted to be long work if the request kind does not set the length. */
export const MinLongPromptBytes = 16_384;
/** Number of output tokens from which a request is predicted to be long work if the caller asks for as many. */
export const MinLongOutputTokens = 1_024;
/** Upper bound of the tokens that a chat template adds for each message, and once for the response. */
export const MessageOverheadTokens = 8;

/** Request kind that is used for requests without one. */
const UnnamedKind: RequestKind = { labels: {}, class: "normal", length: "auto", deadlineMs: 30_000 };
/** HTTP methods that are safe, which means that by definition they change nothing. */
const SafeMethods: ReadonlySet<string> = new Set(["GET", "HEAD", "OPTIONS"]);

/** The elements of a plan that are the same for all requests of a team with the same kind and model or service. */
export interface Route {
    readonly rule: NamedRule;
    /** Name of the request kind; empty if the request has none. */
    readonly requestKind: string;
    readonly kind: RequestKind;
    /** Name of the budget that pays. */
    readonly budget: string;
    /** Names of the upstreams that the rule selects, sorted. */
    readonly candidates: readonly string[];
    /** Names of the other upstreams that it allows as fallbacks, sorted. */
    readonly fallbacks: readonly string[];
    /** Maximum of `promptTokensPerByte` over all upstreams that may get the request. */
    readonly promptTokensPerByte: number;
}

/**
 * Plans how a request is served.
 * @param resources Configuration in force. Must not be modified later, because lookups are cached by resources object.
 * @param query What is known of the request.
 * @returns The plan, or the code of the refusal: `UnknownKey`, `UnknownRequestKind`, `UnknownModel`, `UnknownService`,
 * `NoUpstream`, `NoBudget` or `UnknownGrant`.
 */
export function planRoute(resources: ConfigResources, query: RouteQuery): Result<RoutePlan, ResultCodeName> {
    return findRoute(resources, query).andThen(route => {
        if (query.grant !== undefined && !holdsGrant(resources, query, route.kind)) {
            return Result.err("UnknownGrant");
        }
        return Result.ok(completePlan(route, query));
    });
}

/**
 * Finds the rule, budget and upstreams of a request. The results are cached with the configuration.
 * @returns The route, or the code of the refusal.
 */
export function findRoute(resources: ConfigResources, query: RouteQuery): Result<Route, ResultCodeName> {
    const key = JSON.stringify([query.team, query.requestKind, query.model, query.service]);
    const { routeCache } = routingIndexOf(resources);
    return routeCache.getOrCreate(key, () => computeRoute(resources, query)) as Result<Route, ResultCodeName>;
}

/** @returns The models that at least one rule offers to a team, sorted; empty for an unknown team. */
export function listModels(resources: ConfigResources, team: string): string[] {
    const models = new Set([...resources.upstreams.values()].flatMap(upstream => upstream.models));
    return [...models].sort().filter(model => {
        const query = { team, model, service: undefined, requestKind: undefined };
        return offersModel(resources, query);
    });
}

/** @returns Why a rule does not apply to a request, or `undefined` if it applies. The team selector is not checked. */
export function ruleMismatch(
    resources: ConfigResources,
    rule: Rule,
    query: Pick<RouteQuery, "model" | "service" | "requestKind">,
): string | undefined {
    const isRestricted = rule.models.length > 0 || rule.services.length > 0;
    if (query.model !== undefined && isRestricted && !rule.models.includes(query.model)) {
        return `the model ${query.model} is not listed`;
    }
    if (query.service !== undefined && isRestricted && !rule.services.includes(query.service)) {
        return `the service ${query.service} is not listed`;
    }
    const kindName = query.requestKind ?? rule.defaultKind;
    const kind = kindName === undefined ? UnnamedKind : resources.requestKinds.get(kindName);
    if (kind === undefined) {
        return `the request kind ${kindName} does not exist`;
    }
    return matchesSelector(rule.kinds, kind.labels) ? undefined : "the labels of the request kind do not match";
}

/** @returns Whether an upstream offers the model or service of a request. */
export function offersRequestedTarget(upstream: Upstream, query: Pick<RouteQuery, "model" | "service">): boolean {
    return query.model !== undefined ?
        upstream.models.includes(query.model) :
        query.service !== undefined && upstream.service === query.service;
}

function computeRoute(resources: ConfigResources, query: RouteQuery): Result<Route, ResultCodeName> {
    const index = routingIndexOf(resources);
    const team = resources.teams.get(query.team);
    if (team === undefined) {
        return Result.err("UnknownKey");
    }
    if (query.requestKind !== undefined && !resources.requestKinds.has(query.requestKind)) {
        return Result.err("UnknownRequestKind");
    }
    const unknownTargetCode = query.model === undefined ? "UnknownService" : "UnknownModel";
    const rule = index.findRulesForTeam(query.team, team).find(entry =>
        ruleMismatch(resources, entry.rule, query) === undefined
    );
    if (rule === undefined) {
        return Result.err(unknownTargetCode);
    }
    const offers = (name: string): boolean => offersRequestedTarget(resources.upstreams.get(name)!, query);
    const { upstreams, fallbackUpstreams } = rule.rule;
    const candidates = index.findUpstreamNames(upstreams, offers);
    const fallbacks = fallbackUpstreams === undefined ?
        [] :
        index.findUpstreamNames(fallbackUpstreams, name => offers(name) && !candidates.includes(name));
    if (candidates.length + fallbacks.length === 0) {
        return Result.err([...resources.upstreams.keys()].some(offers) ? "NoUpstream" : unknownTargetCode);
    }
    // If several budgets match, the one with the lowest name pays, so that every host charges the same one.
    const budget = index.findBudgetNamesForTeam(query.team, team)[0];
    if (budget === undefined) {
        return Result.err("NoBudget");
    }
    const requestKind = query.requestKind ?? rule.rule.defaultKind ?? "";
    const promptTokensPerByte = Math.max(
        ...[...candidates, ...fallbacks].map(name => resources.upstreams.get(name)!.promptTokensPerByte),
    );
    const kind = resources.requestKinds.get(requestKind) ?? UnnamedKind;
    return Result.ok({ rule, requestKind, kind, budget, candidates, fallbacks, promptTokensPerByte });
}

function completePlan(route: Route, query: RouteQuery): RoutePlan {
    const { rule, kind } = route;
    const isModel = query.model !== undefined;
    const promptTokens = isModel ?
        Math.ceil(query.promptBytes * route.promptTokensPerByte) + (query.messageCount + 1) * MessageOverheadTokens :
        0;
    const maxOutputTokens = isModel ?
        Math.min(query.maxOutputTokens ?? rule.rule.maxOutputTokens, rule.rule.maxOutputTokens) :
        0;
    return {
        rule: rule.name,
        requestKind: route.requestKind,
        workClass: kind.class,
        long: isLong(kind, query),
        repeatable: kind.repeatable ?? (isModel || SafeMethods.has(query.method)),
        budget: route.budget,
        grant: query.grant,
        candidates: route.candidates,
        fallbacks: route.fallbacks,
        weights: rule.rule.weights,
        maxInFlightPerUpstream: rule.rule.maxInFlightPerUpstream,
        prefixKey: query.promptPrefix === undefined || query.promptPrefix === "" ?
            undefined :
            hash32(`${query.model}\n${query.promptPrefix}`).toString(16),
        promptTokens,
        maxOutputTokens,
        costTokens: isModel ? promptTokens + maxOutputTokens : rule.rule.serviceCostTokens,
        deadlineMs: kind.deadlineMs,
    };
}

function isLong(kind: RequestKind, query: RouteQuery): boolean {
    if (kind.length !== "auto") {
        return kind.length === "long";
    }
    // Only a limit set by the caller predicts the length; the limit of the rule is a maximum for all its requests.
    return query.promptBytes >= MinLongPromptBytes || (query.maxOutputTokens ?? 0) >= MinLongOutputTokens;
}

function holdsGrant(resources: ConfigResources, query: RouteQuery, kind: RequestKind): boolean {
    const grant = query.grant === undefined ? undefined : resources.grants.get(query.grant);
    const team = resources.teams.get(query.team);
    return grant !== undefined && team !== undefined &&
        matchesSelector(grant.teams, team.labels) && matchesSelector(grant.kinds, kind.labels);
}

function offersModel(resources: ConfigResources, query: Pick<RouteQuery, "team" | "model" | "service">): boolean {
    const team = resources.teams.get(query.team);
    if (team === undefined) {
        return false;
    }
    const index = routingIndexOf(resources);
    // A rule may apply to some request kinds only, so that a rule counts if it offers the model to any kind.
    return index.findRulesForTeam(query.team, team).some(({ rule }) => {
        if ((rule.models.length > 0 || rule.services.length > 0) && !rule.models.includes(query.model!)) {
            return false;
        }
        const selectors = [rule.upstreams, ...(rule.fallbackUpstreams === undefined ? [] : [rule.fallbackUpstreams])];
        return selectors.some(selector =>
            index.findUpstreamNames(selector, name => offersRequestedTarget(resources.upstreams.get(name)!, query))
                .length > 0
        );
    });
}
