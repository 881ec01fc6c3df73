/**
 * The record of what a host may spend, in an object that this host alone writes. It bounds spending more closely than the
 * ledgers do, and costs one call without conflicts.
 */
import { z } from "zod";

const TokensSchema = z.number().int().nonnegative();

/** Bound of one team, with the tokens that are known to be spent. */
export const RecordedBoundSchema = z.object({
    /** Tokens that the host may spend while the record is new; see `spendingBound.ts`. */
    limitTokens: TokensSchema,
    /** Tokens per second by which the limit rises once the record is old. */
    releaseTokensPerS: TokensSchema,
    /** Tokens by which the limit rises in addition, soon after that. Entries of earlier releases have none. */
    burstTokens: TokensSchema.default(0),
    /** Tokens that finished requests have cost so far. */
    settledTokens: TokensSchema,
});

export type RecordedBound = z.infer<typeof RecordedBoundSchema>;

/** When and as which write of its process a record was made; the ledger dates its entries in the same way. */
export const WriteTimestampSchema = z.object({
    incarnation: z.string(),
    /** Number of the write within the life of the process, over the ledger and the record. */
    sequence: z.number().int().nonnegative(),
    /** Wall-clock time by the host's own clock, in milliseconds. */
    writtenAtMs: z.number(),
    /** The machine's steady clock, in milliseconds. */
    writtenSteadyMs: z.number(),
});
export type WriteTimestamp = z.infer<typeof WriteTimestampSchema>;

export const SpendingRecordSchema = WriteTimestampSchema.extend({ teams: z.record(z.string(), RecordedBoundSchema) });
export type SpendingRecord = z.infer<typeof SpendingRecordSchema>;

/** The stored object. */
export const HostBudgetStateSchema = z.object({
    /** Process that writes. A successor takes the object over first, so that no write of its predecessor follows. */
    owner: z.string(),
    /** Teams in whose ledgers the host may have a share; written before the share, so that a successor closes all. */
    ledgers: z.array(z.string()).default([]),
    /** Newest record of a process that had shares. */
    record: SpendingRecordSchema.optional(),
});
export type HostBudgetState = z.infer<typeof HostBudgetStateSchema>;
