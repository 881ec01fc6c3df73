/** Host records and bill segments as operator commands read them. */
import type { Result } from "true-myth";
import { z } from "zod";
import {
    type BillLine,
    BillLineSchema,
    type HostRecord,
    HostRecordPrefix,
    HostRecordSchema,
} from "../../features/journal/journalTypes.js";
import { combineResults, type CommandFailure } from "../commandResult.js";
import type { ControlContext } from "../controlContext.js";
import { listAll } from "../storeAccess.js";

/** Prefix of all bill segments. */
export const BillPrefix = "bills/";

/** Everything that the store holds of one host incarnation. */
export interface HostBillingData {
    readonly hostKey: string;
    readonly record: HostRecord | undefined;
    /** Lines that the record's S includes, by sequence. */
    readonly countedLines: ReadonlyMap<number, BillLine>;
    /** Lines that were added after the record was sealed: by the host itself, or by an operator's release. */
    readonly lateLines: ReadonlyMap<number, BillLine>;
}

interface Segment {
    readonly hostKey: string;
    readonly name: string;
    readonly lines: readonly BillLine[];
}

const SegmentSchema = z.array(BillLineSchema);

/**
 * Reads all records and segments. Records are read first: a record counts only segments that are already stored, so
 * that `countedLines` is exactly what the record's S includes.
 */
export async function readHostBillingData(context: ControlContext): Promise<Result<HostBillingData[], CommandFailure>> {
    const records = await listAll(context, HostRecordPrefix);
    const objects = await listAll(context, BillPrefix);
    return combineResults(records, objects).map(([recordObjects, segmentObjects]) => {
        const recordByKey = new Map<string, HostRecord>();
        for (const object of recordObjects) {
            const record = HostRecordSchema.safeParse(object.value);
            if (record.success) {
                recordByKey.set(object.key.slice(HostRecordPrefix.length), record.data);
            }
        }
        const segmentsByKey = new Map<string, Segment[]>();
        for (const segment of segmentObjects.flatMap(object => parseSegment(object.key, object.value))) {
            segmentsByKey.set(segment.hostKey, [...segmentsByKey.get(segment.hostKey) ?? [], segment]);
        }
        const hostKeys = [...new Set([...recordByKey.keys(), ...segmentsByKey.keys()])].sort();
        return hostKeys.map(key => booksOf(key, recordByKey.get(key), segmentsByKey.get(key) ?? []));
    });
}

/** @returns All lines, without repetition. */
export function linesOf(books: HostBillingData): BillLine[] {
    return [...books.countedLines.values(), ...books.lateLines.values()];
}

function parseSegment(key: string, value: unknown): Segment[] {
    const [hostKey, name] = key.slice(BillPrefix.length).split("/");
    const lines = SegmentSchema.safeParse(value);
    return hostKey !== undefined && name !== undefined && lines.success ? [{ hostKey, name, lines: lines.data }] : [];
}

function booksOf(hostKey: string, record: HostRecord | undefined, segments: readonly Segment[]): HostBillingData {
    const segmentCount = record?.billSegments ?? Number.POSITIVE_INFINITY;
    const isCovered = (segment: Segment): boolean =>
        segment.name === "sealed" || (/^\d+$/.test(segment.name) && Number(segment.name) < segmentCount);
    const countedLines = new Map<number, BillLine>();
    for (const line of [...segments.filter(isCovered).flatMap(({ lines }) => lines), ...record?.bills ?? []]) {
        countedLines.set(line.sequence, line);
    }
    const lateLines = new Map<number, BillLine>();
    for (const line of segments.filter(segment => !isCovered(segment)).flatMap(({ lines }) => lines)) {
        // A segment that the record does not count yet repeats lines that are still in the record.
        if (!countedLines.has(line.sequence)) {
            lateLines.set(line.sequence, line);
        }
    }
    return { hostKey, record, countedLines, lateLines };
}
