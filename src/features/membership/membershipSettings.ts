/** Settings of the membership feature. */
import { z } from "zod";

/** Settings of the membership feature. The router fills in its addresses when its listeners are open. */
export const MembershipSettingsSchema = z.strictObject({
    /** Availability zone of this host; its region is the part before the last hyphen. */
    zone: z.string().default(""),
    /** `IP:port` at which peers reach this host. */
    peerAddress: z.string().default(""),
    /** `IP:port` of the operator listener. */
    operatorAddress: z.string().default(""),
    /** Time between two regular digest exchanges of this host. */
    exchangeIntervalMs: z.number().int().positive().default(1_000),
    /** Maximum wait for the reply to a digest. */
    exchangeTimeoutMs: z.number().int().positive().default(800),
    /** Number of successors on the ring that a host exchanges digests with and watches for silence. */
    successorCount: z.number().int().positive().default(6),
    /** Every n-th regular exchange goes to a random host instead of a successor; this is n. */
    randomExchangePeriod: z.number().int().positive().default(4),
    /** Silence after which a successor is suspected. Each is asked once in 8 s by default, and again after a failure. */
    suspectAfterMs: z.number().int().positive().default(10_000),
    /** After a pause of this process that is longer than this, the silence of its successors is measured anew. */
    pauseToleranceMs: z.number().int().positive().default(2_000),
    /** Age from which the loads that a peer reported no longer count. */
    loadAgeLimitMs: z.number().int().positive().default(10_000),
    /** Silence after which ended hosts that are not on the host list are forgotten. */
    forgetAfterMs: z.number().int().positive().default(600_000),
});
/** Validated settings of the membership feature. */
export type MembershipSettings = z.infer<typeof MembershipSettingsSchema>;
