/** Chooses the upstream by the time that a prompt costs its caller and the streams beside it. */
import { rendezvousOrder } from "../../base/hashing.js";
import type { Random } from "../../base/random.js";
import {
    choosePlacement,
    expectedPrefillTokens,
    type PlacementCandidate,
    placementReason,
    type PlacementRequest,
} from "../../scheduling/promptPlacement.js";
import { relativeTimes } from "../../scheduling/upstreamSpeeds.js";
import { affinityKey, type ChoiceInput, ChoiceStrategy, selectCompared } from "./choiceStrategy.js";
import type { Upstream } from "./upstream.js";

/** Objectives of a request for which the route states none, in milliseconds. */
const DefaultObjectiveMs = 1_000;
const DefaultPauseObjectiveMs = 400;

/** Probabilities that the shared parts of a prompt are cached at the upstreams that are preferred for it, the first choice first. */
const CachedProbabilities = [0.9, 0.6] as const;

/** Mean number of upstreams in a zone from which each zone has preferred ones of its own. */
const MinZoneUpstreams = 4;

interface Candidate extends PlacementCandidate {
    readonly upstream: Upstream;
}

/** Applies the costs of `promptPlacement` to the load that this host knows. */
export class LeastCostStrategy extends ChoiceStrategy {
    override choose(available: readonly Upstream[], input: ChoiceInput, random: Random): Upstream {
        const key = affinityKey(input.promptParts);
        const cachedProbabilities = key === undefined ? new Map<Upstream, number>() : selectPreferred(key, available);
        const compared = new Set([
            ...selectCompared(available, input.hostCount, random),
            ...cachedProbabilities.keys(),
        ]);
        const request: PlacementRequest = {
            promptTokens: input.promptTokens,
            sharedTokens: key === undefined ? 0 : sharedTokensOf(input),
            objectiveMs: input.objectiveMs ?? DefaultObjectiveMs,
            pauseObjectiveMs: input.pauseObjectiveMs ?? DefaultPauseObjectiveMs,
        };
        const eventTimesMs = new Map(available.map(upstream => [upstream, eventTimeMs(upstream, input)]));
        const relativeTimeOf = relativeTimes([...eventTimesMs.values()]);
        const candidates = [...compared].map(upstream =>
            toCandidate(
                upstream,
                input,
                cachedProbabilities.get(upstream) ?? 0,
                relativeTimeOf(eventTimesMs.get(upstream)),
            )
        );
        const chosen = choosePlacement(candidates, request, () => random.next())!;
        input.onPlaced?.({
            reason: placementReason(chosen, request),
            prefillTokens: expectedPrefillTokens(chosen, request),
        });
        return chosen.upstream;
    }
}

/**
 * Each zone has preferred upstreams of its own, as the bytes of a prompt between zones cost more than reading it once more in each zone.
 * @returns The upstreams that get the prompts with a key, the same at all hosts, and the probabilities that these are cached there.
 */
function selectPreferred(key: string, available: readonly Upstream[]): ReadonlyMap<Upstream, number> {
    const isDivided = available.length >= MinZoneUpstreams * new Set(available.map(({ entry }) => entry.zone)).size;
    const byId = new Map(available.map(upstream => [upstream.entry.id, upstream]));
    const preferred = new Map<Upstream, number>();
    const counts = new Map<string, number>();
    for (const id of rendezvousOrder(key, [...byId.keys()])) {
        const upstream = byId.get(id)!;
        const group = isDivided ? upstream.entry.zone : "";
        const rank = counts.get(group) ?? 0;
        counts.set(group, rank + 1);
        if (rank < CachedProbabilities.length) {
            preferred.set(upstream, CachedProbabilities[rank]!);
        }
    }
    return preferred;
}

/** @returns Time between output events of an upstream, by this host's samples, otherwise by those of other hosts. */
function eventTimeMs(upstream: Upstream, input: ChoiceInput): number | undefined {
    return upstream.eventTime.medianMs ?? input.peerEventTimeMs?.(upstream);
}

function sharedTokensOf({ promptParts }: ChoiceInput): number {
    return promptParts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);
}

function toCandidate(
    upstream: Upstream,
    input: ChoiceInput,
    cachedProbability: number,
    relativeTime: number,
): Candidate {
    const others = input.peerLoad(upstream);
    return {
        upstream,
        ownOpenRequestCount: upstream.openRequestCount,
        peerOpenRequestCount: others.openRequestCount,
        waitingPrefillTokens: upstream.waitingPrefillTokens + others.waitingPrefillTokens,
        slots: input.engineSlots ?? upstream.entry.slots,
        isInHostZone: upstream.entry.zone === input.zone,
        cachedProbability,
        relativeTime,
    };
}
