/**
 * Costs of sending a generation to an upstream, in milliseconds: the time before the caller gets the first output, and the time for which the
 * streams that run there are held up while the prompt is read. Engines read prompts in chunks between the output tokens of other
 * requests, so that a long prompt lengthens the pauses of all streams beside it.
 */

/** Load and properties of one upstream that may get the request. */
export interface PlacementCandidate {
    readonly ownOpenRequestCount: number;
    readonly peerOpenRequestCount: number;
    /** Prompt tokens of requests of all hosts without output yet. */
    readonly waitingPrefillTokens: number;
    /** Requests that the engine runs at the same time. */
    readonly slots: number;
    readonly isInHostZone: boolean;
    /** Probability that the shared parts of the prompt are cached there; 0 unless the upstream is preferred for the prompt. */
    readonly cachedProbability: number;
    /** Time that the upstream needs for its work, relative to the median of its service. */
    readonly relativeTime: number;
}

/** Prompt and objectives of a request. */
export interface PlacementRequest {
    readonly promptTokens: number;
    /** Prompt tokens that other requests share and that upstreams may have cached. */
    readonly sharedTokens: number;
    /** Time within which the first output is due, in milliseconds. */
    readonly objectiveMs: number;
    /** Maximum pause between two events of a stream, in milliseconds. */
    readonly pauseObjectiveMs: number;
}

/** Why an upstream was chosen. */
export type PlacementReason = "affinity" | "leastCost" | "otherZone";

/** A choice that was made by cost. */
export interface Placement {
    readonly reason: PlacementReason;
    /** Prompt tokens that the upstream probably has to read, without the cached ones. */
    readonly prefillTokens: number;
}

/** Prompt tokens that an engine of median speed reads per millisecond; engines read 50 to 90. */
const PrefillTokensPerMs = 60;

/** Mean time for which a request holds a slot, in milliseconds: some hundred output tokens at 5 to 10 ms each. */
const SlotHoldMs = 2_500;

/**
 * Cost of the last free slot of an upstream, in milliseconds; the first ones cost proportionally less. A cost per slot of more than
 * {@link EqualCostMs} would send the requests of many hosts to the one upstream that was idle at the last report.
 */
const OccupancyCostMs = 60;

/**
 * Fraction of the pause objective that waiting prompts may use up without being counted as harm. The rest covers the time of the
 * event itself and prompts that other hosts have sent since their last report.
 */
const PauseAllowance = 0.2;

/** Fraction of the objective for the first output from which each further millisecond counts {@link LateWeight} times more. */
const FirstOutputAllowance = 0.5;
const LateWeight = 3;

/** Cost of an upstream in another zone, in milliseconds; traffic between zones is charged. */
const OtherZoneCostMs = 300;

/**
 * Costs that differ by less than this, in milliseconds, count as equal: load reports are up to 150 ms old, and hosts that all choose
 * the lowest cost would send to the same upstream.
 */
const EqualCostMs = 30;

/** @returns Prompt tokens that the upstream probably has to read, without the cached ones. */
export function expectedPrefillTokens({ cachedProbability }: PlacementCandidate, request: PlacementRequest): number {
    return Math.max(0, Math.round(request.promptTokens - request.sharedTokens * cachedProbability));
}

/** @returns Cost of sending the request to an upstream, in milliseconds. */
export function placementCostMs(candidate: PlacementCandidate, request: PlacementRequest): number {
    const { slots, relativeTime, waitingPrefillTokens } = candidate;
    const openRequestCount = candidate.ownOpenRequestCount + candidate.peerOpenRequestCount;
    const msPerToken = relativeTime / PrefillTokensPerMs;
    const ownReadMs = expectedPrefillTokens(candidate, request) * msPerToken;
    const waitingReadMs = waitingPrefillTokens * msPerToken;
    const queueMs = Math.max(0, openRequestCount + 1 - slots) * SlotHoldMs * relativeTime / slots;
    const firstOutputMs = waitingReadMs + queueMs + ownReadMs;
    const lateMs = Math.max(0, firstOutputMs - request.objectiveMs * FirstOutputAllowance);
    const allowedMs = request.pauseObjectiveMs * PauseAllowance;
    const addedPauseMs = Math.max(0, waitingReadMs + ownReadMs - allowedMs) - Math.max(0, waitingReadMs - allowedMs);
    const harmMs = Math.min(openRequestCount, slots) * addedPauseMs;
    const occupancyMs = OccupancyCostMs * relativeTime * Math.min(1, openRequestCount / slots);
    const zoneMs = candidate.isInHostZone ? 0 : OtherZoneCostMs;
    return firstOutputMs + lateMs * LateWeight + harmMs + occupancyMs + zoneMs;
}

/**
 * Chooses the candidate with the lowest cost.
 * @param nextRandom Returns a number in [0, 1), which decides between candidates of nearly equal cost.
 * @returns The candidate; `undefined` when there is none.
 */
export function choosePlacement<Candidate extends PlacementCandidate>(
    candidates: Iterable<Candidate>,
    request: PlacementRequest,
    nextRandom: () => number,
): Candidate | undefined {
    let best: Candidate | undefined;
    let bestCostMs = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
        const costMs = placementCostMs(candidate, request) + nextRandom() * EqualCostMs;
        if (costMs < bestCostMs) {
            best = candidate;
            bestCostMs = costMs;
        }
    }
    return best;
}

/** @returns Why a candidate was chosen for a request. */
export function placementReason(candidate: PlacementCandidate, request: PlacementRequest): PlacementReason {
    if (candidate.cachedProbability > 0 && request.sharedTokens > 0) {
        return "affinity";
    }
    return candidate.isInHostZone ? "leastCost" : "otherZone";
}
