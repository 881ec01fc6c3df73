/**
 * Decides which prompt parts crash upstreams. Each host decides for itself on the evidence of all hosts: the upstreams
 * that ended while they were about to begin an answer, with the parts of the requests that they had, and the answers
 * that were completed.
 */
import { CompletionTimes } from "./completionTimes.js";
import { CrashLog } from "./crashLog.js";
import { PartFrequency } from "./partFrequency.js";
import {
    type EvidenceToRecord,
    MaxIdLength,
    type PartEvidence,
    type PartExplanation,
    type QuarantineDecisionKind,
    type QuarantineExemption,
    type QuarantineTrackerOptions,
    type QuarantineVerdict,
    type UpstreamCrash,
} from "./quarantineTypes.js";
import { crashKey, SuspectedPart } from "./suspectedPart.js";

/** Maximum number of parts with evidence: those of a few crashes of fully loaded upstreams. */
const MaxParts = 512;

/** Maximum number of parts in a message to other hosts. */
const MaxSentParts = 128;

/**
 * Time with completed answers, after one with a part, in which the part is not quarantined, in milliseconds. Time without any completed
 * answer does not count: in an outage of all upstreams no answer clears the parts that most requests share.
 */
const CompletionProtectionMs = 8_000;

/** Most of a pause between two completed answers that counts as time with completed answers, in milliseconds. */
const MaxCompletionPauseMs = 1_000;

/** Ends of upstreams that this host must know of itself before it relies on the word of one other host. */
const MinConfirmedEnds = 3;

/** Crashes from which a part is suspected beyond chance: its requests are not sent again, and a restart must not forget it. */
const MinSuspectedCrashes = 2;

/** Time for which this host's completion of a suspected part is sent, in milliseconds. */
const ClearanceSendMs = 15_000;

/** Time after which the result of a trial is no longer waited for, in milliseconds. */
const TrialTimeoutMs = 10_000;

/** Wait that a caller is told while a trial is due or running, in milliseconds. */
const TrialRetryAfterMs = 5_000;

/** Pause between two searches for expired evidence, in milliseconds. */
const ExpiryIntervalMs = 1_000;

const NoParts: readonly string[] = [];

/** Tracks the crashes and completions of prompt parts. All times are monotonic, in milliseconds. */
export class QuarantineTracker {
    readonly #options: QuarantineTrackerOptions;
    readonly #frequency = new PartFrequency();
    readonly #completions = new CompletionTimes();
    /** Time with completed answers, in milliseconds, and its value at the last completion of each part. */
    #serviceTimeMs = 0;
    readonly #completionServiceTimes = new CompletionTimes();
    #lastCompletedAtMs: number | undefined;
    readonly #crashLog = new CrashLog();
    /** Parts by id; the one that was accused last is the last one. */
    readonly #parts = new Map<string, SuspectedPart>();
    #expiredAtMs = Number.NEGATIVE_INFINITY;

    constructor(options: QuarantineTrackerOptions) {
        this.#options = options;
    }

    /**
     * Records an arriving request, to learn which parts are common. Requests that are refused do not count, as their callers come
     * again.
     */
    recordRequest(service: string, sharedPartIds: readonly string[], nowMs: number): void {
        for (const partId of sharedPartIds) {
            const part = this.#parts.get(partId);
            if (part !== undefined && this.#isQuarantined(part, nowMs)) {
                return;
            }
        }
        this.#frequency.record(service, sharedPartIds);
    }

