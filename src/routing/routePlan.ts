/** Input and result of planning the route of a request. */
import type { WorkClass } from "../features/config/configTypes.js";

/** What is known of a request before its route is planned. */
export interface RouteQuery {
    /** Name of the team that the API key belongs to. */
    readonly team: string;
    /** Name of the model; `undefined` for calls to plain services. */
    readonly model: string | undefined;
    /** Name of the plain service; `undefined` for model requests. */
    readonly service: string | undefined;
    /** HTTP method. */
    readonly method: string;
    /** Value of `X-Request-Kind`. */
    readonly requestKind: string | undefined;
    /** Value of `X-Priority-Grant`. */
    readonly grant: string | undefined;
    /** Size in UTF-8 bytes of everything that an engine may put into the prompt; size of the body for calls to plain services. */
    readonly promptBytes: number;
    /** Number of messages. */
    readonly messageCount: number;
    /** `max_tokens` as the caller sent it, otherwise `max_completion_tokens`; `undefined` without either. */
    readonly maxOutputTokens: number | undefined;
    /** Start of the prompt, for prefix affinity. */
    readonly promptPrefix: string | undefined;
}

/** How a request is served. */
export interface RoutePlan {
    /** Name of the rule that applies. */
    readonly rule: string;
    /** Name of the request kind; empty if the request has none. */
    readonly requestKind: string;
    readonly workClass: WorkClass;
    /** Whether the request is predicted or declared to be long work. */
    readonly long: boolean;
    /** Whether the request may be run more than once. */
    readonly repeatable: boolean;
    /** Name of the budget that pays. */
    readonly budget: string;
    /** Name of the requested priority grant, which the team holds; the request is urgent if one use can be reserved. */
    readonly grant: string | undefined;
    /** Names of the upstreams that the rule selects. */
    readonly candidates: readonly string[];
    /** Names of the other upstreams that it allows if no candidate is usable. */
    readonly fallbacks: readonly string[];
    /** Weight by upstream name; upstreams without an entry have weight 1. */
    readonly weights: Readonly<Record<string, number>>;
    /** Limit of the rule on the requests in flight at one upstream; `undefined` for none. */
    readonly maxInFlightPerUpstream: number | undefined;
    /** Hash of the model and the prompt prefix, for cache affinity; `undefined` without a prefix. */
    readonly prefixKey: string | undefined;
    /** Upper bound of the prompt tokens; 0 for service calls. */
    readonly promptTokens: number;
    /** Maximum number of output tokens; 0 for service calls. */
    readonly maxOutputTokens: number;
    /** Tokens to reserve: `promptTokens + maxOutputTokens`, or the price of a service call. */
    readonly costTokens: number;
    /** Deadline of the request kind, in milliseconds. */
    readonly deadlineMs: number;
}
