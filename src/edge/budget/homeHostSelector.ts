/**
 * Choice of the hosts that hold a team's tokens; the others borrow from them for each request. Tokens that are divided among
 * all hosts are out of reach of the request that needs them, and what each host may spend in an outage adds up to many
 * times what the team needs. All hosts choose the same homes without messages; while their lists of hosts differ, more
 * hosts hold tokens than needed.
 */
import { rendezvousOrder } from "../../base/hashing.js";

/** Hosts that hold a team's tokens: one can be lost or restarted while the other serves. */
const HomeCount = 2;

/** Hosts asked when a home does not answer; they draw tokens for the team then. */
const StandInCount = 1;

/**
 * Hosts among which homes are chosen, in small and large fleets: a host writes one record for all its teams, so that fewer
 * of them write less, and more of them lose less with each.
 */
const HolderCounts = { small: 4, large: 8 } as const;

/** Hosts from which a fleet is large. */
const LargeFleetHosts = 17;

/** A host as a holder of tokens. */
export interface HostLocation {
    readonly hostId: string;
    readonly zone: string;
}

/** Lenders of a team's tokens, in the order in which they are asked. */
export interface Lenders<T> {
    readonly homeHosts: readonly T[];
    /** Asked for each home that does not answer. */
    readonly fallbackHosts: readonly T[];
}

/** Homes of teams among the hosts of a fleet. */
export class HomeHostSelector<T extends HostLocation> {
    readonly #holders: readonly T[];

    /** @param hosts All hosts of the fleet, the own one among them. */
    constructor(hosts: readonly T[]) {
        const count = hosts.length < LargeFleetHosts ? HolderCounts.small : HolderCounts.large;
        this.#holders = acrossZones(hosts).slice(0, count);
    }

    /** @returns Ids of the hosts that hold the team's tokens. */
    homeHostIds(team: string): readonly string[] {
        return this.#order(team).slice(0, HomeCount);
    }

    /**
     * @param own The asking host, which is left out; homes in its zone come first.
     * @returns Hosts to ask.
     */
    lendersOf(team: string, own: HostLocation): Lenders<T> {
        const order = this.#order(team);
        const byId = new Map(this.#holders.map(host => [host.hostId, host]));
        const hosts = order.filter(id => id !== own.hostId).map(id => byId.get(id)!);
        const homes = hosts.filter(({ hostId }) => order.indexOf(hostId) < HomeCount);
        const near = homes.filter(({ zone }) => zone === own.zone);
        const far = homes.filter(({ zone }) => zone !== own.zone);
        return { homeHosts: [...near, ...far], fallbackHosts: hosts.slice(homes.length, homes.length + StandInCount) };
    }

    #order(team: string): string[] {
        return rendezvousOrder(team, this.#holders.map(({ hostId }) => hostId));
    }
}

/** @returns The hosts in an order in which the zones take turns, so that the first ones survive the loss of a zone. */
function acrossZones<T extends HostLocation>(hosts: readonly T[]): T[] {
    const byId = new Map(hosts.map(host => [host.hostId, host]));
    const ranked = rendezvousOrder("holders", [...byId.keys()]).map(id => byId.get(id)!);
    const rankInZone = new Map<T, number>();
    const counts = new Map<string, number>();
    for (const host of ranked) {
        const rank = counts.get(host.zone) ?? 0;
        rankInZone.set(host, rank);
        counts.set(host.zone, rank + 1);
    }
    return ranked.sort((left, right) => rankInZone.get(left)! - rankInZone.get(right)!);
}
