/** Settings of the config feature. */
import { z } from "zod";

/** Settings of the config feature. */
export const ConfigSettingsSchema = z.strictObject({
    /** Wait before missing versions are pulled; the store's watch usually delivers them within this time. */
    pullDelayMs: z.number().int().nonnegative().default(250),
    /** Maximum wait between two attempts to pull missing versions. */
    pullMaxDelayMs: z.number().int().positive().default(2_000),
    /** Maximum wait for the reply of a peer. */
    peerTimeoutMs: z.number().int().positive().default(1_000),
    /** Interval of the check for a newer version in the store; finds versions that an earlier, stale read did not return. */
    confirmIntervalMs: z.number().int().positive().default(60_000),
    /** Number of other hosts whose version is awaited after the start before the configuration counts as confirmed. */
    confirmingPeers: z.number().int().nonnegative().default(2),
    /** Maximum wait for these hosts, counted from the end of the load from the store. */
    confirmGraceMs: z.number().int().nonnegative().default(5_000),
    /** Number of applied changes kept for peers. */
    keptChanges: z.number().int().positive().default(512),
    /** Maximum total size of the changes kept for peers, in bytes of JSON. */
    keptBytes: z.number().int().positive().default(1_048_576),
});
/** Validated settings of the config feature. */
export type ConfigSettings = z.infer<typeof ConfigSettingsSchema>;
