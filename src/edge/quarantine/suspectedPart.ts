/** Evidence about one prompt part, and the quarantine that follows from it. */
import { type CrashEvidence, MaxCrashesPerPart, type UpstreamCrash } from "./quarantineTypes.js";

/**
 * Events that start a quarantine. Operators accept five crashes; two may come by chance to requests that share a part
 * which is seldom asked for.
 */
const MinEvents = 3;

/** Crashes that start a quarantine when several of them fall into one event: the number that operators accept. */
const MinCrashes = 5;
const MinEventsOfManyCrashes = 2;

/** Time within which crashes count as one event, in milliseconds, as a rack or a release ends several upstreams at once. */
const EventMergeMs = 500;

/** Time for which a crash is counted, in milliseconds: the fifth request of one in two hundred on a quiet fleet comes within it. */
export const EvidenceLifetimeMs = 300_000;

/** Duration of the first quarantine, doubled for each renewal up to the maximum, in milliseconds. */
const MinQuarantineMs = 30_000;
const MaxQuarantineMs = 480_000;

/** Time after the end of a quarantine at which a part without a trial is forgotten, in milliseconds. */
const EndedRetentionMs = 600_000;

/** Maximum number of hosts kept for one crash. */
const MaxHostsPerCrash = 4;

/** A crash and the hosts that state it. */
interface CountedCrash {
    readonly upstreamId: string;
    readonly startedAtMs: number;
    crashedAtMs: number;
    readonly hostIds: string[];
}

/** A quarantine that follows from the crashes of a part. */
export interface Quarantine {
    /** Number of quarantines in a row, from 1. */
    readonly level: number;
    readonly untilMs: number;
}

/**
 * Crashes and completions of one part. The quarantine depends only on the set of crashes, not on the order in which
 * they become known, so that hosts with the same evidence come to the same result.
 */
export class SuspectedPart {
    readonly partId: string;
    /** Number of parts before this one in the prompt. */
    depth = 0;
    /** Quarantine that was last reported, before exemptions are lifted or applied again. */
    reported: Quarantine | undefined;
    /** Start of the running trial. */
    trialStartedAtMs: number | undefined;
    /** Time until which this host's last completion is sent again. */
    clearanceSentUntilMs = Number.NEGATIVE_INFINITY;
    #crashes = new Map<string, CountedCrash>();
    #clearedAtMs: number | undefined;
    #quarantine: Quarantine | undefined;

    constructor(partId: string) {
        this.partId = partId;
    }

    /** @returns Time of the newest known completion, in milliseconds. */
    get clearedAtMs(): number | undefined {
        return this.#clearedAtMs;
    }

    /** @returns Number of crashes since the last completion. */
    get crashCount(): number {
        return this.#crashes.size;
    }

    /** @returns Quarantine by the crashes alone; the tracker may exempt the part. */
    get quarantine(): Quarantine | undefined {
        return this.#quarantine;
    }

