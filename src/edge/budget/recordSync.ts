/** Keeps this host's own record in the store: takes it over from the previous process, then writes what may be spent. */
import type { Counters } from "../../base/counters.js";
import { log } from "../../base/log.js";
import { AbsentVersion, type PlatformStore, type WriteOutcome } from "../../platform/platformStore.js";
import { EdgeCounterNames } from "../metrics.js";
import { type HostBudgetState, HostBudgetStateSchema, type SpendingRecord } from "./spendingRecord.js";
import type { TeamAccounts } from "./teamAccounts.js";
import type { WriteSequencer } from "./writeSequencer.js";

/** Interval of records of a host with traffic, in milliseconds; the limit covers it, see `teamAccount.ts`. */
const RecordIntervalMs = 600;

/** Shortest time between two records, so that a burst of requests causes one write and not one each, in milliseconds. */
const RecordSpacingMs = 50;

/** Pause after the store failed, in milliseconds; retried often enough to be in step a second after it returns. */
const FailurePauseMs = 400;

/** Time without an answer after which a call is not waited for, in milliseconds; a slow store answers in 200 ms. */
export const StalledAfterMs = 300;

/** What the synchronisation is built from. */
export interface RecordSyncDependencies {
    readonly store: PlatformStore;
    /** Key of the host's object. */
    readonly key: string;
    readonly incarnation: string;
    readonly counters: Counters;
    readonly sequencer: WriteSequencer;
    /** @returns Teams whose ledgers this host is to have shares in. */
    requiredLedgers(): readonly string[];
}

/** One writer of a host's record. */
export class RecordSync {
    readonly #dependencies: RecordSyncDependencies;
    readonly #accounts: TeamAccounts;
    /** The object as last seen; `undefined` before it was read, or when a read is needed to tell. */
    #version: number | undefined;
    #stored: HostBudgetState | undefined;
    #hasTakenOver = false;
    #inheritedLedgers: readonly string[] = [];
    #coveredLedgers: ReadonlySet<string> = new Set();
    #isReplaced = false;
    #isSyncing = false;
    #isFailing = false;
    #startedMs = 0;
    #nextWriteMs = 0;
    #writtenMs = Number.NEGATIVE_INFINITY;
    #writtenUsedTokens = 0;

    constructor(dependencies: RecordSyncDependencies, accounts: TeamAccounts) {
        this.#dependencies = dependencies;
        this.#accounts = accounts;
    }

    /** @returns Whether the object is this process's, so that its predecessor's last record is known. */
    get hasTakenOver(): boolean {
        return this.#hasTakenOver;
    }

    /** @returns Teams in whose ledgers an earlier process may have left a share. */
    get inheritedLedgers(): readonly string[] {
        return this.#inheritedLedgers;
    }

    /** @returns Whether the stored object names the team's ledger, so that a successor would find a share in it. */
    isLedgerListed(team: string): boolean {
        return this.#hasTakenOver && this.#coveredLedgers.has(team);
    }

    /** @returns Whether the newest call to the store failed, or has waited for its answer for long. */
    get isFailing(): boolean {
        return this.#isFailing || (this.#isSyncing && this.#accounts.nowMs - this.#startedMs > StalledAfterMs);
    }

    /** @returns The last record of an earlier process that had shares. */
    get predecessorRecord(): SpendingRecord | undefined {
        return this.#stored?.record?.incarnation === this.#dependencies.incarnation ? undefined : this.#stored?.record;
    }

    /** @param mayRecord Whether this process has shares; before that it only takes the object over. */
    tick(mayRecord: boolean): void {
        if (this.#isSyncing || this.#isReplaced || this.#accounts.nowMs < this.#nextWriteMs) {
            return;
        }
        if (!this.#hasTakenOver || this.#hasUncovered || (mayRecord && this.#isDue)) {
            void this.#sync(mayRecord);
        }
    }

    /** The store answers again: a record that is written at once bounds what the outage puts at risk. */
    onStoreReconnected(): void {
        this.#nextWriteMs = this.#accounts.nowMs;
        this.#writtenMs = Number.NEGATIVE_INFINITY;
    }

