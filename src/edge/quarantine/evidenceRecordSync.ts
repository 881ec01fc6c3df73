/** Keeps the record of evidence in the store up to date and reads it at the start of the process. */
import { describeError } from "../../base/callbackGuard.js";
import type { Clock } from "../../base/clock.js";
import { log } from "../../base/log.js";
import { AbsentVersion, type PlatformStore, type StoredObject } from "../../platform/platformStore.js";
import {
    encodeEvidenceRecord,
    readCrashes,
    readEvidenceRecord,
    type RecordedPart,
    recordSignature,
    updateRecordedPart,
} from "./evidenceRecord.js";
import type { QuarantineTracker } from "./quarantineTracker.js";
import type { EvidenceToRecord } from "./quarantineTypes.js";
import { crashKey } from "./suspectedPart.js";

/** Interval at which the evidence is compared with the record, in milliseconds. */
const CheckIntervalMs = 100;

/**
 * Time after which the host that is responsible for a part writes what the witnesses of a crash have not written, in milliseconds:
 * far more than a write takes.
 */
const TakeOverDelayMs = 500;

/** Pause after a failed call to the store, in milliseconds. */
const RetryDelayMs = 400;

/**
 * Time without an answer of the store after which requests are served although the record is not read, in milliseconds. The
 * configuration comes from the same store, so that both are missing only for moments.
 */
const MaxReadWaitMs = 3_000;

/** Minimum time between two reads or writes, in milliseconds: several crashes at a time are written together. */
const MinSyncIntervalMs = 200;

/** Maximum number of writes in one go that lose against those of other hosts. */
const MaxConflicts = 4;

/** The methods of a {@link QuarantineTracker} that the record uses. */
export type RecordTracker = Pick<QuarantineTracker, "evidenceToRecord" | "recordStoredEvidence" | "isCounted">;

/** Collaborators of {@link EvidenceRecordSync}. */
export interface EvidenceRecordSyncDependencies {
    readonly store: PlatformStore;
    /** Key of the record, the same for all hosts. */
    readonly key: string;
    readonly clock: Clock;
    readonly tracker: RecordTracker;
    /** @returns Whether this host, the only one of the fleet, is responsible for the part. */
    isResponsible(partId: string): boolean;
}

/**
 * Writes the parts with more than one crash to one object for the whole fleet. A host writes the crashes that it saw; the host
 * responsible for a part writes what is missing then, and removes parts that turned out sound or common.
 */
export class EvidenceRecordSync {
    readonly #dependencies: EvidenceRecordSyncDependencies;
    /** The record as this host last read or wrote it. */
    #known: readonly RecordedPart[] = [];
    /** Version of the stored object; `undefined` when the object must be read first. */
    #version: number | undefined;
    #isRead = false;
    /** Whether the record is read again whatever the evidence. */
    #isSyncDue = true;
    #readDueMs: number | undefined;
    #isSyncing = false;
    #isFailing = false;
    #nextCheckMs = Number.NEGATIVE_INFINITY;
    #takeOverAtMs: number | undefined;

    constructor(dependencies: EvidenceRecordSyncDependencies) {
        this.#dependencies = dependencies;
    }

    /** @returns Whether requests may be judged: the record has been read, or the store has not answered for too long. */
    get isInformed(): boolean {
        return this.#isRead || (this.#readDueMs !== undefined && this.#nowMs >= this.#readDueMs);
    }

    /** Starts to read the record. */
    start(): void {
        this.#readDueMs = this.#nowMs + MaxReadWaitMs;
        void this.#sync();
    }

    /** Reads or writes the record when that is due; called every few tens of milliseconds. */
    tick(): void {
        const nowMs = this.#nowMs;
        if (this.#isSyncing || nowMs < this.#nextCheckMs) {
            return;
        }
        this.#nextCheckMs = nowMs + CheckIntervalMs;
        if (this.#isSyncDue) {
            this.#version = undefined;
            void this.#sync();
            return;
        }
        const change = this.#findChange();
        if (change === "none") {
            this.#takeOverAtMs = undefined;
            return;
        }
        this.#takeOverAtMs ??= nowMs + TakeOverDelayMs;
        if (change === "witnessed") {
            void this.#sync();
        }
        else if (nowMs >= this.#takeOverAtMs) {
            // A witness has probably written it, which only a read shows.
            this.#version = undefined;
            void this.#sync();
        }
    }

    /** Must be called when the store has come back from a copy, which may lack the record or hold an earlier one. */
    onStoreRestored(): void {
        // A write in progress may have reached the store before it was replaced.
        this.#isSyncDue ||= this.#isSyncing ||
            this.#known.some(({ partId }) => this.#dependencies.isResponsible(partId));
        this.#version = undefined;
        this.#known = [];
    }