    /**
     * Counts a crash against the parts of a request, in the order of the prompt, once for each upstream incarnation.
     * @param hostId Host that sent the request; this host or another one.
     */
    recordCrash(crash: UpstreamCrash, sharedPartIds: readonly string[], hostId: string, nowMs: number): void {
        this.#expire(nowMs);
        sharedPartIds.forEach((partId, depth) => this.#addCrash(crash, partId, depth, hostId, nowMs));
        this.#judge(sharedPartIds, nowMs);
    }

    /** Records what another host has sent of its {@link ownEvidence}. */
    recordEvidence(evidence: PartEvidence, hostId: string, nowMs: number): void {
        this.#expire(nowMs);
        const { partId, crashes, clearedAgeMs, depth } = evidence;
        if (clearedAgeMs !== undefined) {
            this.recordClearance(partId, nowMs - clearedAgeMs, nowMs);
        }
        for (const { upstreamId, startedAtMs, ageMs } of crashes) {
            const crash = { upstreamId, startedAtMs, crashedAtMs: nowMs - ageMs };
            this.#addCrash(crash, partId, depth ?? 0, hostId, nowMs);
        }
    }

    /** Records evidence that hosts have stored, perhaps long ago; what has expired since is dropped. */
    recordStoredEvidence(evidence: PartEvidence, hostIds: readonly string[], nowMs: number): void {
        hostIds.forEach(hostId => this.recordEvidence(evidence, hostId, nowMs));
        const part = this.#parts.get(evidence.partId);
        if (part !== undefined) {
            this.#expirePart(part, nowMs);
        }
    }

    /**
     * Records that an answer is complete, or so far under way that its parts cannot crash the upstream.
     * @returns Parts that this clears of crashes; other hosts should learn of them.
     */
    recordCompletion(sharedPartIds: readonly string[], nowMs: number): readonly string[] {
        let clearedIds: string[] | undefined;
        if (sharedPartIds.length > 0) {
            this.#serviceTimeMs = this.#serviceTimeAt(nowMs);
            this.#lastCompletedAtMs = nowMs;
        }
        for (const partId of sharedPartIds) {
            if (partId.length > MaxIdLength) {
                continue;
            }
            this.#completions.record(partId, nowMs);
            this.#completionServiceTimes.record(partId, this.#serviceTimeMs);
            const part = this.#parts.get(partId);
            if (part !== undefined && this.#clear(part, nowMs, nowMs)) {
                part.clearanceSentUntilMs = nowMs + ClearanceSendMs;
                clearedIds ??= [];
                clearedIds.push(partId);
            }
        }
        return clearedIds ?? NoParts;
    }

    /** Records that another host completed an answer with the part. */
    recordClearance(partId: string, clearedAtMs: number, nowMs: number): void {
        const part = this.#getOrAdd(partId, nowMs);
        if (part !== undefined) {
            this.#clear(part, Math.min(clearedAtMs, nowMs), nowMs);
        }
    }

    /**
     * @returns The part because of which a request is refused; `undefined` if the request may be sent, also as the trial of a part
     * whose quarantine has ended.
     */
    findQuarantined(sharedPartIds: readonly string[], nowMs: number): QuarantineVerdict | undefined {
        let trialParts: SuspectedPart[] | undefined;
        for (const partId of sharedPartIds) {
            const part = this.#parts.get(partId);
            if (part === undefined || !this.#isQuarantined(part, nowMs)) {
                continue;
            }
            const remainingMs = part.quarantine!.untilMs - nowMs;
            if (remainingMs > 0) {
                return { partId, retryAfterMs: remainingMs };
            }
            if (!this.#options.isTrialHost(partId) || this.#isOnTrial(part, nowMs)) {
                return { partId, retryAfterMs: TrialRetryAfterMs };
            }
            trialParts ??= [];
            trialParts.push(part);
        }
        for (const part of trialParts ?? []) {
            part.trialStartedAtMs = nowMs;
            this.#report("trial", part, nowMs);
        }
        return undefined;
    }

    /**
     * @param ended Upstream that ended under the request. If omitted, its crash must have been recorded.
     * @returns Whether a request may be sent again after its upstream ended: no other crash is counted against its parts.
     */
    mayRepeat(
        sharedPartIds: readonly string[],
        nowMs: number,
        ended?: Pick<UpstreamCrash, "upstreamId" | "startedAtMs">,
    ): boolean {
        for (const partId of sharedPartIds) {
            const part = this.#parts.get(partId);
            if (part === undefined) {
                continue;
            }
            const ownCrashes = ended === undefined || part.hasCrash(ended) ? 1 : 0;
            if (part.crashCount > ownCrashes && this.#soundness(part, nowMs) === undefined) {
                return false;
            }
        }
        return true;
    }

    /**
     * @returns What this host has seen itself, the parts in quarantine last. For a part in quarantine, it is all that this host decided on, so that
     * a quarantine survives the restart of the hosts that saw the crashes.
     */
    ownEvidence(nowMs: number): readonly PartEvidence[] {
        this.#expire(nowMs);
        this.#judge(this.#parts.keys(), nowMs);
        const suspected: PartEvidence[] = [];
        const decided: PartEvidence[] = [];
        for (const part of this.#parts.values()) {
            const { partId, depth } = part;
            const isDecided = part.reported !== undefined;
            const crashes = part.evidence(nowMs, isDecided ? undefined : this.#options.ownHostId);
            const completedAtMs = this.#completions.lastCompletedAtMs(partId);
            const isClearanceSent = completedAtMs !== undefined &&
                (nowMs - completedAtMs <= ClearanceSendMs || nowMs <= part.clearanceSentUntilMs);
            if (crashes.length > 0 || isClearanceSent) {
                const clearance = isClearanceSent ? { clearedAgeMs: nowMs - completedAtMs } : {};
                (isDecided ? decided : suspected).push({ partId, crashes, depth, ...clearance });
            }
        }
        return [...suspected, ...decided].slice(-MaxSentParts);
    }

    /**
     * @returns Evidence against the parts that are suspected beyond a single crash. The outages and completed answers that may exempt a
     * part are not recorded, so of a part that is not quarantined only as many crashes are returned as do not suffice for a quarantine.
     */
    evidenceToRecord(nowMs: number): readonly EvidenceToRecord[] {
        this.#expire(nowMs);
        const evidence: EvidenceToRecord[] = [];
        for (const part of this.#parts.values()) {
            if (part.crashCount < MinSuspectedCrashes || this.#soundness(part, nowMs) !== undefined) {
                continue;
            }
            const { partId, depth, hostIds } = part;
            const newestFirst = part.evidence(nowMs).sort((left, right) => left.ageMs - right.ageMs);
            const crashes = newestFirst.slice(0, part.quarantine === undefined ? MinSuspectedCrashes : undefined);
            const own = new Set(part.evidence(nowMs, this.#options.ownHostId).map(crashKey));
            const witnessedCrashes = crashes.filter(crash => own.has(crashKey(crash)));
            evidence.push({ partId, depth, hostIds: [...hostIds], crashes, witnessedCrashes });
        }
        return evidence;
    }

    /** @returns Whether a crash is counted against a part. */
    isCounted(partId: string, crash: Pick<UpstreamCrash, "upstreamId" | "startedAtMs">): boolean {
        return this.#parts.get(partId)?.hasCrash(crash) === true;
    }

    /** @returns Suspected and quarantined parts with their evidence. */
    explain(nowMs: number): readonly PartExplanation[] {
        this.#expire(nowMs);
        return [...this.#parts.values()].map(part => {
            const { partId, quarantine, clearedAtMs } = part;
            const exemption = quarantine === undefined ? undefined : this.#exemption(part, nowMs);
            const remainingMs = Math.max(0, (quarantine?.untilMs ?? nowMs) - nowMs);
            const quarantineState = remainingMs > 0 ? "quarantined" : "ended";
            return {
                partId,
                state: quarantine !== undefined && exemption === undefined ?
                    quarantineState :
                    part.crashCount > 0 ?
                    "suspected" :
                    "cleared",
                level: quarantine?.level ?? 0,
                remainingMs,
                crashes: part.evidence(nowMs),
                hostIds: [...part.hostIds],
                clearedAgeMs: clearedAtMs === undefined ? undefined : nowMs - clearedAtMs,
                exemption,
            };
        });
    }

    #addCrash(crash: UpstreamCrash, partId: string, depth: number, hostId: string, nowMs: number): void {
        if (crash.upstreamId.length > MaxIdLength) {
            return;
        }
        const part = this.#getOrAdd(partId, nowMs);
        if (part === undefined) {
            return;
        }
        const crashedAtMs = Math.min(crash.crashedAtMs, nowMs);
        this.#crashLog.record(crashKey(crash), crashedAtMs);
        if (part.clearedAtMs !== undefined && crashedAtMs <= part.clearedAtMs) {
            part.clearanceSentUntilMs = nowMs + ClearanceSendMs;
        }
        part.depth = Math.max(part.depth, depth);
        if (!part.addCrash({ ...crash, crashedAtMs }, hostId)) {
            return;
        }
        if (part.quarantine !== undefined && part.quarantine.level > (part.reported?.level ?? 0)) {
            part.trialStartedAtMs = undefined;
        }
    }

    /** Reports the parts whose state has changed, once the crashes of all parts of a request are counted. */
    #judge(partIds: Iterable<string>, nowMs: number): void {
        for (const partId of partIds) {
            const part = this.#parts.get(partId);
            if (part !== undefined) {
                this.#isQuarantined(part, nowMs);
            }
        }
    }

    /** @returns Whether crashes were counted against the part. */
    #clear(part: SuspectedPart, clearedAtMs: number, nowMs: number): boolean {
        if (clearedAtMs > (part.clearedAtMs ?? Number.NEGATIVE_INFINITY)) {
            part.clearedServiceTimeMs = this.#serviceTimeAt(nowMs) - (nowMs - clearedAtMs);
        }
        const hadCrashes = part.clear(clearedAtMs);
        if (part.reported !== undefined && part.quarantine === undefined) {
            this.#report("cleared", part, nowMs);
            part.reported = undefined;
            part.trialStartedAtMs = undefined;
        }
        return hadCrashes;
    }

