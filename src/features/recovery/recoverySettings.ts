/** Settings of the recovery feature. */
import { z } from "zod";

/** Settings with defaults. */
export const RecoverySettingsSchema = z.strictObject({
    /** A suspect is sealed when its record does not change for this time by this host's clock. */
    suspicionMs: z.number().int().positive().default(15_000),
    /** Interval of reading the record of a suspect. */
    readIntervalMs: z.number().int().positive().default(5_000),
    /** Hosts that watch and fold a suspect, chosen by rendezvous hash; the others fold only shares that they see. */
    sealerCount: z.number().int().positive().default(3),
    /** Head start of a sealer before the next one. */
    sealerDelayMs: z.number().int().nonnegative().default(3_000),
    /** A sealer looks a second time for shares after this time. */
    searchAgainMs: z.number().int().positive().default(60_000),
    /** Folds in flight. */
    foldConcurrency: z.number().int().positive().default(8),
    /** Delay before a failed call is repeated. */
    retryMs: z.number().int().positive().default(500),
    /** Up to this number of budgets and grants, a sealer looks for the dead host's share in each. */
    searchedBudgetCount: z.number().int().nonnegative().default(64),
    /** Time for which the record of a folded host is remembered. */
    rememberedMs: z.number().int().positive().default(600_000),
});
export type RecoverySettings = z.infer<typeof RecoverySettingsSchema>;
