/** Settings of the journal feature. */
import { z } from "zod";

/** Settings with defaults. */
export const JournalSettingsSchema = z.strictObject({
    /** Interval of record writes; also the heartbeat. */
    writeIntervalMs: z.number().int().positive().default(2_000),
    /** Records that all hosts together write per second; in a large fleet each host writes less often. */
    fleetWritesPerS: z.number().positive().default(80),
    /** Longest interval; well below the time after which a host with an unchanged record may be sealed. */
    longestIntervalMs: z.number().int().positive().default(10_000),
    /** Shortest interval when an admission waits for a higher limit. */
    urgentIntervalMs: z.number().int().positive().default(50),
    /** Mean rate of record bytes; larger records are written less often. */
    recordBytesPerS: z.number().int().positive().default(1_500),
    /** Delay before a failed write is repeated. */
    retryMs: z.number().int().positive().default(200),
    /** Durable bill lines move to a segment when they exceed this size. */
    segmentBytes: z.number().int().positive().default(8_192),
    /** Bill lines per record or segment; the rest follows in the next write. */
    linesPerWrite: z.number().int().positive().default(1_500),
    /** Longest wait for received tokens to be returned before the closing record is written. */
    closingWaitMs: z.number().int().nonnegative().default(5_000),
});
export type JournalSettings = z.infer<typeof JournalSettingsSchema>;
