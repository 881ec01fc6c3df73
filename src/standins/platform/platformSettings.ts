/** Settings of the platform stand-in. */
import { z } from "zod";

/** Settings with their defaults. */
export const PlatformSettingsSchema = z.strictObject({
    /** Address to listen on. */
    host: z.string().default("127.0.0.1"),
    /** Port of the object API; 0 picks a free one. */
    port: z.number().int().min(0).max(65_535).default(7_100),
    /** Limit of writes per second, for all hosts together. */
    writesPerS: z.number().positive().default(400),
    /** Limit of reads per second, for all hosts together; a watch counts as one read. */
    readsPerS: z.number().positive().default(2_000),
    /** Delay until a change of a host is visible in the host list. */
    hostListLagMs: z.number().nonnegative().default(1_000),
    /** Time without calls after which a host is removed from the host list. */
    hostExpiryMs: z.number().positive().default(20_000),
    /** Maximum wait of a watch. */
    maxWaitMs: z.number().positive().default(60_000),
    /** One-way network delay by zone of the calling host. */
    zoneDelaysMs: z.record(z.string(), z.number().nonnegative()).default({}),
    /** StatsD server for metrics. */
    metrics: z.strictObject({ host: z.string(), port: z.number().int().positive() }).optional(),
});
/** Settings of the platform stand-in with all defaults filled in. */
export type PlatformSettings = z.infer<typeof PlatformSettingsSchema>;
