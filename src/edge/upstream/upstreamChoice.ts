/** Choice of the upstream for one request: cached prompt parts first, then the least loaded. */
import { rendezvousOrder } from "../../base/hashing.js";
import type { Random } from "../../base/random.js";
import type { PromptPart } from "../edgeTypes.js";
import type { PeerLoad } from "../peers/peerLoadTracker.js";
import type { Upstream } from "./upstream.js";

/** What the choice depends on. */
export interface ChoiceInput {
    readonly candidates: readonly Upstream[];
    readonly promptParts: readonly PromptPart[];
    readonly promptTokens: number;
    /** Upstreams that were tried for this request. */
    readonly excludedUpstreamIds: ReadonlySet<string>;
    readonly zone: string;
    readonly isGeneration: boolean;
    readonly nowMs: number;
    /** Load that other hosts put on an upstream. */
    peerLoad(upstream: Upstream): PeerLoad;
}

/** Shared prompt tokens from which it pays to go where they are cached. */
const AffinityMinTokens = 1_000;

/** Load relative to the mean up to which the preferred upstream is used. */
const AffinityLoadBound = 1.5;

/** Prompt tokens that are left to read from which a request delays the tokens of others noticeably. */
const LongPromptTokens = 3_000;

/** Part of the upstreams that long prompts go to. */
const LongPart = 0.75;

/** Requests that an upstream for long prompts must have less to get a short one. */
const LongUpstreamPenalty = 40;

/** Requests that an upstream in another zone must have less to be chosen; bytes between zones are priced. */
const OtherZonePenalty = { generation: 3, plain: 1 } as const;

/** Prompt tokens that weigh as much as one open request: about 100 ms of reading. */
const TokensPerRequest = 5_000;

/** @returns Load of an upstream in requests. */
export function loadOf(upstream: Upstream, input: ChoiceInput): number {
    const others = input.peerLoad(upstream);
    const waitingTokens = upstream.waitingPrefillTokens + others.waitingPrefillTokens;
    return upstream.openRequestCount + others.openRequestCount + waitingTokens / TokensPerRequest;
}

/**
 * @param random Decides between upstreams with equal load.
 * @returns The upstream, or `undefined` when no candidate is left.
 */
export function chooseUpstream(input: ChoiceInput, random: Random): Upstream | undefined {
    const untried = input.candidates.filter(upstream =>
        !input.excludedUpstreamIds.has(upstream.entry.id) && upstream.remainingBackoffMs(input.nowMs) === 0
    );
    const sound = untried.filter(upstream =>
        !upstream.health.isAvoided(input.nowMs) && !upstream.isSilent(input.nowMs)
    );
    const open = sound.length > 0 ? sound : untried;
    if (open.length === 0) {
        return undefined;
    }
    const longIds = longUpstreams(input);
    if (input.promptTokens < LongPromptTokens) {
        return leastLoaded(open, input, random, longIds);
    }
    const long = open.filter(({ entry }) => longIds.has(entry.id));
    const candidates = long.length > 0 ? long : open;
    return preferredByPrompt(candidates, input) ?? leastLoaded(candidates, input, random, new Set());
}

/**
 * Long prompts keep to some of the upstreams, so that the tokens of short ones are not held up by their reading. All hosts
 * choose the same ones without messages.
 */
function longUpstreams(input: ChoiceInput): ReadonlySet<string> {
    const ids = input.candidates.map(({ entry }) => entry.id);
    const count = input.isGeneration && ids.length > 1 ? Math.ceil(ids.length * LongPart) : 0;
    return new Set(rendezvousOrder("long", ids).slice(0, count));
}

function preferredByPrompt(open: readonly Upstream[], input: ChoiceInput): Upstream | undefined {
    const key = affinityKey(input.promptParts);
    if (!input.isGeneration || key === undefined) {
        return undefined;
    }
    const byId = new Map(open.map(upstream => [upstream.entry.id, upstream]));
    const total = open.reduce((sum, upstream) => sum + loadOf(upstream, input), 0);
    const bound = Math.max(2, AffinityLoadBound * (total + 1) / open.length);
    return rendezvousOrder(key, [...byId.keys()])
        .slice(0, 2)
        .map(id => byId.get(id)!)
        .find(upstream => loadOf(upstream, input) + 1 <= bound);
}

/** @returns Key of the longest shared start of a prompt; the last part belongs to the request or its session alone. */
export function affinityKey(parts: readonly PromptPart[]): string | undefined {
    const shared = parts.slice(0, -1);
    const tokens = shared.reduce((sum, part) => sum + part.tokens, 0);
    return tokens < AffinityMinTokens ? undefined : shared.at(-1)?.id;
}

function leastLoaded(
    open: readonly Upstream[],
    input: ChoiceInput,
    random: Random,
    longIds: ReadonlySet<string>,
): Upstream {
    const penalty = input.isGeneration ? OtherZonePenalty.generation : OtherZonePenalty.plain;
    let best = open[0]!;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const upstream of open) {
        const distance = upstream.entry.zone === input.zone ? 0 : penalty;
        const separation = longIds.has(upstream.entry.id) ? LongUpstreamPenalty : 0;
        const cost = loadOf(upstream, input) + distance + separation + random.next() / 2;
        if (cost < bestCost) {
            best = upstream;
            bestCost = cost;
        }
    }
    return best;
}
