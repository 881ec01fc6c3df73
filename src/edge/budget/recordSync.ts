/**
 * Keeps this host's own record in the store: takes it over from the previous process, then writes how much this process may
 * spend.
 */
import type { Counters } from "../../base/counters.js";
import { log } from "../../base/log.js";
import { AbsentVersion, type PlatformStore, type WriteOutcome } from "../../platform/platformStore.js";
import { historyOf } from "../../platform/storeHistory.js";
import { EdgeCounterNames } from "../metrics.js";
import { type HostBudgetState, HostBudgetStateSchema, type SpendingRecord } from "./spendingRecord.js";
import type { TeamAccounts } from "./teamAccounts.js";
import type { WriteSequencer } from "./writeSequencer.js";

/** Interval of records of a host with traffic, in milliseconds. The limit of a record covers it; see `teamAccount.ts`. */
const RecordIntervalMs = 600;

/** Minimum time between two records, in milliseconds, so that a burst of requests causes one write and not one each. */
const MinRecordIntervalMs = 50;

/** Delay before a retry after the store failed, in milliseconds; short enough to be in sync a second after it recovers. */
const RetryDelayMs = 400;

/**
 * Time without a response after which a call to the store counts as failing, in milliseconds. A slow store responds in
 * 200 ms.
 */
export const StalledAfterMs = 300;

/** Collaborators and settings of a {@link RecordSync}. */
export interface RecordSyncDependencies {
    readonly store: PlatformStore;
    /** Key of the host's object in the store. */
    readonly key: string;
    readonly incarnation: string;
    readonly counters: Counters;
    readonly sequencer: WriteSequencer;
    /** @returns Teams in whose ledgers this host needs a share. */
    requiredLedgers(): readonly string[];
}

/**
 * Reads and writes this host's object in the store, which contains its record and the list of ledgers in which it may have
 * shares. Stops writing for good when another process has taken the object over.
 */
export class RecordSync {
    readonly #dependencies: RecordSyncDependencies;
    readonly #accounts: TeamAccounts;
    /** Version of the stored object; `undefined` when the object must be read first. */
    #version: number | undefined;
    #stored: HostBudgetState | undefined;
    #hasTakenOver = false;
    #inheritedLedgers: readonly string[] = [];
    #listedLedgers: ReadonlySet<string> = new Set();
    #isReplaced = false;
    /** History of the store in which this process has last written the object. */
    #ownedHistory = 0;
    #isSyncing = false;
    #isFailing = false;
    #syncStartedMs = 0;
    #nextWriteMs = 0;
    #lastWrittenMs = Number.NEGATIVE_INFINITY;
    #lastWrittenUsedTokens = 0;

    constructor(dependencies: RecordSyncDependencies, accounts: TeamAccounts) {
        this.#dependencies = dependencies;
        this.#accounts = accounts;
    }

    /** @returns Whether this process owns the object, so that the last record of its predecessor is known. */
    get hasTakenOver(): boolean {
        return this.#hasTakenOver;
    }

    /** @returns Teams in whose ledgers an earlier process of this host may have left a share. */
    get inheritedLedgers(): readonly string[] {
        return this.#inheritedLedgers;
    }

    /** @returns Whether the stored object lists the team's ledger, so that a successor would find this host's share in it. */
    isLedgerListed(team: string): boolean {
        return this.#hasTakenOver && this.#listedLedgers.has(team);
    }

    /** @returns Whether the latest call to the store failed, or has had no response for {@link StalledAfterMs}. */
    get isFailing(): boolean {
        return this.#isFailing || (this.#isSyncing && this.#accounts.nowMs - this.#syncStartedMs > StalledAfterMs);
    }

    /** @returns The last record of an earlier process that had shares; `undefined` once this process has written its own. */
    get predecessorRecord(): SpendingRecord | undefined {
        return this.#stored?.record?.incarnation === this.#dependencies.incarnation ? undefined : this.#stored?.record;
    }

