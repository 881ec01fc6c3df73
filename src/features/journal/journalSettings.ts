/** Settings of the journal feature. */
import { z } from "zod";

/** Settings of the journal, with defaults. */
export const JournalSettingsSchema = z.strictObject({
    /** Interval of record writes, which are also the heartbeat of the host. */
    writeIntervalMs: z.number().int().positive().default(2_000),
    /** Record writes per second of all hosts together; in a large fleet, each host writes less often to stay below it. */
    fleetWritesPerS: z.number().positive().default(80),
    /** Maximum interval; keep it well below the time after which a host with an unchanged record may be sealed. */
    longestIntervalMs: z.number().int().positive().default(10_000),
    /** Minimum interval, used when an admission waits for a higher limit or more bill lines wait than one record holds. */
    urgentIntervalMs: z.number().int().positive().default(50),
    /** Mean rate of record bytes per second; larger records are written less often. */
    recordBytesPerS: z.number().int().positive().default(1_500),
    /** Delay before a failed write is repeated. */
    retryMs: z.number().int().positive().default(200),
    /** Size in bytes above which durable bill lines move to a segment. */
    segmentBytes: z.number().int().positive().default(8_192),
    /** Maximum number of bill lines per record or segment; the remainder follows in the next write. */
    linesPerWrite: z.number().int().positive().default(1_500),
    /** Maximum wait for received tokens to be returned before the closing record is written. */
    closingWaitMs: z.number().int().nonnegative().default(5_000),
});
export type JournalSettings = z.infer<typeof JournalSettingsSchema>;
