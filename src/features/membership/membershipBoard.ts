/** Board section of the hosts of the fleet. Written by the membership controller only. */
import type { Digest, Member } from "./membershipTypes.js";

/** A member, with the time of its last sign of life as seen by this host. */
export interface KnownMember extends Member {
    /** Monotonic time at which this host last received a higher heartbeat of the member. */
    heardAtMs: number;
}

/** What this host knows of the other hosts and of the upstreams as reported by peers. */
export interface MembershipBoard {
    /** Known hosts without this one, by host id; a newer incarnation replaces an older one. */
    members: Map<string, KnownMember>;
    /** Host keys of incarnations that are suspected to be dead; their records are candidates for sealing. */
    suspects: Set<string>;
    /** Digest of this host as of the last exchange round or urgent change; `undefined` until the first tick. */
    ownDigest: Digest | undefined;
    /** Estimated number of requests in flight through all peers, by upstream name. */
    peerInFlight: Map<string, number>;
    /** Upstreams that a peer reports as leaving. */
    leavingUpstreams: Set<string>;
}

/** @returns The section of a host that knows no other host yet. */
export function createMembershipBoard(): MembershipBoard {
    return {
        members: new Map(),
        suspects: new Set(),
        ownDigest: undefined,
        peerInFlight: new Map(),
        leavingUpstreams: new Set(),
    };
}

/** @returns Ids of the live hosts, the given one included, sorted. */
export function liveHostIds(board: MembershipBoard, ownHostId: string): string[] {
    const others = [...board.members.values()].filter(member => member.state === "live").map(member => member.hostId);
    return [...new Set([ownHostId, ...others])].sort();
}
