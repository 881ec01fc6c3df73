/** Evidence about one prompt part, and the quarantine that follows from it. */
import { countEvents, type CrashLog, TimeToleranceMs } from "./crashLog.js";
import { type CrashEvidence, MaxCrashesPerPart, type UpstreamCrash } from "./quarantineTypes.js";

/**
 * Events that start a quarantine. Operators accept five crashes; two may come by chance to requests that share a part
 * which is seldom asked for.
 */
const MinEvents = 3;

/** Crashes that start a quarantine though several fall into one event or an outage: the number that operators accept. */
const MinCrashes = 5;
const MinEventsOfManyCrashes = 2;

/** Time for which a crash is counted, in milliseconds: the fifth request of one in two hundred on a quiet fleet comes within it. */
export const EvidenceLifetimeMs = 300_000;

/** Duration of the first quarantine, doubled for each renewal up to the maximum, in milliseconds. */
const MinQuarantineMs = 60_000;
const MaxQuarantineMs = 480_000;

/** Time after the end of a quarantine at which a part without a trial is forgotten, in milliseconds. */
const EndedRetentionMs = 600_000;

/**
 * Events that end upstreams without the part, shortly before or after one with it, that make it part of an outage. An
 * outage ends upstreams one after the other, and the repeat of a request meets the next crash.
 */
const MinOutageEvents = 2;
const OutageNeighbourMs = 1_000;

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
    /** Time with completed answers at the newest known completion, in milliseconds; counted by the tracker. */
    clearedServiceTimeMs: number | undefined;
    /** Start of the running trial. */
    trialStartedAtMs: number | undefined;
    /** Time until which this host's last completion is sent again. */
    clearanceSentUntilMs = Number.NEGATIVE_INFINITY;
    #crashes = new Map<string, CountedCrash>();
    #clearedAtMs: number | undefined;
    #hostIds = new Set<string>();
    #quarantine: Quarantine | undefined;
    #isChanged = false;
    readonly #crashLog: CrashLog;
    #crashLogVersion = 0;

    /** @param crashLog Crashes of all upstreams. */
    constructor(partId: string, crashLog: CrashLog) {
        this.partId = partId;
        this.#crashLog = crashLog;
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
        if (this.#isChanged || this.#crashLogVersion !== this.#crashLog.version) {
            this.#isChanged = false;
            this.#crashLogVersion = this.#crashLog.version;
            this.#quarantine = this.#evaluate();
        }
        return this.#quarantine;
    }

    /** @returns Hosts that state at least one of the crashes. */
    get hostIds(): ReadonlySet<string> {
        return this.#hostIds;
    }

    /** @returns Whether the crash is counted. */
    hasCrash(crash: Pick<UpstreamCrash, "upstreamId" | "startedAtMs">): boolean {
        return this.#crashes.has(crashKey(crash));
    }

    /**
     * Counts a crash once, whatever the number of hosts and messages that state it.
     * @returns Whether anything has changed.
     */
    addCrash(crash: UpstreamCrash, hostId: string): boolean {
        if (this.#clearedAtMs !== undefined && crash.crashedAtMs <= this.#clearedAtMs) {
            return false;
        }
        const key = crashKey(crash);
        const known = this.#crashes.get(key);
        if (known === undefined) {
            this.#crashes.set(key, { ...crash, hostIds: [hostId] });
            this.#dropOldest();
        }
        else {
            const isNewHost = !known.hostIds.includes(hostId) && known.hostIds.length < MaxHostsPerCrash;
            if (!isNewHost && crash.crashedAtMs > known.crashedAtMs - TimeToleranceMs) {
                return false;
            }
            // A message takes time, so the earliest statement is the most exact one.
            known.crashedAtMs = Math.min(known.crashedAtMs, crash.crashedAtMs);
            if (isNewHost) {
                known.hostIds.push(hostId);
            }
        }
        this.#update();
        return true;
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

    /**
     * Drops what has expired. A part in quarantine keeps its crashes, which determine the length of the next one.
     * @returns Whether a quarantine lapsed.
     */
    expire(nowMs: number): boolean {
        const { quarantine } = this;
        if (quarantine === undefined) {
            this.#dropUntil(nowMs - EvidenceLifetimeMs);
            return false;
        }
        const hasLapsed = nowMs > quarantine.untilMs + EndedRetentionMs;
        if (hasLapsed) {
            this.#dropUntil(nowMs);
        }
        return hasLapsed;
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
        this.#isChanged = true;
        this.#hostIds = new Set([...this.#crashes.values()].flatMap(crash => crash.hostIds));
    }

    #evaluate(): Quarantine | undefined {
        let quarantine: Quarantine | undefined;
        let counted: number[] = [];
        if (this.#crashes.size < MinEvents) {
            return undefined;
        }
        for (const { crashedAtMs } of this.#sorted()) {
            if (quarantine !== undefined) {
                // A request that was sent before the quarantine may crash its upstream during it.
                const isRenewed = crashedAtMs >= quarantine.untilMs;
                quarantine = startQuarantine(quarantine.level + (isRenewed ? 1 : 0), crashedAtMs);
            }
            else {
                counted = [...counted.filter(atMs => crashedAtMs - atMs <= EvidenceLifetimeMs), crashedAtMs];
                const isSufficient = isManyCrashes(counted) ||
                    countEvents(counted.filter(atMs => !this.#isInOutage(atMs))) >= MinEvents;
                quarantine = isSufficient ? startQuarantine(1, crashedAtMs) : undefined;
            }
        }
        return quarantine;
    }

    #isInOutage(crashedAtMs: number): boolean {
        const events = this.#crashLog.countOtherEvents(crashedAtMs, OutageNeighbourMs, key => this.#crashes.has(key));
        return events >= MinOutageEvents;
    }
}

/** @returns Key of the incarnation of an upstream that a crash ended. */
export function crashKey({ upstreamId, startedAtMs }: Pick<UpstreamCrash, "upstreamId" | "startedAtMs">): string {
    return `${upstreamId}@${startedAtMs}`;
}

/** @param timesMs Times of crashes in ascending order. */
function isManyCrashes(timesMs: readonly number[]): boolean {
    return timesMs.length >= MinCrashes && countEvents(timesMs) >= MinEventsOfManyCrashes;
}

function startQuarantine(level: number, nowMs: number): Quarantine {
    return { level, untilMs: nowMs + Math.min(MaxQuarantineMs, MinQuarantineMs * 2 ** (level - 1)) };
}
