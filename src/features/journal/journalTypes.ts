/** The host record: heartbeat, journal of bills and declaration of limits. */
import { z } from "zod";
import { BillDraftSchema } from "../budget/budgetTypes.js";

/** A bill line in the journal. */
export const BillLineSchema = BillDraftSchema.extend({
    /** Number of the line within the host incarnation, from 1. */
    sequence: z.number().int().positive(),
    atMs: z.number(),
});
export type BillLine = z.infer<typeof BillLineSchema>;

/** Declared numbers of one budget. */
export const RecordEntrySchema = z.object({
    limitTokens: z.number().int().nonnegative(),
    settledTokens: z.number().int(),
    sentTokens: z.number().int().nonnegative(),
    receivedTokens: z.number().int().nonnegative(),
});
export type RecordEntry = z.infer<typeof RecordEntrySchema>;

/** Host record in the store, under {@link hostRecordKey}. Fields of a newer release are kept when it is sealed. */
export const HostRecordSchema = z.looseObject({
    hostId: z.string(),
    incarnation: z.string(),
    zone: z.string(),
    state: z.enum(["live", "leaving", "closed", "sealed"]),
    /** Number of the record's write by its owner, from 1. */
    sequence: z.number().int().nonnegative(),
    configVersion: z.number().int().nonnegative(),
    entries: z.record(z.string(), RecordEntrySchema),
    /** Lines that are not yet in a segment. */
    bills: z.array(BillLineSchema),
    /** Number of segments written. */
    billSegments: z.number().int().nonnegative(),
    /** Highest ticket that this incarnation may dispatch. */
    ticketLimit: z.number().int().nonnegative(),
});
export type HostRecord = z.infer<typeof HostRecordSchema>;

/** Prefix of host records. */
export const HostRecordPrefix = "host/";

/** @returns Key that names one incarnation of a host. */
export function hostKeyOf(hostId: string, incarnation: string): string {
    return `${hostId}~${incarnation}`;
}

/** @returns The parts of a host key. */
export function splitHostKey(hostKey: string): { readonly hostId: string; readonly incarnation: string; } {
    const separator = hostKey.lastIndexOf("~");
    return { hostId: hostKey.slice(0, separator), incarnation: hostKey.slice(separator + 1) };
}

/** @returns Key of a host record. */
export function hostRecordKey(hostKey: string): string {
    return `${HostRecordPrefix}${hostKey}`;
}

/** @returns Key of a segment of bill lines. `segment` is a number, `late` or `release`. */
export function billSegmentKey(hostKey: string, segment: number | "late" | "release"): string {
    return `bills/${hostKey}/${typeof segment === "number" ? String(segment).padStart(8, "0") : segment}`;
}
