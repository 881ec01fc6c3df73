/**
 * Choice of the hosts that watch the store for their zone. Every call to the store is priced, and each watch ends with each
 * change, so a large fleet in which every host watches for itself spends most on it.
 */
import { rendezvousOrder } from "../../base/hashing.js";

/** Hosts from which a zone has watchers; in a smaller fleet every host watches. */
const LargeFleetHosts = 17;

/** Watchers of a zone: one can be lost or cut off while the other goes on. */
const WatchersPerZone = 2;

/** A host as a watcher. */
export interface HostLocation {
    readonly hostId: string;
    readonly zone: string;
}

/** Where a host's watches go. */
export type WatchSource<T> =
    /** To the store: the fleet has no watchers. */
    | { readonly kind: "watchAll"; }
    /** To the store: this host watches for its zone. */
    | { readonly kind: "watchForZone"; }
    /** To these hosts, in order. */
    | { readonly kind: "ask"; readonly hosts: readonly T[]; };

/** @param hosts All hosts of the fleet, the own one among them. */
export function selectWatchSource<T extends HostLocation>(hosts: readonly T[], own: HostLocation): WatchSource<T> {
    if (hosts.length < LargeFleetHosts) {
        return { kind: "watchAll" };
    }
    const inZone = new Map(hosts.filter(({ zone }) => zone === own.zone).map(host => [host.hostId, host]));
    const watchers = rendezvousOrder("watchers", [...inZone.keys()]).slice(0, WatchersPerZone);
    if (watchers.includes(own.hostId)) {
        return { kind: "watchForZone" };
    }
    // The others of a zone are spread over its watchers.
    return { kind: "ask", hosts: rendezvousOrder(own.hostId, watchers).map(id => inZone.get(id)!) };
}
