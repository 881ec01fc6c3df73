/** Chooses the upstream with the fewest open requests, first among those that have the prompt cached. */
import { rendezvousOrder } from "../../base/hashing.js";
import type { Random } from "../../base/random.js";
import { affinityKey, type ChoiceInput, ChoiceStrategy, selectCompared } from "./choiceStrategy.js";
import type { Upstream } from "./upstream.js";

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

/** Prompt tokens that count as much as one open request; an engine reads them in about 100 ms. */
const TokensPerRequest = 5_000;

/** @returns Load of an upstream as a number of open requests; unread prompt tokens count by {@link TokensPerRequest}. */
function loadOf(upstream: Upstream, input: ChoiceInput): number {
    const others = input.peerLoad(upstream);
    const waitingTokens = upstream.waitingPrefillTokens + others.waitingPrefillTokens;
    return upstream.openRequestCount + others.openRequestCount + waitingTokens / TokensPerRequest;
}

/** Compares the numbers of requests and waiting prompt tokens, and keeps short prompts away from a fixed part of the upstreams. */
export class LeastLoadedStrategy extends ChoiceStrategy {
    override choose(available: readonly Upstream[], input: ChoiceInput, random: Random): Upstream {
        const longPromptIds = selectLongPromptUpstreams(input);
        if (input.promptTokens < LongPromptTokens) {
            return chooseLeastLoaded(available, input, random, longPromptIds);
        }
        const long = available.filter(({ entry }) => longPromptIds.has(entry.id));
        const candidates = long.length > 0 ? long : available;
        return choosePreferredByPrompt(candidates, input) ?? chooseLeastLoaded(candidates, input, random, new Set());
    }
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

function chooseLeastLoaded(
    candidates: readonly Upstream[],
    input: ChoiceInput,
    random: Random,
    longPromptIds: ReadonlySet<string>,
): Upstream {
    const otherZonePenalty = input.isGeneration ? OtherZonePenalty.generation : OtherZonePenalty.plain;
    const compared = selectCompared(candidates, input.hostCount, random);
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
