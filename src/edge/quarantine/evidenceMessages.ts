/** Messages with evidence of crashes. Names are short, as traffic between zones is billed by the byte. */
import { z } from "zod";
import { BroadcastFields } from "../peers/broadcastMessages.js";
import { MaxCrashesPerPart, type PartEvidence } from "./quarantineTypes.js";

const CountSchema = z.number().int().nonnegative();

/** Evidence of one host. Ages take the place of times, as clocks of hosts cannot be compared. */
export const EvidenceSchema = z.object({
    k: z.literal("q"),
    ...BroadcastFields,
    /** Crashes: id and start time of the upstream, and age in milliseconds. */
    u: z.array(z.tuple([z.string(), z.number(), CountSchema])),
    /** Id of each prompt part, number of parts before it in the prompt, and indexes of its crashes. */
    p: z.array(z.tuple([z.string(), CountSchema, z.array(CountSchema)])),
    /** Ages of clearances by id of the prompt part, in milliseconds. */
    c: z.record(z.string(), CountSchema).optional(),
});
export type EvidenceMessage = z.infer<typeof EvidenceSchema>;

/** Crashes, prompt parts and clearances of one message. */
export type EvidencePayload = Pick<EvidenceMessage, "u" | "p" | "c">;

/** A payload under construction; no part may be added after one that did not fit. */
class PayloadBuilder {
    readonly #crashes: [string, number, number][] = [];
    readonly #crashIndexes = new Map<string, number>();
    readonly #parts: [string, number, number[]][] = [];
    readonly #clearances: [string, number][] = [];

    /** Adds the evidence of a part, unless the payload would exceed a size. @returns Whether it was added. */
    tryAdd(evidence: PartEvidence, maxBytes: number): boolean {
        const crashCount = this.#crashes.length;
        const partCount = this.#parts.length;
        const clearanceCount = this.#clearances.length;
        const indexes = evidence.crashes
            .toSorted((left, right) => left.ageMs - right.ageMs)
            .slice(0, MaxCrashesPerPart)
            .map(crash => this.#indexOf(crash));
        if (indexes.length > 0) {
            this.#parts.push([evidence.partId, evidence.depth ?? 0, indexes]);
        }
        if (evidence.clearedAgeMs !== undefined) {
            this.#clearances.push([evidence.partId, Math.max(0, Math.round(evidence.clearedAgeMs))]);
        }
        if (Buffer.byteLength(JSON.stringify(this.build())) <= maxBytes) {
            return true;
        }
        this.#crashes.splice(crashCount);
        this.#parts.splice(partCount);
        this.#clearances.splice(clearanceCount);
        return false;
    }

    build(): EvidencePayload {
        const c = this.#clearances.length === 0 ? {} : { c: Object.fromEntries(this.#clearances) };
        return { u: this.#crashes, p: this.#parts, ...c };
    }

    #indexOf({ upstreamId, startedAtMs, ageMs }: PartEvidence["crashes"][number]): number {
        const key = `${startedAtMs}/${upstreamId}`;
        const known = this.#crashIndexes.get(key);
        if (known !== undefined) {
            return known;
        }
        const index = this.#crashes.push([upstreamId, startedAtMs, Math.max(0, Math.round(ageMs))]) - 1;
        this.#crashIndexes.set(key, index);
        return index;
    }
}

/**
 * Divides evidence among messages.
 * @param maxBytes Maximum size of one payload as JSON, in bytes.
 * @returns Payloads, and the ids of parts whose evidence does not fit into one.
 */
export function divideEvidence(
    evidence: readonly PartEvidence[],
    maxBytes: number,
): { payloads: EvidencePayload[]; tooLargePartIds: string[]; } {
    const payloads: EvidencePayload[] = [];
    const tooLargePartIds: string[] = [];
    let builder = new PayloadBuilder();
    let isEmpty = true;
    const finish = () => {
        if (!isEmpty) {
            payloads.push(builder.build());
        }
        builder = new PayloadBuilder();
        isEmpty = true;
    };
    for (const part of evidence) {
        if (builder.tryAdd(part, maxBytes)) {
            isEmpty = false;
            continue;
        }
        finish();
        if (builder.tryAdd(part, maxBytes)) {
            isEmpty = false;
        }
        else {
            tooLargePartIds.push(part.partId);
            finish();
        }
    }
    finish();
    return { payloads, tooLargePartIds };
}

/** @returns The evidence in a message, by part. */
export function readEvidence({ u, p, c = {} }: EvidencePayload): PartEvidence[] {
    const evidence: PartEvidence[] = p.map(([partId, depth, indexes]) => ({
        partId,
        depth,
        crashes: indexes.flatMap(index => {
            const crash = u[index];
            return crash === undefined ? [] : [{ upstreamId: crash[0], startedAtMs: crash[1], ageMs: crash[2] }];
        }),
        ...Object.hasOwn(c, partId) ? { clearedAgeMs: c[partId] } : {},
    }));
    const partIds = new Set(p.map(([partId]) => partId));
    const cleared = Object.entries(c).filter(([partId]) => !partIds.has(partId));
    return [...evidence, ...cleared.map(([partId, clearedAgeMs]) => ({ partId, crashes: [], clearedAgeMs }))];
}
