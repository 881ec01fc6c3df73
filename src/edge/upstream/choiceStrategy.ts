/** Rules by which an upstream is chosen among those that may get a request, and what they share. */
import type { Random } from "../../base/random.js";
import type { Placement } from "../../scheduling/promptPlacement.js";
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
    /** Requests that one engine of the service runs at the same time; `undefined` for services without engines. */
    readonly engineSlots?: number | undefined;
    /** Time within which the first output is due, in milliseconds. */
    readonly objectiveMs?: number | undefined;
    /** Maximum pause between two events of a stream, in milliseconds. */
    readonly pauseObjectiveMs?: number | undefined;
    /** @returns Time between output events of an upstream by the samples of other hosts, in milliseconds; `undefined` when unknown. */
    peerEventTimeMs?(upstream: Upstream): number | undefined;
    /** Called with the reason of a choice by cost. */
    onPlaced?(placement: Placement): void;
}

/** A rule for the choice among upstreams that may get a request. */
export abstract class ChoiceStrategy {
    /**
     * @param available Upstreams that may get the request; at least one.
     * @param random Decides between upstreams of equal cost.
     */
    abstract choose(available: readonly Upstream[], input: ChoiceInput, random: Random): Upstream;
}

/** Minimum number of shared prompt tokens for which an upstream that has them cached is preferred. */
const AffinityMinTokens = 1_000;

/**
 * Number of hosts from which each request compares only some upstreams, their fraction and minimum number. Many hosts that compare all
 * by the same figures, which are some milliseconds old, would send their requests to the same one.
 */
const MinSampledHosts = 17;
const SampleFraction = 0.4;
const MinSampleSize = 4;

/**
 * @returns Key of the longest shared prefix of a prompt, without the last part, which belongs to one request or session;
 * `undefined` if the prefix is too short to matter.
 */
export function affinityKey(parts: readonly PromptPart[]): string | undefined {
    const shared = parts.slice(0, -1);
    const tokens = shared.reduce((sum, part) => sum + part.tokens, 0);
    return tokens < AffinityMinTokens ? undefined : shared.at(-1)?.id;
}

/** @returns The candidates that a request compares: in a large fleet some of them, drawn at random. */
export function selectCompared(
    candidates: readonly Upstream[],
    hostCount: number,
    random: Random,
): readonly Upstream[] {
    return hostCount < MinSampledHosts ? candidates : drawSample(candidates, random);
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
