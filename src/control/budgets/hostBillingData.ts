/** Reads host records and bill segments for operator commands. */
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

/** Key prefix of all bill segments in the store. */
export const BillPrefix = "bills/";

/** Record and bill lines of one host incarnation in the store. */
export interface HostBillingData {
    readonly hostKey: string;
    /** `undefined` if there is no readable record. */
    readonly record: HostRecord | undefined;
    /** Lines that the settled tokens (S) of the record include, by sequence. */
    readonly countedLines: ReadonlyMap<number, BillLine>;
    /** Lines added after the record was sealed, by the host itself or by an operator's release; by sequence. */
    readonly lateLines: ReadonlyMap<number, BillLine>;
}

/** A stored group of bill lines. */
interface Segment {
    readonly hostKey: string;
    readonly name: string;
    readonly lines: readonly BillLine[];
}

const SegmentSchema = z.array(BillLineSchema);

/**
 * Reads all records and segments, one entry per host incarnation, sorted by host key. Records are read first: a record
 * counts only segments that are already stored, so that `countedLines` is exactly what its settled tokens (S) include.
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
        return hostKeys.map(key => createBillingData(key, recordByKey.get(key), segmentsByKey.get(key) ?? []));
    });
}

/** @returns All bill lines of a host incarnation, each once. */
export function listBillLines(host: HostBillingData): BillLine[] {
    return [...host.countedLines.values(), ...host.lateLines.values()];
}

function parseSegment(key: string, value: unknown): Segment[] {
    const [hostKey, name] = key.slice(BillPrefix.length).split("/");
    const lines = SegmentSchema.safeParse(value);
    return hostKey !== undefined && name !== undefined && lines.success ? [{ hostKey, name, lines: lines.data }] : [];
}

function createBillingData(
    hostKey: string,
    record: HostRecord | undefined,
    segments: readonly Segment[],
): HostBillingData {
    const segmentCount = record?.billSegments ?? Number.POSITIVE_INFINITY;
    const isCounted = (segment: Segment): boolean =>
        segment.name === "sealed" || (/^\d+$/.test(segment.name) && Number(segment.name) < segmentCount);
    const countedLines = new Map<number, BillLine>();
    for (const line of [...segments.filter(isCounted).flatMap(({ lines }) => lines), ...record?.bills ?? []]) {
        countedLines.set(line.sequence, line);
    }
    const lateLines = new Map<number, BillLine>();
    for (const line of segments.filter(segment => !isCounted(segment)).flatMap(({ lines }) => lines)) {
        // A segment that the record does not count yet contains lines that are also still in the record.
        if (!countedLines.has(line.sequence)) {
            lateLines.set(line.sequence, line);
        }
    }
    return { hostKey, record, countedLines, lateLines };
}
