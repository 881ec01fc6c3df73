/** Builds the input of an attempt from the request of a caller. */
import type { Route } from "../edgeTypes.js";
import type { HeaderCodec } from "../protocolCodec.js";
import type { Upstream } from "../upstream/upstream.js";
import type { AttemptInput } from "./attempt.js";
import type { EdgeRequest } from "./flowTypes.js";
import { serialiseRequest } from "./serialiseRequest.js";

/**
 * Maximum idle time of a pooled connection that is reused, in milliseconds. It is shorter for requests that may not be
 * repeated, as an idle connection may be closed by the upstream while the request is sent.
 */
const NonIdempotentMaxIdleMs = 1_500;
const IdempotentMaxIdleMs = 4_000;

/**
 * Time without a byte after which an attempt is silent, as a multiple of the route's latency objective, and its lower bound
 * in milliseconds.
 */
const SilenceObjectives = 3;
const MinSilenceMs = 250;

/** State of the request when it is sent. */
export interface SendState {
    readonly upstream: Upstream;
    /** Prompt tokens that the upstream has to read; 0 when unknown. */
    readonly prefillTokens: number;
    /** Whether the request may run more than once. */
    readonly isRepeatable: boolean;
    /** Time until the deadline, in milliseconds. */
    readonly remainingMs: number;
    /** Id of the last event relayed, if the stream continues at another upstream. */
    readonly resumeAfterEventId: string | undefined;
}

/** @returns The input of an attempt to send the request to an upstream. */
export function createAttemptInput(
    codec: HeaderCodec,
    request: EdgeRequest,
    { upstream, prefillTokens, isRepeatable, remainingMs, resumeAfterEventId }: SendState,
): AttemptInput {
    const { method, target, headers, body, team, route, requestId } = request;
    const encoded = codec.encodeUpstreamHeaders(headers, {
        upstreamId: upstream.entry.id,
        team: team?.name,
        remainingMs: Math.max(1, Math.floor(remainingMs)),
        enginePriority: route.isGeneration ? team?.priority ?? route.priority : undefined,
        resumeAfterEventId,
    });
    return {
        upstream,
        request: serialiseRequest(method, target, encoded, body),
        requestId,
        prefillTokens,
        maxIdleMs: isRepeatable ? IdempotentMaxIdleMs : NonIdempotentMaxIdleMs,
        silentAfterMs: silentAfterMs(route),
        isSilenceReported: isRepeatable,
    };
}

/** @returns Time without a byte after which an attempt to serve a request of the route is silent, in milliseconds. */
export function silentAfterMs({ objectiveMs }: Route): number {
    return Math.max(MinSilenceMs, objectiveMs * SilenceObjectives);
}
