/** Choice of an upstream among those that may get a request. */
import { rendezvousOrder } from "../../base/hashing.js";
import type { Random } from "../../base/random.js";

/** An upstream that may get a request. */
export interface UpstreamCandidate {
    readonly name: string;
    readonly slots: number;
    /** Own requests in flight. */
    readonly ownInFlight: number;
    /** Estimated requests of everybody else, weighted by how much the estimate says about now. */
    readonly otherLoad: number;
    readonly slownessFactor: number;
    /** Weight by the rule; larger gets more. */
    readonly weight: number;
}

/** Settings of {@link chooseUpstream}. */
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
 * Chooses an upstream: the one that has the prefix cached if its load permits, otherwise the best of a few random ones.
 * Random choices keep hosts with the same late figures from sending everything to the same upstream.
 * @param choices At least one upstream.
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
    const rest = [...choices];
    let best: UpstreamCandidate | undefined;
    for (let draw = 0; draw < settings.randomChoices && rest.length > 0; draw++) {
        const drawn = rest.splice(drawIndex(rest, random), 1)[0]!;
        if (best === undefined || scoreOf(drawn) < scoreOf(best)) {
            best = drawn;
        }
    }
    return best!;
}

/** @returns The first upstream in rendezvous order within the load bound, if it is one of the first two. */
function preferredByPrefix(
    choices: readonly UpstreamCandidate[],
    prefixKey: string,
    bound: number,
): UpstreamCandidate | undefined {
    const usual = choices.filter(choice => choice.slownessFactor <= 1);
    if (usual.length === 0) {
        return undefined;
    }
    const total = usual.reduce((sum, choice) => sum + choice.ownInFlight + choice.otherLoad, 0);
    const byName = new Map(usual.map(choice => [choice.name, choice]));
    for (const name of rendezvousOrder(prefixKey, [...byName.keys()]).slice(0, 2)) {
        const choice = byName.get(name)!;
        // The bound includes the new request; an idle upstream always accepts it, a full one never.
        const load = choice.ownInFlight + choice.otherLoad + 1;
        if (load <= Math.max(1, bound * (total + 1) / usual.length) && load <= choice.slots) {
            return choice;
        }
    }
    return undefined;
}

function drawIndex(choices: readonly UpstreamCandidate[], random: Random): number {
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
