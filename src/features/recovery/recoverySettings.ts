/** Settings of the recovery feature. */
import { z } from "zod";

/** Settings of recovery, with defaults. */
export const RecoverySettingsSchema = z.strictObject({
    /** A suspect is sealed when its record has not changed for this time, measured by this host's clock. */
    suspicionMs: z.number().int().positive().default(15_000),
    /** Interval at which the record of a suspect is read. */
    readIntervalMs: z.number().int().positive().default(5_000),
    /** Number of hosts that watch and fold a suspect, chosen by rendezvous hash; the others fold only shares that they see. */
    sealerCount: z.number().int().positive().default(3),
    /** Delay of each sealer after the one before it, so that usually only the first one seals. */
    sealerDelayMs: z.number().int().nonnegative().default(3_000),
    /** Time after which a sealer searches for shares a second time. */
    searchAgainMs: z.number().int().positive().default(60_000),
    /** Maximum number of folds in flight. */
    foldConcurrency: z.number().int().positive().default(8),
    /** Delay before a failed call is repeated. */
    retryMs: z.number().int().positive().default(500),
    /** Up to this number of budgets and grants, a sealer searches each for the dead host's share. */
    searchedBudgetCount: z.number().int().nonnegative().default(64),
    /** Time for which the record of a folded host is remembered. */
    rememberedMs: z.number().int().positive().default(600_000),
});
export type RecoverySettings = z.infer<typeof RecoverySettingsSchema>;