    get #hasUncovered(): boolean {
        return this.#dependencies.requiredLedgers().some(team => !this.#coveredLedgers.has(team));
    }

    get #isDue(): boolean {
        const hasSpent = this.#accounts.usedTokens !== this.#writtenUsedTokens;
        return this.#accounts.needsNewRecord ||
            (hasSpent && this.#accounts.nowMs - this.#writtenMs >= RecordIntervalMs);
    }

    async #sync(mayRecord: boolean): Promise<void> {
        this.#isSyncing = true;
        this.#startedMs = this.#accounts.nowMs;
        try {
            await (this.#hasTakenOver && mayRecord ? this.#write() : this.#takeOver());
        }
        catch (error) {
            this.#noteFailure(String(error));
        }
        finally {
            this.#isSyncing = false;
        }
    }

    /** Makes the object this process's; the predecessor's record stays until its shares are closed. */
    async #takeOver(): Promise<void> {
        if (this.#version === undefined && !await this.#read()) {
            return;
        }
        if (this.#hasTakenOver && this.#isReplacedBy(this.#stored?.owner)) {
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
            this.#stored = object;
            this.#hasTakenOver = true;
            this.#coveredLedgers = new Set(ledgers);
            return;
        }
        this.#version = undefined;
        if (outcome.status !== "conflict") {
            this.#noteFailure(outcome.reason);
        }
    }

    get #allLedgers(): string[] {
        return [
            ...new Set([...this.#inheritedLedgers, ...this.#coveredLedgers, ...this.#dependencies.requiredLedgers()]),
        ];
    }

    async #read(): Promise<boolean> {
        const outcome = await this.#dependencies.store.get(this.#dependencies.key);
        if (outcome.status === "unavailable") {
            this.#noteFailure(outcome.reason);
            return false;
        }
        if (outcome.status === "absent") {
            this.#version = AbsentVersion;
            return true;
        }
        return this.#adopt(outcome.object.value, outcome.object.version);
    }

    #adopt(value: unknown, version: number): boolean {
        const object = HostBudgetStateSchema.safeParse(value);
        if (!object.success) {
            this.#noteFailure(`the host's record cannot be read: ${object.error.message}`);
            return false;
        }
        this.#version = version;
        this.#stored = object.data;
        return true;
    }

    async #write(): Promise<void> {
        if (this.#version === undefined && !await this.#resolve()) {
            return;
        }
        const date = this.#dependencies.sequencer.nextTimestamp();
        const createdAtMs = this.#dependencies.sequencer.createdAtMs(date)!;
        const usedTokens = this.#accounts.usedTokens;
        const teams: SpendingRecord["teams"] = {};
        for (const account of this.#accounts.all) {
            const bound = account.planBound(account.grantedTokens, this.#accounts.nowMs);
            account.addProposal({ ...bound, sequence: date.sequence, createdAtMs });
            teams[account.name] = bound;
        }
        const ledgers = this.#allLedgers;
        const object: HostBudgetState = { owner: this.#dependencies.incarnation, ledgers, record: { ...date, teams } };
        const outcome = await this.#dependencies.store.put(
            this.#dependencies.key,
            object,
            this.#version ?? AbsentVersion,
        );
        this.#handle(outcome, object, usedTokens);
    }

    #handle(outcome: WriteOutcome, object: HostBudgetState, usedTokens: number): void {
        this.#nextWriteMs = this.#accounts.nowMs + RecordSpacingMs;
        if (outcome.status === "applied") {
            this.#dependencies.counters.add(EdgeCounterNames.budgetRecords);
            this.#version = outcome.version;
            this.#stored = object;
            this.#writtenMs = this.#accounts.nowMs;
            this.#writtenUsedTokens = usedTokens;
            this.#coveredLedgers = new Set(object.ledgers);
            this.#acknowledge(object);
            this.#noteRegained();
        }
        else if (outcome.status === "conflict") {
            // An earlier write without an answer took effect; the next read tells which.
            this.#withdraw(object.record!.sequence);
            this.#version = undefined;
        }
        else {
            if (outcome.status === "refused") {
                this.#withdraw(object.record!.sequence);
            }
            else {
                this.#version = undefined;
            }
            this.#noteFailure(outcome.reason);
        }
    }

    /** Finds out which of the writes without an answer took effect; the others depend on a version that is gone. */
    async #resolve(): Promise<boolean> {
        if (!await this.#read()) {
            return false;
        }
        if (this.#stored === undefined || this.#isReplacedBy(this.#stored.owner)) {
            return false;
        }
        this.#acknowledge(this.#stored);
        return true;
    }

    #isReplacedBy(owner: string | undefined): boolean {
        this.#isReplaced = owner !== this.#dependencies.incarnation;
        if (this.#isReplaced) {
            log.error("another process writes this host's record", { owner });
        }
        return this.#isReplaced;
    }

    /**
     * Takes over what the store holds. A write that is still on its way may take effect only if its version holds, so
     * spending keeps to it until a later write has changed the version.
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

    #withdraw(sequence: number): void {
        for (const account of this.#accounts.all) {
            account.discardProposal(sequence);
        }
    }

    #noteFailure(reason: string): void {
        this.#nextWriteMs = this.#accounts.nowMs + FailurePauseMs;
        if (!this.#isFailing) {
            this.#isFailing = true;
            log.warn("spending record lost", {
                reason,
                recordAgeMs: Math.round(this.#accounts.nowMs - this.#writtenMs),
            });
        }
    }

    #noteRegained(): void {
        if (this.#isFailing) {
            this.#isFailing = false;
            log.info("spending record regained", { version: this.#version });
        }
    }
}
