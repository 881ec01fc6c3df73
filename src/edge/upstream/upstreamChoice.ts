/** Choice of the upstream for one request: cached prompt parts first, then the least loaded. */
import { rendezvousOrder } from "../../base/hashing.js";
import type { Random } from "../../base/random.js";
import type { PromptPart } from "../edgeTypes.js";
import type { Upstream } from "./upstream.js";

/** What the choice depends on. */
export interface ChoiceInput {
    readonly candidates: readonly Upstream[];
    readonly promptParts: readonly PromptPart[];
    readonly promptTokens: number;
    /** Upstreams that were tried for this request. */
    readonly excluded: ReadonlySet<string>;
    readonly zone: string;
    readonly isGeneration: boolean;
    readonly nowMs: number;
    /** Load that other hosts put on an upstream, in requests. */
    othersLoad(upstream: Upstream): number;
}

/** Shared prompt tokens from which it pays to go where they are cached. */
const AffinityMinTokens = 1_000;

/** Load relative to the mean up to which the preferred upstream is used. */
const AffinityLoadBound = 1.5;

/** Requests that an upstream in another zone must have less to be chosen; bytes between zones are priced. */
const OtherZonePenalty = { generation: 3, plain: 1 } as const;

/** Prompt tokens that weigh as much as one open request: about 100 ms of reading. */
const TokensPerRequest = 5_000;

/** @returns Load of an upstream in requests. */
export function loadOf(upstream: Upstream, input: ChoiceInput): number {
    return upstream.openCount + upstream.waitingPrefillTokens / TokensPerRequest + input.othersLoad(upstream);
}

/**
 * @param random Decides between upstreams with equal load.
 * @returns The upstream, or `undefined` when no candidate is left.
 */
export function chooseUpstream(input: ChoiceInput, random: Random): Upstream | undefined {
    const untried = input.candidates.filter(({ entry }) => !input.excluded.has(entry.id));
    const sound = untried.filter(upstream => !upstream.health.isAvoided(input.nowMs) && !upstream.isSilent(input.nowMs));
    const open = sound.length > 0 ? sound : untried;
    if (open.length === 0) {
        return undefined;
    }
    return preferredByPrompt(open, input) ?? leastLoaded(open, input, random);
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

function leastLoaded(open: readonly Upstream[], input: ChoiceInput, random: Random): Upstream {
    const penalty = input.isGeneration ? OtherZonePenalty.generation : OtherZonePenalty.plain;
    let best = open[0]!;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const upstream of open) {
        const distance = upstream.entry.zone === input.zone ? 0 : penalty;
        const cost = loadOf(upstream, input) + distance + random.next() / 2;
        if (cost < bestCost) {
            best = upstream;
            bestCost = cost;
        }
    }
    return best;
}
