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
    exchangeIntervalMs: z.number().int().positive().default(1_000),
    exchangeTimeoutMs: z.number().int().positive().default(800),
    /** Number of ring successors that a host exchanges digests with and watches. */
    successorCount: z.number().int().positive().default(6),
    /** One exchange in this many goes to a random host. */
    randomExchangePeriod: z.number().int().positive().default(4),
    /** Silence after which a successor is suspected; each is asked once in 8 s, and again after a failure. */
    suspectAfterMs: z.number().int().positive().default(10_000),
    /** A pause of this process that is longer than this restarts the watch over its successors. */
    pauseToleranceMs: z.number().int().positive().default(2_000),
    /** Time after which the loads that a peer reported are no longer counted. */
    loadAgeLimitMs: z.number().int().positive().default(10_000),
    /** Time for which ended hosts are remembered after they left the host list. */
    forgetAfterMs: z.number().int().positive().default(600_000),
});
export type MembershipSettings = z.infer<typeof MembershipSettingsSchema>;
