/** Hosts of the fleet: digests and events. */
import { z } from "zod";
import type { HostsOutcome } from "../../platform/platformStore.js";

/** Version of the protocol between routers. */
export const PeerProtocolVersion = 1;

/** What one host tells about a host, itself or another. */
export const MemberSchema = z.object({
    hostId: z.string(),
    incarnation: z.string(),
    zone: z.string(),
    peerAddress: z.string(),
    operatorAddress: z.string().default(""),
    state: z.enum(["live", "suspect", "leaving", "closed", "sealed"]),
    /** Grows with each state that the host itself announces; a larger one wins. */
    heartbeat: z.number().int().nonnegative(),
    configVersion: z.number().int().nonnegative(),
});
export type Member = z.infer<typeof MemberSchema>;

/** A digest exchanged between two hosts. */
export const DigestSchema = z.object({
    protocolVersion: z.number().int().positive(),
    self: MemberSchema,
    /** Highest configuration version that the host knows of; may be above the one in force. */
    floorVersion: z.number().int().nonnegative().optional(),
    /** Own requests in flight, by upstream name. */
    inFlight: z.record(z.string(), z.number().int().nonnegative()).default({}),
    /** Upstreams seen leaving, by name. */
    leavingUpstreams: z.array(z.string()).default([]),
    /** Hosts that the sender knows from the platform's list only; the reply describes them. */
    wantedHostIds: z.array(z.string()).optional(),
    /** Changed facts about other hosts. */
    members: z.array(MemberSchema).default([]),
});
export type Digest = z.infer<typeof DigestSchema>;

/** Events of the membership feature. */
export type MembershipEvent =
    | { readonly type: "hostsListed"; readonly outcome: HostsOutcome; }
    | { readonly type: "digestReceived"; readonly digest: Digest; };
