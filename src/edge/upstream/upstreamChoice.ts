/** Chooses the upstream for a request: those that may get it, and the rule by which one of them is chosen. */
import type { Random } from "../../base/random.js";
import { isSlotContended } from "../../scheduling/contention.js";
import type { ChoiceInput } from "./choiceStrategy.js";
import { LeastCostStrategy } from "./leastCostStrategy.js";
import { LeastLoadedStrategy } from "./leastLoadedStrategy.js";
import type { Upstream } from "./upstream.js";

export { affinityKey, type ChoiceInput } from "./choiceStrategy.js";

const leastLoaded = new LeastLoadedStrategy();
const leastCost = new LeastCostStrategy();

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
    const { isGeneration, engineSlots, hostCount } = input;
    const isCostBased = isGeneration && isSlotContended(engineSlots, hostCount);
    return (isCostBased ? leastCost : leastLoaded).choose(available, input, random);
}
