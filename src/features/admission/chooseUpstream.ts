/** Chooses an upstream among those that may get a request. */
import { rendezvousOrder } from "../../base/hashing.js";
import type { Random } from "../../base/random.js";

/** An upstream that may get a request. */
export interface UpstreamCandidate {
    readonly name: string;
    readonly slots: number;
    /** Requests of this host in flight. */
    readonly ownInFlight: number;
    /** Estimated requests of other hosts, multiplied by a weight that accounts for the age of the estimate. */
    readonly otherLoad: number;
    /** Slowness relative to the median of upstreams with the same model; 1 is normal. */
    readonly slownessFactor: number;
    /** Weight from the routing rule; a larger one gets more requests. */
    readonly weight: number;
}

/** Settings of {@link chooseUpstream}; a subset of `AdmissionSettings`. */
export interface UpstreamChoiceSettings {
    readonly randomChoices: number;
    readonly prefixAffinity: boolean;
    readonly affinityLoadBound: number;
}

/** @returns Expected relative duration of one more request; lower is better. */
export function scoreOf(choice: UpstreamCandidate): number {
    return (choice.ownInFlight + choice.otherLoad + 1) / choice.slots * choice.slownessFactor / choice.weight;
}

/**
 * Chooses an upstream: the one that probably has the prompt prefix cached if its load permits, otherwise the best of a few
 * random ones. Random choices prevent hosts with the same outdated load reports from all choosing the same upstream.
 * @param choices Upstreams to choose from; at least one.
 * @param prefixKey Key of the prompt prefix; `undefined` without prefix affinity.
 */
export function chooseUpstream(
    choices: readonly UpstreamCandidate[],
    prefixKey: string | undefined,
    random: Random,
    settings: UpstreamChoiceSettings,
): UpstreamCandidate {
    if (prefixKey !== undefined && settings.prefixAffinity && choices.length > 1) {
        const preferred = preferredByPrefix(choices, prefixKey, settings.affinityLoadBound);
        if (preferred !== undefined) {
            return preferred;
        }
    }
    const remaining = [...choices];
    let best: UpstreamCandidate | undefined;
    for (let round = 0; round < settings.randomChoices && remaining.length > 0; round++) {
        const picked = remaining.splice(pickWeightedIndex(remaining, random), 1)[0]!;
        if (best === undefined || scoreOf(picked) < scoreOf(best)) {
            best = picked;
        }
    }
    return best!;
}

/** @returns The first of the top two upstreams in rendezvous order that is within the load bound; slow ones are left out. */
function preferredByPrefix(
    choices: readonly UpstreamCandidate[],
    prefixKey: string,
    bound: number,
): UpstreamCandidate | undefined {
    const notSlowed = choices.filter(choice => choice.slownessFactor <= 1);
    if (notSlowed.length === 0) {
        return undefined;
    }
    const total = notSlowed.reduce((sum, choice) => sum + choice.ownInFlight + choice.otherLoad, 0);
    const byName = new Map(notSlowed.map(choice => [choice.name, choice]));
    for (const name of rendezvousOrder(prefixKey, [...byName.keys()]).slice(0, 2)) {
        const choice = byName.get(name)!;
        // The bound includes the new request: an idle upstream always qualifies, a full one never.
        const load = choice.ownInFlight + choice.otherLoad + 1;
        if (load <= Math.max(1, bound * (total + 1) / notSlowed.length) && load <= choice.slots) {
            return choice;
        }
    }
    return undefined;
}

/** @returns Index of a random upstream; the probability is proportional to weight and speed. */
function pickWeightedIndex(choices: readonly UpstreamCandidate[], random: Random): number {
    const weightOf = (choice: UpstreamCandidate) => choice.weight / choice.slownessFactor;
    let point = random.next() * choices.reduce((sum, choice) => sum + weightOf(choice), 0);
    for (const [index, choice] of choices.entries()) {
        point -= weightOf(choice);
        if (point < 0) {
            return index;
        }
    }
    return choices.length - 1;
}