    /**
     * Writes the object if that is due. Must be called every few tens of milliseconds.
     * @param canRecord Whether this process may write its own record; otherwise it only takes the object over and lists
     * ledgers in it.
     */
    tick(canRecord: boolean): void {
        if (this.#isSyncing || this.#isReplaced || this.#accounts.nowMs < this.#nextWriteMs) {
            return;
        }
        if (!this.#hasTakenOver || this.#hasUnlistedLedgers || (canRecord && this.#isRecordDue)) {
            void this.#sync(canRecord);
        }
    }

    /** Must be called when the store can be reached again: a record without delay limits what the outage puts at risk. */
    onStoreReconnected(): void {
        this.#nextWriteMs = this.#accounts.nowMs;
        this.#lastWrittenMs = Number.NEGATIVE_INFINITY;
    }

    /** Must be called when the store has come back from a copy, which may hold an earlier object of this host. */
    onStoreRestored(): void {
        this.#version = undefined;
        this.#listedLedgers = new Set();
        this.onStoreReconnected();
    }

    get #hasUnlistedLedgers(): boolean {
        return this.#dependencies.requiredLedgers().some(team => !this.#listedLedgers.has(team));
    }

    get #isRecordDue(): boolean {
        const hasSpent = this.#accounts.usedTokens !== this.#lastWrittenUsedTokens;
        return this.#accounts.needsNewRecord ||
            (hasSpent && this.#accounts.nowMs - this.#lastWrittenMs >= RecordIntervalMs);
    }

    async #sync(canRecord: boolean): Promise<void> {
        this.#isSyncing = true;
        this.#syncStartedMs = this.#accounts.nowMs;
        try {
            await (this.#hasTakenOver && canRecord ? this.#write() : this.#takeOver());
        }
        catch (error) {
            this.#recordFailure(String(error));
        }
        finally {
            this.#isSyncing = false;
        }
    }

    /** Makes this process the owner of the object. The predecessor's record is kept until its shares are closed. */
    async #takeOver(): Promise<void> {
        if (this.#version === undefined && !await this.#read()) {
            return;
        }
        if (this.#hasTakenOver && this.#checkReplaced(this.#stored?.owner)) {
            return;
        }
        if (!this.#hasTakenOver) {
            const recorded = Object.keys(this.#stored?.record?.teams ?? {});
            this.#inheritedLedgers = [...new Set([...this.#stored?.ledgers ?? [], ...recorded])];
        }
        const ledgers = this.#allLedgers;
        const object: HostBudgetState = {
            owner: this.#dependencies.incarnation,
            ledgers,
            record: this.#stored?.record,
        };
        const outcome = await this.#dependencies.store.put(
            this.#dependencies.key,
            object,
            this.#version ?? AbsentVersion,
        );
        if (outcome.status === "applied") {
            this.#version = outcome.version;
            this.#ownedHistory = historyOf(outcome.version);
            this.#stored = object;
            this.#hasTakenOver = true;
            this.#listedLedgers = new Set(ledgers);
            return;
        }
        this.#version = undefined;
        if (outcome.status !== "conflict") {
            this.#recordFailure(outcome.reason);
        }
    }

    get #allLedgers(): string[] {
        return [
            ...new Set([...this.#inheritedLedgers, ...this.#listedLedgers, ...this.#dependencies.requiredLedgers()]),
        ];
    }

    async #read(): Promise<boolean> {
        const outcome = await this.#dependencies.store.get(this.#dependencies.key);
        if (outcome.status === "unavailable") {
            this.#recordFailure(outcome.reason);
            return false;
        }
        if (outcome.status === "absent") {
            this.#version = AbsentVersion;
            return true;
        }
        return this.#parseAndApply(outcome.object.value, outcome.object.version);
    }

    #parseAndApply(value: unknown, version: number): boolean {
        const object = HostBudgetStateSchema.safeParse(value);
        if (!object.success) {
            this.#recordFailure(`the host's record cannot be read: ${object.error.message}`);
            return false;
        }
        this.#version = version;
        this.#stored = object.data;
        return true;
    }

    async #write(): Promise<void> {
        if (this.#version === undefined && !await this.#resolveUnknownWrites()) {
            return;
        }
        const timestamp = this.#dependencies.sequencer.nextTimestamp();
        const createdAtMs = this.#dependencies.sequencer.createdAtMs(timestamp)!;
        const usedTokens = this.#accounts.usedTokens;
        const teams: SpendingRecord["teams"] = {};
        for (const account of this.#accounts.all) {
            const bound = account.planBound(account.grantedTokens, this.#accounts.nowMs);
            account.addProposal({ ...bound, sequence: timestamp.sequence, createdAtMs });
            teams[account.name] = bound;
        }
        const ledgers = this.#allLedgers;
        const object: HostBudgetState = {
            owner: this.#dependencies.incarnation,
            ledgers,
            record: { ...timestamp, teams },
        };
        const outcome = await this.#dependencies.store.put(
            this.#dependencies.key,
            object,
            this.#version ?? AbsentVersion,
        );
        this.#handleWrite(outcome, object, usedTokens);
    }

    #handleWrite(outcome: WriteOutcome, object: HostBudgetState, usedTokens: number): void {
        this.#nextWriteMs = this.#accounts.nowMs + MinRecordIntervalMs;
        if (outcome.status === "applied") {
            this.#dependencies.counters.add(EdgeCounterNames.budgetRecords);
            this.#version = outcome.version;
            this.#ownedHistory = historyOf(outcome.version);
            this.#stored = object;
            this.#lastWrittenMs = this.#accounts.nowMs;
            this.#lastWrittenUsedTokens = usedTokens;
            this.#listedLedgers = new Set(object.ledgers);
            this.#acknowledge(object);
            this.#recordRecovery();
        }
        else if (outcome.status === "conflict") {
            // An earlier write without a response took effect; the next read shows which one.
            this.#discardProposal(object.record!.sequence);
            this.#version = undefined;
        }
        else {
            if (outcome.status === "refused") {
                this.#discardProposal(object.record!.sequence);
            }
            else {
                this.#version = undefined;
            }
            this.#recordFailure(outcome.reason);
        }
    }

    /** Reads which of the writes without a response took effect; the others expect a version that no longer exists. */
    async #resolveUnknownWrites(): Promise<boolean> {
        if (!await this.#read()) {
            return false;
        }
        if (this.#stored === undefined || this.#checkReplaced(this.#stored.owner)) {
            return false;
        }
        this.#acknowledge(this.#stored);
        return true;
    }

    /**
     * Checks whether another process owns the stored object; if so, this one stops writing for good. The owner in a copy from which the
     * store has come back is an earlier process.
     */
    #checkReplaced(owner: string | undefined): boolean {
        const isOfCopy = historyOf(this.#version ?? 0) > this.#ownedHistory;
        this.#isReplaced = owner !== this.#dependencies.incarnation && !isOfCopy;
        if (this.#isReplaced) {
            log.error("another process writes this host's record", { owner });
        }
        return this.#isReplaced;
    }

    /**
     * Applies the stored record to the accounts. A write in flight can take effect only while the version that it expects is
     * current, so spending stays within its bound until a later write has changed the version.
     */
    #acknowledge({ record }: HostBudgetState): void {
        const createdAtMs = this.#dependencies.sequencer.createdAtMs(record);
        if (record === undefined || createdAtMs === undefined) {
            return;
        }
        for (const account of this.#accounts.all) {
            const bound = record.teams[account.name];
            if (bound !== undefined) {
                account.acknowledgeBound({ ...bound, sequence: record.sequence, createdAtMs });
            }
            account.serveWaiting(this.#accounts.nowMs);
        }
    }

    #discardProposal(sequence: number): void {
        for (const account of this.#accounts.all) {
            account.discardProposal(sequence);
        }
    }

    #recordFailure(reason: string): void {
        this.#nextWriteMs = this.#accounts.nowMs + RetryDelayMs;
        if (!this.#isFailing) {
            this.#isFailing = true;
            log.warn("spending record lost", {
                reason,
                recordAgeMs: Math.round(this.#accounts.nowMs - this.#lastWrittenMs),
            });
        }
    }

    #recordRecovery(): void {
        if (this.#isFailing) {
            this.#isFailing = false;
            log.info("spending record regained", { version: this.#version });
        }
    }
}
