/** Chooses the upstream for a request: first by cached prompt parts, then by load. */
import { rendezvousOrder } from "../../base/hashing.js";
import type { Random } from "../../base/random.js";
import type { PromptPart } from "../edgeTypes.js";
import type { PeerLoad } from "../peers/peerLoadTracker.js";
import type { Upstream } from "./upstream.js";

/** Values on which the choice depends. */
export interface ChoiceInput {
    readonly candidates: readonly Upstream[];
    /** Parts of the prompt in order; the last one is not shared with other requests. */
    readonly promptParts: readonly PromptPart[];
    readonly promptTokens: number;
    /** Upstreams that were already tried for this request. */
    readonly excludedUpstreamIds: ReadonlySet<string>;
    /** Availability zone of the host. */
    readonly zone: string;
    readonly isGeneration: boolean;
    /** Monotonic time, in milliseconds. */
    readonly nowMs: number;
    /** Number of hosts that choose among the upstreams. */
    readonly hostCount: number;
    /** @returns Load that other hosts put on an upstream. */
    peerLoad(upstream: Upstream): PeerLoad;
    /** @returns Whether the limit that an upstream states, if any, allows a request of this host now. */
    isWithinLimit(upstream: Upstream): boolean;
}

/** Minimum number of shared prompt tokens for which an upstream that has them cached is preferred. */
const AffinityMinTokens = 1_000;

/** Maximum load of the preferred upstream, relative to the mean. */
const AffinityLoadBound = 1.5;

/** Prompt tokens from which reading the prompt noticeably delays the output tokens of other requests. */
const LongPromptTokens = 3_000;

/** Fraction of the upstreams to which long prompts are sent. */
const LongPromptUpstreamFraction = 0.75;

/** Number of requests by which an upstream for long prompts must be less loaded than others to get a short prompt. */
const LongPromptUpstreamPenalty = 40;

/** Number of requests by which an upstream in another zone must be less loaded to be chosen; traffic between zones is charged. */
const OtherZonePenalty = { generation: 3, plain: 1 } as const;

/**
 * Number of hosts from which each request compares only some upstreams, their fraction and minimum number. Many hosts that compare all
 * by the same figures, which are some milliseconds old, would send their requests to the same one.
 */
const MinSampledHosts = 17;
const SampleFraction = 0.4;
const MinSampleSize = 4;

/** Prompt tokens that count as much as one open request; an engine reads them in about 100 ms. */
const TokensPerRequest = 5_000;

/** @returns Load of an upstream as a number of open requests; unread prompt tokens count by {@link TokensPerRequest}. */
export function loadOf(upstream: Upstream, input: ChoiceInput): number {
    const others = input.peerLoad(upstream);
    const waitingTokens = upstream.waitingPrefillTokens + others.waitingPrefillTokens;
    return upstream.openRequestCount + others.openRequestCount + waitingTokens / TokensPerRequest;
}

/** @returns Whether requests to the upstream have not failed recently and none waits in vain for bytes. */
export function isHealthy(upstream: Upstream, nowMs: number): boolean {
    return !upstream.health.isAvoided(nowMs) && !upstream.isSilent(nowMs);
}

/**
 * Chooses the upstream for one request. Upstreams that failed recently or are silent are used only if there is no other.
 * Upstreams that asked for a pause, or have reached the limit that they state, are not used.
 * @param random Decides between upstreams with equal load.
 * @returns The upstream, or `undefined` when no candidate is left.
 */
export function chooseUpstream(input: ChoiceInput, random: Random): Upstream | undefined {
    const untried = input.candidates.filter(upstream =>
        !input.excludedUpstreamIds.has(upstream.entry.id) && upstream.remainingBackoffMs(input.nowMs) === 0 &&
        input.isWithinLimit(upstream)
    );
    const healthy = untried.filter(upstream => isHealthy(upstream, input.nowMs));
    const available = healthy.length > 0 ? healthy : untried;
    if (available.length === 0) {
        return undefined;
    }
    const longPromptIds = selectLongPromptUpstreams(input);
    if (input.promptTokens < LongPromptTokens) {
        return chooseLeastLoaded(available, input, random, longPromptIds);
    }
    const long = available.filter(({ entry }) => longPromptIds.has(entry.id));
    const candidates = long.length > 0 ? long : available;
    return choosePreferredByPrompt(candidates, input) ?? chooseLeastLoaded(candidates, input, random, new Set());
}

/**
 * Selects the upstreams for long prompts, so that reading these does not delay the output tokens of short ones. All hosts select
 * the same upstreams without communication.
 */
function selectLongPromptUpstreams(input: ChoiceInput): ReadonlySet<string> {
    const ids = input.candidates.map(({ entry }) => entry.id);
    const count = input.isGeneration && ids.length > 1 ? Math.ceil(ids.length * LongPromptUpstreamFraction) : 0;
    return new Set(rendezvousOrder("long", ids).slice(0, count));
}

/** @returns An upstream that is likely to have the shared prefix of the prompt cached and is not overloaded, if any. */
function choosePreferredByPrompt(candidates: readonly Upstream[], input: ChoiceInput): Upstream | undefined {
    const key = affinityKey(input.promptParts);
    if (!input.isGeneration || key === undefined) {
        return undefined;
    }
    const byId = new Map(candidates.map(upstream => [upstream.entry.id, upstream]));
    const total = candidates.reduce((sum, upstream) => sum + loadOf(upstream, input), 0);
    const bound = Math.max(2, AffinityLoadBound * (total + 1) / candidates.length);
    return rendezvousOrder(key, [...byId.keys()])
        .slice(0, 2)
        .map(id => byId.get(id)!)
        .find(upstream => loadOf(upstream, input) + 1 <= bound);
}

/**
 * @returns Key of the longest shared prefix of a prompt, without the last part, which belongs to one request or session;
 * `undefined` if the prefix is too short to matter.
 */
export function affinityKey(parts: readonly PromptPart[]): string | undefined {
    const shared = parts.slice(0, -1);
    const tokens = shared.reduce((sum, part) => sum + part.tokens, 0);
    return tokens < AffinityMinTokens ? undefined : shared.at(-1)?.id;
}

/** @returns Some of the candidates, drawn at random. */
function drawSample(candidates: readonly Upstream[], random: Random): readonly Upstream[] {
    const size = Math.max(MinSampleSize, Math.ceil(candidates.length * SampleFraction));
    const rest = [...candidates];
    while (rest.length > size) {
        rest.splice(random.integer(rest.length), 1);
    }
    return rest;
}

function chooseLeastLoaded(
    candidates: readonly Upstream[],
    input: ChoiceInput,
    random: Random,
    longPromptIds: ReadonlySet<string>,
): Upstream {
    const otherZonePenalty = input.isGeneration ? OtherZonePenalty.generation : OtherZonePenalty.plain;
    const compared = input.hostCount < MinSampledHosts ? candidates : drawSample(candidates, random);
    let best = compared[0]!;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const upstream of compared) {
        const zonePenalty = upstream.entry.zone === input.zone ? 0 : otherZonePenalty;
        const longPromptPenalty = longPromptIds.has(upstream.entry.id) ? LongPromptUpstreamPenalty : 0;
        const cost = loadOf(upstream, input) + zonePenalty + longPromptPenalty + random.next() / 2;
        if (cost < bestCost) {
            best = upstream;
            bestCost = cost;
        }
    }
    return best;
}
