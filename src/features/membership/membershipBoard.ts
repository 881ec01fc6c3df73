/** Board section of the fleet's hosts. Written by the membership controller only. */
import type { Digest, Member } from "./membershipTypes.js";

/** A member with what this host observed of it. */
export interface KnownMember extends Member {
    /** Monotonic time at which its heartbeat last grew. */
    heardAtMs: number;
}

/** Known hosts, this one excluded. */
export interface MembershipBoard {
    /** By host id; a newer incarnation replaces an older one. */
    members: Map<string, KnownMember>;
    /** Host keys that are suspected to be dead; candidates for sealing. */
    suspects: Set<string>;
    /** Digest of this host, current as of the last tick. */
    ownDigest: Digest | undefined;
    /** Requests in flight through peers, by upstream name. */
    peerInFlight: Map<string, number>;
    /** Upstreams that a peer reports as leaving. */
    leavingUpstreams: Set<string>;
}

/** @returns The section of a host that knows nobody. */
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
