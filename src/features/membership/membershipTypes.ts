/** Members, digests and events of the membership feature. */
import { z } from "zod";
import type { HostsOutcome } from "../../platform/platformStore.js";

/** Version of the protocol between routers. */
export const PeerProtocolVersion = 1;

/** State of a host as a digest carries it, about the sender or about another host. */
export const MemberSchema = z.object({
    hostId: z.string(),
    incarnation: z.string(),
    zone: z.string(),
    peerAddress: z.string(),
    operatorAddress: z.string().default(""),
    state: z.enum(["live", "suspect", "leaving", "closed", "sealed"]),
    /** Increases with each digest of the host itself; of two updates the one with the higher heartbeat wins. */
    heartbeat: z.number().int().nonnegative(),
    configVersion: z.number().int().nonnegative(),
});
/** State of a host as a digest carries it. */
export type Member = z.infer<typeof MemberSchema>;

/** Message that two hosts exchange: the state of the sender, its load and updates about other hosts. */
export const DigestSchema = z.object({
    protocolVersion: z.number().int().positive(),
    self: MemberSchema,
    /** Highest configuration version that the sender knows of; may be above the one in force there. */
    floorVersion: z.number().int().nonnegative().optional(),
    /** Requests that the sender has in flight, by upstream name. */
    inFlight: z.record(z.string(), z.number().int().nonnegative()).default({}),
    /** Names of the upstreams that the sender itself has observed to be leaving. */
    leavingUpstreams: z.array(z.string()).default([]),
    /** Ids of hosts that the sender knows from the host list only; the reply carries updates about them. */
    wantedHostIds: z.array(z.string()).optional(),
    /** Updates about other hosts. */
    members: z.array(MemberSchema).default([]),
});
/** Message that two hosts exchange. */
export type Digest = z.infer<typeof DigestSchema>;

/** Events of the membership feature. */
export type MembershipEvent =
    | { readonly type: "hostsListed"; readonly outcome: HostsOutcome; }
    | { readonly type: "digestReceived"; readonly digest: Digest; };
