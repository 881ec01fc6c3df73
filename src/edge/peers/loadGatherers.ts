/**
 * Selects the hosts that gather the load reports of their zone in a large fleet. A host that reports to some hosts drawn at random
 * reaches few of them, so each knows only a part of the load; with gatherers all know the sums, and messages and processor time of
 * a host hardly grow with the fleet.
 */
import { groupBy } from "../../base/groupBy.js";
import { hash32, rendezvousOrder } from "../../base/hashing.js";

/** Minimum number of hosts of a fleet with gatherers; in a smaller one every host reports to all others or nearly all. */
const MinLargeFleetHosts = 17;

/** Number of gatherers in a zone: when one fails or is cut off, the other continues. */
const GatherersPerZone = 2;

/** Id, zone and address of a host. */
export interface ReportingHost {
    readonly hostId: string;
    readonly zone: string;
    /** `IP:port` for messages between hosts. */
    readonly peerAddress: string;
}

/** Part of one host in the gathering of load reports. */
export interface GatheringRole {
    /** Gatherers of the own zone without this host, the first one in front. */
    readonly zoneGatherers: readonly string[];
    /** Rank of this host among the gatherers of its zone, 0 for the first; `undefined` for other hosts. */
    readonly rank: number | undefined;
    /** Ids of the hosts of the own zone, whose reports a gatherer adds up. */
    readonly zoneHostIds: ReadonlySet<string>;
    /** Hosts of the zone to which this host, as a gatherer, passes the sum on first, and those to which the other one does. */
    readonly assignedAddresses: readonly string[];
    readonly unassignedAddresses: readonly string[];
    /** Addresses of the gatherers of each other zone, the first one in front. */
    readonly gatherersElsewhere: ReadonlyMap<string, readonly string[]>;
}

/**
 * Determines the part of a host; hosts that know the same fleet agree about the gatherers.
 * @param hosts All hosts of the fleet, including this one.
 * @returns `undefined` in a fleet without gatherers.
 */
export function determineGatheringRole(hosts: readonly ReportingHost[], own: ReportingHost): GatheringRole | undefined {
    if (hosts.length < MinLargeFleetHosts) {
        return undefined;
    }
    const byId = new Map(hosts.map(host => [host.hostId, host]));
    const gatherersOf = (zoneHosts: readonly ReportingHost[]): ReportingHost[] =>
        rendezvousOrder("load", zoneHosts.map(({ hostId }) => hostId)).slice(0, GatherersPerZone).map(id =>
            byId.get(id)!
        );
    const zones = groupBy(hosts, ({ zone }) => zone);
    const zoneHosts = zones.get(own.zone) ?? [];
    const zoneGatherers = gatherersOf(zoneHosts);
    const rank = zoneGatherers.findIndex(({ hostId }) => hostId === own.hostId);
    const receivers = zoneHosts.filter(({ hostId }) => hostId !== own.hostId);
    const isAssigned = (hostId: string): boolean => assignedRank(hostId) === rank;
    const elsewhere = [...zones].filter(([zone]) => zone !== own.zone);
    return {
        zoneGatherers: addressesOf(zoneGatherers.filter(({ hostId }) => hostId !== own.hostId)),
        rank: rank < 0 ? undefined : rank,
        zoneHostIds: new Set(zoneHosts.map(({ hostId }) => hostId)),
        assignedAddresses: addressesOf(receivers.filter(({ hostId }) => isAssigned(hostId))),
        unassignedAddresses: addressesOf(receivers.filter(({ hostId }) => !isAssigned(hostId))),
        gatherersElsewhere: new Map(elsewhere.map(([zone, others]) => [zone, addressesOf(gatherersOf(others))])),
    };
}

/** @returns Rank of the gatherer from which a host gets the sum of the fleet most often. */
function assignedRank(hostId: string): number {
    return hash32(hostId) % GatherersPerZone;
}

function addressesOf(hosts: readonly ReportingHost[]): string[] {
    return hosts.map(({ peerAddress }) => peerAddress);
}
