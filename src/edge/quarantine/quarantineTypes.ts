/** Types of the quarantine of prompt parts that crash upstreams. */
import { z } from "zod";

/** Longest id of a part or an upstream that is tracked, in characters; longer ones are ignored, so that memory is bounded. */
export const MaxIdLength = 64;

/** Maximum number of crashes kept for one part: those that start a quarantine, and one for each renewal. */
export const MaxCrashesPerPart = 16;

/** End of one incarnation of an upstream while it was about to begin an answer. */
export interface UpstreamCrash {
    readonly upstreamId: string;
    /** Start of the incarnation, in Unix milliseconds as the upstream states it. */
    readonly startedAtMs: number;
    /** Monotonic time of this host, in milliseconds. */
    readonly crashedAtMs: number;
}

/** Refusal of a request because of one of its parts. */
export interface QuarantineVerdict {
    readonly partId: string;
    readonly retryAfterMs: number;
}

const DurationSchema = z.number().nonnegative();

/** One crash counted against a part. */
export const CrashEvidenceSchema = z.object({
    upstreamId: z.string().min(1).max(MaxIdLength),
    startedAtMs: z.number(),
    ageMs: DurationSchema,
});

/** What one host states about one part. */
export const PartEvidenceSchema = z.object({
    partId: z.string().min(1).max(MaxIdLength),
    crashes: z.array(CrashEvidenceSchema).max(MaxCrashesPerPart).readonly(),
    /** Time since the newest answer that this host completed with the part; it may be older than the crashes. */
    clearedAgeMs: DurationSchema.optional(),
    /** Number of parts before this one in the prompt. */
    depth: z.number().int().nonnegative().optional(),
});

export type CrashEvidence = Readonly<z.infer<typeof CrashEvidenceSchema>>;
export type PartEvidence = Readonly<z.infer<typeof PartEvidenceSchema>>;

/**
 * - `quarantined`: requests with the part are refused from now on.
 * - `renewed`: the part crashed an upstream after its quarantine had ended.
 * - `trial`: one request is let through after the end of the quarantine.
 * - `cleared`: an answer with the part was completed.
 * - `withdrawn`: later evidence accuses another part, or the part turned out to be common.
 * - `lapsed`: the quarantine ended long ago, and no trial has taken place.
 */
export type QuarantineDecisionKind = "quarantined" | "renewed" | "trial" | "cleared" | "withdrawn" | "lapsed";

/** A change of a part's state, with the evidence for it. */
export interface QuarantineDecision {
    readonly kind: QuarantineDecisionKind;
    readonly partId: string;
    /** Number of quarantines in a row, from 1. */
    readonly level: number;
    /** Time until the quarantine ends; 0 if it has ended. */
    readonly remainingMs: number;
    readonly crashes: readonly CrashEvidence[];
    /** Hosts whose evidence was counted. */
    readonly hostIds: readonly string[];
}

export type PartState = "cleared" | "suspected" | "quarantined" | "ended";

/** State of one part for the state dump. */
export interface PartExplanation {
    readonly partId: string;
    readonly state: PartState;
    readonly level: number;
    readonly remainingMs: number;
    readonly crashes: readonly CrashEvidence[];
    readonly hostIds: readonly string[];
    readonly clearedAgeMs: number | undefined;
    /** Reason why a part with enough crashes is not quarantined. */
    readonly exemption: QuarantineExemption | undefined;
}

/** Reason why a part with enough crashes is not quarantined. */
export type QuarantineExemption = "oneHost" | "common" | "completedRecently" | "otherPart";

/** Evidence against one part that must outlast the processes of all hosts. */
export interface EvidenceToRecord {
    readonly partId: string;
    /** Number of parts before this one in the prompt. */
    readonly depth: number;
    readonly hostIds: readonly string[];
    readonly crashes: readonly CrashEvidence[];
    /** Crashes that this host saw itself. */
    readonly witnessedCrashes: readonly CrashEvidence[];
}

/** Collaborators and identity of a tracker. */
export interface QuarantineTrackerOptions {
    readonly ownHostId: string;
    /** @returns Whether this host may try the part after its quarantine; all hosts should name the same one. */
    isTrialHost(partId: string): boolean;
    /** @returns Whether this host knows, without the evidence of other hosts, that the upstream has ended. */
    hasUpstreamEnded(upstream: Pick<UpstreamCrash, "upstreamId" | "startedAtMs">): boolean;
    /** Called for each change of a part's state. */
    onDecision(decision: QuarantineDecision): void;
}
