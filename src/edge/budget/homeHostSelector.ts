/**
 * Selects the hosts that hold a team's tokens, its home hosts; the others borrow from them for each request. If the tokens
 * were divided among all hosts, a request could not reach those at other hosts, and what all hosts together may spend in an
 * outage would be many times what the team needs. All hosts select the same home hosts without exchanging messages; while
 * their lists of hosts differ, more hosts hold tokens than needed.
 */
import { rendezvousOrder } from "../../base/hashing.js";

/** Number of hosts that hold a team's tokens: one can fail or restart while the other serves. */
const HomeCount = 2;

/**
 * Number of hosts to ask when a home host does not reply or shuts down; they then draw tokens for the team. Both home hosts may
 * stop at the same time.
 */
const FallbackHostCount = 2;

/**
 * Number of hosts among which home hosts are selected, in small and large fleets. A host writes one record for all its
 * teams, so fewer hosts cause fewer writes; with more hosts, less is lost when one fails.
 */
const HolderCounts = { small: 4, large: 8 } as const;

/** Minimum number of hosts of a large fleet. */
const LargeFleetHosts = 17;

/** Id and availability zone of a host that may hold tokens. */
export interface HostLocation {
    readonly hostId: string;
    readonly zone: string;
}

/** Lenders of a team's tokens, in the order in which they are asked. */
export interface Lenders<T> {
    readonly homeHosts: readonly T[];
    /** One of them is asked for each home host that does not reply. */
    readonly fallbackHosts: readonly T[];
}

/** Selects the home hosts of teams among the hosts of a fleet, by rendezvous hashing. */
export class HomeHostSelector<T extends HostLocation> {
    readonly #holders: readonly T[];

    /** @param hosts All hosts of the fleet, including this one. */
    constructor(hosts: readonly T[]) {
        const count = hosts.length < LargeFleetHosts ? HolderCounts.small : HolderCounts.large;
        this.#holders = interleaveZones(hosts).slice(0, count);
    }

    /** @returns Ids of the hosts that hold the team's tokens. */
    homeHostIds(team: string): readonly string[] {
        return this.#order(team).slice(0, HomeCount);
    }

    /**
     * @param own The borrowing host, which is left out; home hosts in its zone come first.
     * @returns Hosts to ask for tokens.
     */
    lendersOf(team: string, own: HostLocation): Lenders<T> {
        const order = this.#order(team);
        const byId = new Map(this.#holders.map(host => [host.hostId, host]));
        const hosts = order.filter(id => id !== own.hostId).map(id => byId.get(id)!);
        const homes = hosts.filter(({ hostId }) => order.indexOf(hostId) < HomeCount);
        const sameZoneHosts = homes.filter(({ zone }) => zone === own.zone);
        const otherZoneHosts = homes.filter(({ zone }) => zone !== own.zone);
        return {
            homeHosts: [...sameZoneHosts, ...otherZoneHosts],
            fallbackHosts: hosts.slice(homes.length, homes.length + FallbackHostCount),
        };
    }

    #order(team: string): string[] {
        return rendezvousOrder(team, this.#holders.map(({ hostId }) => hostId));
    }
}

/** @returns The hosts ordered with alternating zones, so that the failure of a zone does not affect all of the first ones. */
function interleaveZones<T extends HostLocation>(hosts: readonly T[]): T[] {
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
