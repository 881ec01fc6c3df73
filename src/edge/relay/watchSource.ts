/**
 * Selects the hosts that watch the store for their zone. Every call to the store is charged for, and every watch ends at each
 * change, so in a large fleet in which every host watches the store itself, watches would be the largest cost.
 */
import { rendezvousOrder } from "../../base/hashing.js";

/** Minimum number of hosts of a fleet in which zones have watchers; in a smaller fleet every host watches the store. */
const MinLargeFleetHosts = 17;

/** Number of watchers in a zone: when one fails or is disconnected, the other continues. */
const WatchersPerZone = 2;

/** Number of hosts of the own zone that are asked to call the store before all others. */
const NearHelpers = 2;

/** Id and availability zone of a host. */
export interface HostLocation {
    readonly hostId: string;
    readonly zone: string;
}

/** Where a host sends its watches. */
export type WatchSource<T> =
    /** To the store: the fleet has no watchers. */
    | { readonly kind: "everyHostWatches"; }
    /** To the store: this host watches for its zone. */
    | { readonly kind: "watchForZone"; }
    /** To these hosts, in order. */
    | { readonly kind: "askWatchers"; readonly hosts: readonly T[]; };

/**
 * Orders the hosts that a host asks to call the store for it. Each host has another order, which spreads the calls; with two of
 * the own zone in front, as traffic between zones is charged, and then all, as a whole zone may be cut off.
 * @returns Their addresses.
 */
export function orderStoreHelpers<T extends HostLocation & { readonly peerAddress: string; }>(
    others: readonly T[],
    own: HostLocation,
): readonly string[] {
    const byId = new Map(others.map(host => [host.hostId, host]));
    const ordered = rendezvousOrder(`store ${own.hostId}`, [...byId.keys()]).map(id => byId.get(id)!);
    const first = ordered.filter(({ zone }) => zone === own.zone).slice(0, NearHelpers);
    return [...first, ...ordered.filter(host => !first.includes(host))].map(({ peerAddress }) => peerAddress);
}

/**
 * Selects where a host sends its watches. Hosts that know the same fleet select the same watchers.
 * @param hosts All hosts of the fleet, including this host.
 * @param own This host.
 */
export function selectWatchSource<T extends HostLocation>(hosts: readonly T[], own: HostLocation): WatchSource<T> {
    if (hosts.length < MinLargeFleetHosts) {
        return { kind: "everyHostWatches" };
    }
    const zoneHosts = new Map(hosts.filter(({ zone }) => zone === own.zone).map(host => [host.hostId, host]));
    const watchers = rendezvousOrder("watchers", [...zoneHosts.keys()]).slice(0, WatchersPerZone);
    if (watchers.includes(own.hostId)) {
        return { kind: "watchForZone" };
    }
    // The order differs by host, so that the other hosts of a zone are spread over its watchers.
    return { kind: "askWatchers", hosts: rendezvousOrder(own.hostId, watchers).map(id => zoneHosts.get(id)!) };
}