    #getOrAdd(partId: string, nowMs: number): SuspectedPart | undefined {
        if (partId.length === 0 || partId.length > MaxIdLength) {
            return undefined;
        }
        let part = this.#parts.get(partId);
        if (part === undefined) {
            this.#makeRoom(nowMs);
            part = new SuspectedPart(partId, this.#crashLog);
            const completedAtMs = this.#completions.lastCompletedAtMs(partId);
            if (completedAtMs !== undefined) {
                part.clear(completedAtMs);
                part.clearedServiceTimeMs = this.#completionServiceTimes.lastCompletedAtMs(partId);
            }
        }
        else {
            this.#parts.delete(partId);
        }
        this.#parts.set(partId, part);
        return part;
    }

    /** Removes the part that was accused longest ago, one that is not quarantined if possible. */
    #makeRoom(nowMs: number): void {
        if (this.#parts.size < MaxParts) {
            return;
        }
        const [oldest] = this.#parts.values();
        const removed = [...this.#parts.values()].find(part => part.reported === undefined) ?? oldest!;
        if (removed.reported !== undefined) {
            this.#report("lapsed", removed, nowMs);
        }
        this.#parts.delete(removed.partId);
    }

    /** Reports changes of the part's state. */
    #isQuarantined(part: SuspectedPart, nowMs: number): boolean {
        const { quarantine, reported } = part;
        const isQuarantined = quarantine !== undefined && this.#exemption(part, nowMs) === undefined;
        if (isQuarantined) {
            part.reported = quarantine;
            if (quarantine.level > (reported?.level ?? 0)) {
                this.#report(reported === undefined ? "quarantined" : "renewed", part, nowMs);
            }
        }
        else if (reported !== undefined) {
            this.#report("withdrawn", part, nowMs);
            part.reported = undefined;
        }
        return isQuarantined;
    }

    #exemption(part: SuspectedPart, nowMs: number): QuarantineExemption | undefined {
        const soundness = this.#soundness(part, nowMs);
        if (soundness !== undefined) {
            return soundness;
        }
        if (!this.#isCorroborated(part, nowMs)) {
            return "oneHost";
        }
        return this.#isExplainedByOther(part, nowMs) ? "otherPart" : undefined;
    }

    /**
     * @returns Whether more than the word of one other host speaks against the part. If all requests with it reach one host, the others
     * can still see that the upstreams which that host names have ended.
     */
    #isCorroborated(part: SuspectedPart, nowMs: number): boolean {
        const { hostIds } = part;
        return hostIds.size >= 2 || hostIds.has(this.#options.ownHostId) ||
            part.evidence(nowMs).filter(crash => this.#options.hasUpstreamEnded(crash)).length >= MinConfirmedEnds;
    }

    /** @returns Time with completed answers since the part was cleared, in milliseconds. */
    #serviceTimeSince({ clearedAtMs, clearedServiceTimeMs }: SuspectedPart, nowMs: number): number {
        return clearedServiceTimeMs === undefined || this.#lastCompletedAtMs === undefined ?
            nowMs - (clearedAtMs ?? Number.NEGATIVE_INFINITY) :
            this.#serviceTimeAt(nowMs) - clearedServiceTimeMs;
    }

    #serviceTimeAt(nowMs: number): number {
        return this.#serviceTimeMs + Math.min(MaxCompletionPauseMs, nowMs - (this.#lastCompletedAtMs ?? nowMs));
    }

    /** @returns Why the part cannot be what crashes upstreams, whatever the number of crashes. */
    #soundness(part: SuspectedPart, nowMs: number): "completedRecently" | "common" | undefined {
        if (part.clearedAtMs !== undefined && this.#serviceTimeSince(part, nowMs) < CompletionProtectionMs) {
            return "completedRecently";
        }
        return this.#frequency.isCommon(part.partId) ? "common" : undefined;
    }

    /**
     * @returns Whether another part accounts for all crashes of this one and for more, or for the same ones while it was never part
     * of a completed answer or is rarer. A part that is later in the prompt is the rarer one where this host has not seen them.
     */
    #isExplainedByOther(part: SuspectedPart, nowMs: number): boolean {
        for (const other of this.#parts.values()) {
            if (
                other !== part && other.crashCount >= part.crashCount && other.quarantine !== undefined &&
                other.includesCrashesOf(part) && this.#isPreferred(other, part) &&
                this.#soundness(other, nowMs) === undefined
            ) {
                return true;
            }
        }
        return false;
    }

    /** @param other Part that has all crashes of this one. */
    #isPreferred(other: SuspectedPart, part: SuspectedPart): boolean {
        if (other.crashCount > part.crashCount) {
            return true;
        }
        const hasCompleted = part.clearedAtMs !== undefined;
        if (hasCompleted !== (other.clearedAtMs !== undefined)) {
            return hasCompleted;
        }
        const difference = this.#frequency.count(other.partId) - this.#frequency.count(part.partId);
        return difference < 0 || (difference === 0 && other.depth > part.depth);
    }

    #isOnTrial({ trialStartedAtMs }: SuspectedPart, nowMs: number): boolean {
        return trialStartedAtMs !== undefined && nowMs - trialStartedAtMs < TrialTimeoutMs;
    }

    #expire(nowMs: number): void {
        if (nowMs - this.#expiredAtMs < ExpiryIntervalMs) {
            return;
        }
        this.#expiredAtMs = nowMs;
        for (const part of this.#parts.values()) {
            this.#expirePart(part, nowMs);
        }
    }

    #expirePart(part: SuspectedPart, nowMs: number): void {
        if (part.expire(nowMs) && part.reported !== undefined) {
            this.#report("lapsed", part, nowMs);
            part.reported = undefined;
        }
        if (part.isForgotten(nowMs)) {
            this.#parts.delete(part.partId);
        }
    }

    #report(kind: QuarantineDecisionKind, part: SuspectedPart, nowMs: number): void {
        const quarantine = part.quarantine ?? part.reported;
        this.#options.onDecision({
            kind,
            partId: part.partId,
            level: quarantine?.level ?? 0,
            remainingMs: Math.max(0, (quarantine?.untilMs ?? nowMs) - nowMs),
            crashes: part.evidence(nowMs),
            hostIds: [...part.hostIds],
        });
    }
}