    /** @returns Hosts that state at least one of the crashes. */
    get hostIds(): ReadonlySet<string> {
        return new Set([...this.#crashes.values()].flatMap(crash => crash.hostIds));
    }

    /** @returns Whether the crash is counted. */
    hasCrash(crash: Pick<UpstreamCrash, "upstreamId" | "startedAtMs">): boolean {
        return this.#crashes.has(crashKey(crash));
    }

    /** Counts a crash once, whatever the number of hosts and messages that state it. */
    addCrash(crash: UpstreamCrash, hostId: string): void {
        if (this.#clearedAtMs !== undefined && crash.crashedAtMs <= this.#clearedAtMs) {
            return;
        }
        const key = crashKey(crash);
        const known = this.#crashes.get(key);
        if (known === undefined) {
            this.#crashes.set(key, { ...crash, hostIds: [hostId] });
            this.#dropOldest();
        }
        else {
            // A message takes time, so the earliest statement is the most exact one.
            known.crashedAtMs = Math.min(known.crashedAtMs, crash.crashedAtMs);
            if (!known.hostIds.includes(hostId) && known.hostIds.length < MaxHostsPerCrash) {
                known.hostIds.push(hostId);
            }
        }
        this.#update();
    }

    /**
     * Drops the crashes before a completed answer.
     * @returns Whether there were any.
     */
    clear(clearedAtMs: number): boolean {
        this.#clearedAtMs = Math.max(this.#clearedAtMs ?? clearedAtMs, clearedAtMs);
        const countBefore = this.#crashes.size;
        this.#dropUntil(this.#clearedAtMs);
        return this.#crashes.size < countBefore;
    }

    /** Drops what has expired. A part in quarantine keeps its crashes, which determine the length of the next one. */
    expire(nowMs: number): void {
        if (this.#quarantine === undefined) {
            this.#dropUntil(nowMs - EvidenceLifetimeMs);
        }
        else if (nowMs > this.#quarantine.untilMs + EndedRetentionMs) {
            this.#dropUntil(nowMs);
        }
    }

    /** @returns Whether nothing is left to remember. */
    isForgotten(nowMs: number): boolean {
        return this.#crashes.size === 0 && nowMs - (this.#clearedAtMs ?? Number.NEGATIVE_INFINITY) > EvidenceLifetimeMs;
    }

    /** @returns Whether all crashes of the other part are also counted against this one. */
    includesCrashesOf(other: SuspectedPart): boolean {
        for (const key of other.#crashes.keys()) {
            if (!this.#crashes.has(key)) {
                return false;
            }
        }
        return true;
    }

    /** @param hostId Host that states the crashes; all crashes if omitted. */
    evidence(nowMs: number, hostId?: string): CrashEvidence[] {
        return [...this.#crashes.values()]
            .filter(crash => hostId === undefined || crash.hostIds.includes(hostId))
            .map(({ upstreamId, startedAtMs, crashedAtMs }) => ({
                upstreamId,
                startedAtMs,
                ageMs: Math.max(0, nowMs - crashedAtMs),
            }));
    }

    #dropOldest(): void {
        if (this.#crashes.size > MaxCrashesPerPart) {
            const [oldest] = this.#sorted();
            this.#crashes.delete(crashKey(oldest!));
        }
    }

    #dropUntil(timeMs: number): void {
        const countBefore = this.#crashes.size;
        for (const [key, { crashedAtMs }] of this.#crashes) {
            if (crashedAtMs <= timeMs) {
                this.#crashes.delete(key);
            }
        }
        if (this.#crashes.size < countBefore) {
            this.#update();
        }
    }

    #sorted(): CountedCrash[] {
        return [...this.#crashes.values()].sort((left, right) => left.crashedAtMs - right.crashedAtMs);
    }

    #update(): void {
        let quarantine: Quarantine | undefined;
        let counted: number[] = [];
        for (const { crashedAtMs } of this.#sorted()) {
            if (quarantine === undefined) {
                counted = [...counted.filter(atMs => crashedAtMs - atMs <= EvidenceLifetimeMs), crashedAtMs];
                quarantine = isSufficient(counted) ? startQuarantine(1, crashedAtMs) : undefined;
            }
            else {
                // A request that was sent before the quarantine may crash its upstream during it.
                const isRenewed = crashedAtMs >= quarantine.untilMs;
                quarantine = startQuarantine(quarantine.level + (isRenewed ? 1 : 0), crashedAtMs);
            }
        }
        this.#quarantine = quarantine;
    }
}

function crashKey({ upstreamId, startedAtMs }: Pick<UpstreamCrash, "upstreamId" | "startedAtMs">): string {
    return `${upstreamId}@${startedAtMs}`;
}

/** @param timesMs Times of crashes in ascending order. */
function isSufficient(timesMs: readonly number[]): boolean {
    let events = 0;
    let eventAtMs = Number.NEGATIVE_INFINITY;
    for (const timeMs of timesMs) {
        if (timeMs - eventAtMs > EventMergeMs) {
            events++;
            eventAtMs = timeMs;
        }
    }
    return events >= MinEvents || (timesMs.length >= MinCrashes && events >= MinEventsOfManyCrashes);
}

function startQuarantine(level: number, nowMs: number): Quarantine {
    return { level, untilMs: nowMs + Math.min(MaxQuarantineMs, MinQuarantineMs * 2 ** (level - 1)) };
}
