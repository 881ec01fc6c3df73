/** How a request is to be served: the result of classifying it against the configuration in force. */
import type { WorkClass } from "../features/config/configTypes.js";

/** What is known of a request before it is classified. */
export interface RouteQuery {
    readonly team: string;
    /** Set for model requests. */
    readonly model: string | undefined;
    /** Set for calls to plain services. */
    readonly service: string | undefined;
    readonly method: string;
    /** Value of `X-Request-Kind`. */
    readonly requestKind: string | undefined;
    /** Value of `X-Priority-Grant`. */
    readonly grant: string | undefined;
    /** UTF-8 bytes of all message contents, and the number of messages. */
    readonly promptBytes: number;
    readonly messageCount: number;
    /** `max_tokens` as the caller sent it. */
    readonly maxOutputTokens: number | undefined;
    /** Start of the prompt, for prefix affinity. */
    readonly promptPrefix: string | undefined;
}

/** How a request is to be served. */
export interface RoutePlan {
    readonly rule: string;
    readonly requestKind: string;
    readonly workClass: WorkClass;
    readonly long: boolean;
    readonly repeatable: boolean;
    /** Budget that pays. */
    readonly budget: string;
    /** Name of the claimed grant, when the team holds it; the request is urgent if one use can be reserved. */
    readonly grant: string | undefined;
    /** Names of the upstreams that the rule allows, then those that it allows as a fallback. */
    readonly candidates: readonly string[];
    readonly fallbacks: readonly string[];
    /** Weight by upstream name; 1 when absent. */
    readonly weights: Readonly<Record<string, number>>;
    readonly maxInFlightPerUpstream: number | undefined;
    /** Hash of the prompt prefix, for cache affinity. */
    readonly prefixKey: string | undefined;
    /** Upper bounds that make up the reservation. */
    readonly promptTokens: number;
    readonly maxOutputTokens: number;
    /** Tokens to reserve: `promptTokens + maxOutputTokens`, or the price of a service call. */
    readonly costTokens: number;
    readonly deadlineMs: number;
}
