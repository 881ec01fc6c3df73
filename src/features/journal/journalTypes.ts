/** The host record, which is the heartbeat of a host, its journal of bills and its declaration of limits. */
import { z } from "zod";
import { BillDraftSchema } from "../budget/budgetTypes.js";

/** A bill line in the journal. */
export const BillLineSchema = BillDraftSchema.extend({
    /** Number of the line within the host incarnation, from 1. */
    sequence: z.number().int().positive(),
    /** Wall-clock time of the settlement in milliseconds. */
    atMs: z.number(),
});
export type BillLine = z.infer<typeof BillLineSchema>;

/** Tokens that a host record declares for one budget. */
export const RecordEntrySchema = z.object({
    /** Limit up to which the host may spend (L). */
    limitTokens: z.number().int().nonnegative(),
    /** Tokens of settled requests (S). */
    settledTokens: z.number().int(),
    /** Tokens sent to other hosts (O). */
    sentTokens: z.number().int().nonnegative(),
    /** Tokens received from other hosts (I). */
    receivedTokens: z.number().int().nonnegative(),
});
export type RecordEntry = z.infer<typeof RecordEntrySchema>;

/** Host record in the store under {@link hostRecordKey}. Unknown fields, written by a newer release, are kept by a seal. */
export const HostRecordSchema = z.looseObject({
    hostId: z.string(),
    incarnation: z.string(),
    zone: z.string(),
    state: z.enum(["live", "leaving", "closed", "sealed"]),
    /** Number of the write by the host that owns the record, from 1; 0 when the record was sealed before its first write. */
    sequence: z.number().int().nonnegative(),
    configVersion: z.number().int().nonnegative(),
    entries: z.record(z.string(), RecordEntrySchema),
    /** Bill lines that are not yet in a segment. */
    bills: z.array(BillLineSchema),
    /** Number of bill segments that are stored. */
    billSegments: z.number().int().nonnegative(),
    /** Highest ticket sequence that this incarnation may issue. */
    ticketLimit: z.number().int().nonnegative(),
});
export type HostRecord = z.infer<typeof HostRecordSchema>;

/** Prefix of the store keys of host records. */
export const HostRecordPrefix = "host/";

/** @returns Host key, which identifies one incarnation of a host. */
export function hostKeyOf(hostId: string, incarnation: string): string {
    return `${hostId}~${incarnation}`;
}

/** @returns The host id and the incarnation of a host key. */
export function splitHostKey(hostKey: string): { readonly hostId: string; readonly incarnation: string; } {
    const separator = hostKey.lastIndexOf("~");
    return { hostId: hostKey.slice(0, separator), incarnation: hostKey.slice(separator + 1) };
}

/** @returns Store key of a host record. */
export function hostRecordKey(hostKey: string): string {
    return `${HostRecordPrefix}${hostKey}`;
}

/**
 * @param segment Number of the segment, `late` or `release`.
 * @returns Store key of a segment of bill lines.
 */
export function billSegmentKey(hostKey: string, segment: number | "late" | "release"): string {
    return `bills/${hostKey}/${typeof segment === "number" ? String(segment).padStart(8, "0") : segment}`;
}
