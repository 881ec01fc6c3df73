/** Evidence of crashes as the store keeps it, so that it outlasts the processes of all hosts. */
import { z } from "zod";
import { log } from "../../base/log.js";
import { type CrashEvidence, MaxCrashesPerPart, MaxIdLength } from "./quarantineTypes.js";
import { crashKey } from "./suspectedPart.js";

/** Maximum number of parts in the record, which bounds its size to about 100 KB. */
const MaxRecordedParts = 64;

/** Maximum number of hosts kept for one part: more than a decision needs. */
const MaxHostsPerPart = 4;

/** Number of hosts whose statements suffice for a decision; more of them need not be stored. */
const SufficientHosts = 2;

const IdSchema = z.string().min(1).max(MaxIdLength);

/** A crash with its time by the clock of the host that recorded it first, in Unix milliseconds. */
const RecordedCrashSchema = z.object({ upstreamId: IdSchema, startedAtMs: z.number(), crashedAtMs: z.number() });

/** One part with the crashes that are counted against it. */
export const RecordedPartSchema = z.object({
    partId: IdSchema,
    /** Number of parts before this one in the prompt. */
    depth: z.number().int().nonnegative(),
    /** Hosts that state at least one of the crashes. */
    hostIds: z.array(z.string().min(1)).min(1).readonly(),
    crashes: z.array(RecordedCrashSchema).min(1).max(MaxCrashesPerPart).readonly(),
});
export type RecordedCrash = Readonly<z.infer<typeof RecordedCrashSchema>>;
export type RecordedPart = Readonly<z.infer<typeof RecordedPartSchema>>;

/** The stored object. Parts are read one by one, so that one of another release does not hide the others. */
const EvidenceRecordSchema = z.object({ parts: z.array(z.unknown()) });

/** @returns The parts of a stored object; what cannot be read is left out, with a log line. */
export function readEvidenceRecord(value: unknown): RecordedPart[] {
    const record = EvidenceRecordSchema.safeParse(value);
    const parts = (record.data?.parts ?? []).slice(0, MaxRecordedParts).map(part => RecordedPartSchema.safeParse(part));
    const unreadable = parts.filter(({ success }) => !success).length;
    if (!record.success || unreadable > 0) {
        log.warn("recorded evidence of crashes is not readable", { problem: record.error?.message, unreadable });
    }
    return parts.flatMap(({ data }) =>
        data === undefined ? [] : [{ ...data, hostIds: data.hostIds.slice(0, MaxHostsPerPart) }]
    );
}

/** @returns The value to store. Of too many parts, the ones with the newest crashes are kept. */
export function encodeEvidenceRecord(parts: readonly RecordedPart[]): unknown {
    const newestFirst = parts.toSorted((left, right) => newestCrashMs(right) - newestCrashMs(left));
    return { parts: newestFirst.slice(0, MaxRecordedParts) };
}

/**
 * @param evidence Evidence with the times of the crashes by this host's clock.
 * @returns The part as it is to be stored. The time of a crash stays the recorded one, so that it does not move with the clocks of the
 * hosts that record it again.
 */
export function updateRecordedPart(recorded: RecordedPart | undefined, evidence: RecordedPart): RecordedPart {
    const known = new Map(recorded?.crashes.map(crash => [crashKey(crash), crash]));
    const hostIds = new Set([...recorded?.hostIds ?? [], ...evidence.hostIds]);
    return {
        ...evidence,
        hostIds: [...hostIds].slice(0, MaxHostsPerPart),
        crashes: evidence.crashes.map(crash => known.get(crashKey(crash)) ?? crash),
    };
}

/** @returns Text that is the same for two records with the same parts and crashes, and hosts enough for a decision or not. */
export function recordSignature(parts: readonly RecordedPart[]): string {
    return parts.map(({ partId, hostIds, crashes }) =>
        `${partId} ${Math.min(hostIds.length, SufficientHosts)} ${crashes.map(crashKey).sort().join(" ")}`
    ).sort().join("\n");
}

/**
 * @param wallMs Wall-clock time of this host, in Unix milliseconds.
 * @returns The crashes with their ages. Where this host's clock is behind, the newest crash counts as one of now, and the others keep
 * their distance from it, as crashes at the same time count as one event.
 */
export function readCrashes(part: RecordedPart, wallMs: number): CrashEvidence[] {
    const nowMs = Math.max(wallMs, newestCrashMs(part));
    return part.crashes.map(({ upstreamId, startedAtMs, crashedAtMs }) => (
        { upstreamId, startedAtMs, ageMs: nowMs - crashedAtMs }
    ));
}

function newestCrashMs({ crashes }: RecordedPart): number {
    return Math.max(...crashes.map(({ crashedAtMs }) => crashedAtMs));
}