    get #nowMs(): number {
        return this.#dependencies.clock.monotonicMs();
    }

    #evidenceToRecord(): readonly EvidenceToRecord[] {
        return this.#dependencies.tracker.evidenceToRecord(this.#nowMs);
    }

    /** @returns Whether the evidence differs from the record in a way that this host has to write, at once or after others had the time to. */
    #findChange(): "none" | "witnessed" | "takeOver" {
        const evidence = this.#evidenceToRecord();
        const { isResponsible } = this.#dependencies;
        const knownCrashes = new Set(
            this.#known.flatMap(({ partId, crashes }) => crashes.map(crash => keyOf(partId, crash))),
        );
        let change: "none" | "takeOver" = "none";
        for (const { partId, crashes, witnessedCrashes } of evidence) {
            if (witnessedCrashes.some(crash => !knownCrashes.has(keyOf(partId, crash)))) {
                return "witnessed";
            }
            if (crashes.some(crash => !knownCrashes.has(keyOf(partId, crash))) && isResponsible(partId)) {
                change = "takeOver";
            }
        }
        const partIds = new Set(evidence.map(({ partId }) => partId));
        const isObsolete = this.#known.some(({ partId }) => !partIds.has(partId) && isResponsible(partId));
        return isObsolete ? "takeOver" : change;
    }

    async #sync(): Promise<void> {
        this.#isSyncing = true;
        try {
            const problem = await this.#readAndWrite();
            this.#recordResult(problem);
        }
        catch (error) {
            this.#recordResult(describeError(error));
        }
        finally {
            this.#isSyncing = false;
        }
    }

    #recordResult(problem: string | undefined): void {
        this.#nextCheckMs = this.#nowMs + (problem === undefined ? MinSyncIntervalMs : RetryDelayMs);
        if (problem !== undefined) {
            this.#version = undefined;
        }
        if ((problem !== undefined) !== this.#isFailing) {
            this.#isFailing = problem !== undefined;
            log.info(
                this.#isFailing ? "evidence of crashes cannot be recorded" : "evidence of crashes is recorded again",
                {
                    problem,
                    isRead: this.#isRead,
                },
            );
        }
    }

    /** @returns Why the store could not be read or written; `undefined` when the record is up to date. */
    async #readAndWrite(): Promise<string | undefined> {
        const { store, key } = this.#dependencies;
        let stored = this.#known;
        for (let conflicts = 0; conflicts <= MaxConflicts; conflicts++) {
            if (this.#version === undefined) {
                const read = await store.get(key);
                if (read.status === "unavailable") {
                    return read.reason;
                }
                stored = this.#takeStored(read.status === "found" ? read.object : undefined);
            }
            const merged = this.#merge(stored);
            if (recordSignature(merged) === recordSignature(stored)) {
                this.#known = merged;
                return undefined;
            }
            const outcome = await store.put(key, encodeEvidenceRecord(merged), this.#version ?? AbsentVersion);
            if (outcome.status === "applied") {
                this.#version = outcome.version;
                this.#known = merged;
                log.info("evidence of crashes recorded", { parts: merged.map(({ partId }) => partId).join(",") });
                return undefined;
            }
            if (outcome.status !== "conflict") {
                return outcome.reason;
            }
            this.#version = undefined;
            if (outcome.current !== undefined) {
                stored = this.#takeStored(outcome.current);
            }
        }
        return "other hosts wrote the record at the same time";
    }

    /** Records the evidence in the stored object. @returns Its parts. */
    #takeStored(object: StoredObject | undefined): RecordedPart[] {
        const { tracker, clock } = this.#dependencies;
        const stored = object === undefined ? [] : readEvidenceRecord(object.value);
        this.#version = object?.version ?? AbsentVersion;
        for (const part of stored) {
            const { partId, depth, hostIds } = part;
            // The age of a crash that this host knows is more exact than one by the clock of another host.
            const crashes = readCrashes(part, clock.wallMs()).filter(crash => !tracker.isCounted(partId, crash));
            if (crashes.length > 0) {
                tracker.recordStoredEvidence({ partId, depth, crashes }, hostIds, this.#nowMs);
            }
        }
        if (!this.#isRead) {
            log.info("evidence of crashes read", { parts: stored.map(({ partId }) => partId).join(",") });
        }
        this.#isRead = true;
        this.#isSyncDue = false;
        return stored;
    }

    /**
     * @returns The parts to store: those of this host, and the stored ones that it has not found sound. The host responsible for a part
     * also decides whether it is common.
     */
    #merge(stored: readonly RecordedPart[]): readonly RecordedPart[] {
        const { tracker, clock, isResponsible } = this.#dependencies;
        const wallMs = clock.wallMs();
        const merged = new Map<string, RecordedPart>();
        for (const part of stored) {
            const crashes = part.crashes.filter(crash => tracker.isCounted(part.partId, crash));
            if (crashes.length > 0) {
                merged.set(part.partId, { ...part, crashes });
            }
        }
        const evidence = new Map(this.#evidenceToRecord().map(part => [part.partId, part]));
        for (const partId of merged.keys()) {
            if (!evidence.has(partId) && isResponsible(partId)) {
                merged.delete(partId);
            }
        }
        for (const { partId, depth, hostIds, crashes } of evidence.values()) {
            const own = crashes.map(({ upstreamId, startedAtMs, ageMs }) => (
                { upstreamId, startedAtMs, crashedAtMs: Math.round(wallMs - ageMs) }
            ));
            merged.set(partId, updateRecordedPart(merged.get(partId), { partId, depth, hostIds, crashes: own }));
        }
        return [...merged.values()];
    }
}

/** @returns Key of a crash that is counted against a part. */
function keyOf(partId: string, crash: Parameters<typeof crashKey>[0]): string {
    return `${partId} ${crashKey(crash)}`;
}
