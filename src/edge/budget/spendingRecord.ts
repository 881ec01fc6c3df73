/**
 * The record of how much a host may spend, in an object that only this host writes. It limits spending more tightly than the
 * ledgers do, and a write takes one store call without conflicts.
 */
import { z } from "zod";

const TokensSchema = z.number().int().nonnegative();

/** Spending bound of one team, with the tokens that are known to be spent; cumulative for the incarnation. */
export const RecordedBoundSchema = z.object({
    /** Tokens that the host may spend while the record is new; see `spendingBound.ts`. */
    limitTokens: TokensSchema,
    /** Tokens per second by which the limit rises once the record is old; see `spendingBound.ts`. */
    releaseTokensPerS: TokensSchema,
    /** Tokens by which the limit rises in addition, soon after that. Entries of earlier releases lack this field. */
    burstTokens: TokensSchema.default(0),
    /** Tokens that finished requests have cost so far. */
    settledTokens: TokensSchema,
});

export type RecordedBound = z.infer<typeof RecordedBoundSchema>;

/** Process, sequence number and times of a write; records and ledger entries both carry one. */
export const WriteTimestampSchema = z.object({
    incarnation: z.string(),
    /** Number of the write within its process, counted over ledgers and records together. */
    sequence: z.number().int().nonnegative(),
    /** Wall-clock time by the host's own clock, in milliseconds. */
    writtenAtMs: z.number(),
    /** The machine's steady clock, in milliseconds. */
    writtenSteadyMs: z.number(),
});
export type WriteTimestamp = z.infer<typeof WriteTimestampSchema>;

/** Spending bounds of a host by team, with the timestamp of the write. */
export const SpendingRecordSchema = WriteTimestampSchema.extend({ teams: z.record(z.string(), RecordedBoundSchema) });
export type SpendingRecord = z.infer<typeof SpendingRecordSchema>;

/** The stored object of one host. */
export const HostBudgetStateSchema = z.object({
    /** Incarnation that writes. A successor takes the object over first, so that no later write of its predecessor succeeds. */
    owner: z.string(),
    /** Teams in whose ledgers the host may have a share; listed before the share is written, so that a successor closes all. */
    ledgers: z.array(z.string()).default([]),
    /** Latest record of a process that had shares. */
    record: SpendingRecordSchema.optional(),
});
export type HostBudgetState = z.infer<typeof HostBudgetStateSchema>;
