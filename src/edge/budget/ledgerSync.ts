/**
 * Keeps the stored ledger of one team and this host's account in sync: reads the ledger, plans this host's share, writes it,
 * and finds out whether writes without a response took effect.
 */
import type { Counters } from "../../base/counters.js";
import { log } from "../../base/log.js";
import { AbsentVersion, type PlatformStore, type WriteOutcome } from "../../platform/platformStore.js";
import { historyOf } from "../../platform/storeHistory.js";
import { EdgeCounterNames } from "../metrics.js";
import {
    closePredecessorShares,
    EmptyLedger,
    EmptyTeamLedger,
    type HostShare,
    type Ledger,
    LedgerSchema,
    type ProcessStart,
    type TeamLedger,
} from "./ledger.js";
import { type BegunHistory, LedgerHistory } from "./ledgerHistory.js";
import { logClosedShares, logWrittenShares } from "./ledgerLog.js";
import { type RecordSync, StalledAfterMs } from "./recordSync.js";
import { planGrant } from "./sharePlan.js";
import type { TeamAccount } from "./teamAccount.js";
import type { TeamAccounts } from "./teamAccounts.js";
import type { WriteSequencer } from "./writeSequencer.js";

/**
 * Interval of writes by a host with traffic, in milliseconds. The team's other home host needs the demand in them to divide
 * the budget.
 */
const ReportIntervalMs = 5_000;

/**
 * Interval of writes without traffic by a host that is a home of the team or holds unused tokens, in milliseconds; by them it
 * learns the demand at the other home host.
 */
const IdleReportIntervalMs = 8_000;

/** Delay before a retry after the store failed, in milliseconds; short enough to be in sync a second after it recovers. */
const RetryDelayMs = 400;

/** Minimum time between two writes, in milliseconds, so that a burst of requests causes one write and not one each. */
const MinWriteIntervalMs = 200;

/** Interval at which a host checks whether its grants still match their targets, in milliseconds. */
const PlanCheckIntervalMs = 1_000;

/**
 * Age up to which a ledger without unallocated tokens is not written again for requests that wait, in milliseconds; other hosts may
 * have returned tokens since.
 */
const MaxPlannedAgeMs = 1_000;

/** Consecutive conflicts after which a write is postponed. */
const MaxConflicts = 6;

/** Collaborators and settings of a {@link LedgerSync}. */
export interface LedgerSyncDependencies {
    readonly store: PlatformStore;
    readonly counters: Counters;
    /** Key of the team's ledger in the store. */
    readonly key: string;
    readonly hostId: string;
    readonly incarnation: string;
    /** `IP:port` at which this host receives messages of other hosts; written to the ledger. */
    readonly peerAddress: string;
    /** When this process started. */
    readonly processStart: ProcessStart;
    readonly team: string;
    /** See {@link LedgerHistory}. */
    readonly begunHistory: BegunHistory | undefined;
    /** @returns Hosts that should hold the team's tokens. */
    homeHostIds(): readonly string[];
    /** @returns Prepaid tokens of a team by the configuration in force; `undefined` for no limit. */
    prepaidTokens(team: string): number | undefined;
}

/** The ledger as last read or written, with its version; version 0 means that it does not exist yet. */
interface KnownLedger {
    readonly ledger: Ledger;
    readonly version: number;
}

/**
 * Reads and writes one team's ledger for this host. Until the store acknowledges a write, the account allows only what
 * both the old and the new ledger allow.
 */
export class LedgerSync {
    readonly #dependencies: LedgerSyncDependencies;
    /** Contains only the account of this team. */
    readonly #accounts: TeamAccounts;
    readonly #sequencer: WriteSequencer;
    readonly #recordSync: RecordSync;
    #known: KnownLedger | undefined;
    /** Version that writes without a response expect: they may still take effect until the version changes. */
    #unresolvedVersion: number | undefined;
    /** Sequence numbers of writes of which it is not known whether they take effect. */
    #unresolvedSequences: number[] = [];
    readonly #history: LedgerHistory;
    /** Sequence number of the latest write that the store has acknowledged. */
    #acknowledgedSequence = 0;
    /** Whether the store may lack this host's share, as it has come back from a copy. */
    #isRestatementDue = false;
    #hasInheritedDemand = false;
    #isEstablished = false;
    #isClosing = false;
    #isSyncing = false;
    /** Resolves when the latest sync has ended. */
    #runningSync: Promise<void> = Promise.resolve();
    #isFailing = false;
    #syncStartedMs = 0;
    #nextWriteMs = 0;
    #nextPlanMs = 0;
    #lastReportedMs = Number.NEGATIVE_INFINITY;
    #lastReadMs = Number.NEGATIVE_INFINITY;
    #reportedUsedTokens = 0;

    constructor(
        dependencies: LedgerSyncDependencies,
        accounts: TeamAccounts,
        sequencer: WriteSequencer,
        recordSync: RecordSync,
    ) {
        this.#dependencies = dependencies;
        this.#history = new LedgerHistory(dependencies.begunHistory);
        this.#accounts = accounts;
        this.#sequencer = sequencer;
        this.#recordSync = recordSync;
    }

    /** @returns The ledger as last read or written; `undefined` when it must be read first. */
    get lastKnown(): KnownLedger | undefined {
        return this.#known;
    }

    /** @returns Whether the store has acknowledged a share of this incarnation. */
    get isEstablished(): boolean {
        return this.#isEstablished;
    }

    /** @returns Whether the latest call to the store failed, or has had no response for {@link StalledAfterMs}. */
    get isFailing(): boolean {
        return this.#isFailing || (this.#isSyncing && this.#accounts.nowMs - this.#syncStartedMs > StalledAfterMs);
    }

    /** @returns Time since the ledger was last read or written, in milliseconds. */
    get ageMs(): number {
        return this.#accounts.nowMs - this.#lastReadMs;
    }

    /** Writes the ledger if a write is due. Must be called every few tens of milliseconds. */
    tick(): void {
        if (
            this.#isSyncing || !this.#recordSync.isLedgerListed(this.#dependencies.team) ||
            this.#accounts.nowMs < this.#nextWriteMs
        ) {
            return;
        }
        if (
            !this.#isEstablished || this.#isClosing || this.#isRestorationDue || this.#isLargerGrantDue() ||
            this.#isReportDue() ||
            this.#isPlanDue()
        ) {
            this.#runningSync = this.#sync();
        }
    }

    /** @returns Whether the unused tokens are being returned. */
    get isClosing(): boolean {
        return this.#isClosing;
    }

    /** Must be called when the store can be reached again: a write without delay limits what the outage puts at risk. */
    onStoreReconnected(): void {
        this.#nextWriteMs = this.#accounts.nowMs;
    }

    /**
     * Must be called when the store has come back from a copy: this host then states its share again.
     * @param history The store's new history.
     */
    onStoreRestored(history: number): void {
        if (this.#history.begin(history, this.#accounts.nowMs)) {
            this.#keepGrants();
        }
        this.#nextWriteMs = this.#accounts.nowMs;
    }

    /** Keeps the grants of before a restore: the copy may have larger or smaller ones. */
    #keepGrants(): void {
        this.#known = undefined;
        this.#isRestatementDue = this.#isEstablished;
        this.#accounts.all.forEach(account => account.acknowledgeGrant(account.grantedTokens));
    }

    /** Returns all unused tokens to the ledger; makes one attempt, after a sync that is running. */
    async close(): Promise<void> {
        this.#isClosing = true;
        await this.#runningSync;
        await this.#sync();
    }

    /** @returns Whether the store lacks what this host knows, as it has come back from a copy. */
    get #isRestorationDue(): boolean {
        const { hostId } = this.#dependencies;
        return this.#isRestatementDue || (this.#known !== undefined &&
            this.#history.isClosedTokensDue(this.#known.ledger, hostId, this.#accounts.nowMs));
    }

    /** @returns Whether this host holds unused tokens, or is a home of the team. */
    get #isHolder(): boolean {
        return this.#accounts.all.some(({ grantedTokens, usedTokens }) => grantedTokens > usedTokens) ||
            this.#dependencies.homeHostIds().includes(this.#dependencies.hostId);
    }

    /**
     * @returns Whether requests wait for a larger grant and a write may provide it: the ledger has unallocated tokens, or is not
     * known well enough to tell.
     */
    #isLargerGrantDue(): boolean {
        if (!this.#accounts.needsLargerGrant) {
            return false;
        }
        if (this.#known === undefined || this.ageMs >= MaxPlannedAgeMs) {
            return true;
        }
        const { ledger } = this.#known;
        return this.#accounts.all.some(account => this.#planGrant(ledger, account) > account.grantedTokens);
    }

    #isReportDue(): boolean {
        const ageMs = this.#accounts.nowMs - this.#lastReportedMs;
        return (ageMs >= IdleReportIntervalMs && this.#isHolder) ||
            (ageMs >= ReportIntervalMs && this.#accounts.usedTokens !== this.#reportedUsedTokens);
    }

    /** @returns Whether, by the last known ledger, the planned grant differs from the current one. */
    #isPlanDue(): boolean {
        const nowMs = this.#accounts.nowMs;
        if (nowMs < this.#nextPlanMs || this.#known === undefined) {
            return false;
        }
        this.#nextPlanMs = nowMs + PlanCheckIntervalMs;
        const { ledger } = this.#known;
        return this.#accounts.all.some(account => this.#planGrant(ledger, account) !== account.grantedTokens);
    }

    async #sync(): Promise<void> {
        this.#isSyncing = true;
        this.#syncStartedMs = this.#accounts.nowMs;
        try {
            await this.#syncOnce();
        }
        catch (error) {
            this.#recordFailure(String(error));
        }
        finally {
            this.#isSyncing = false;
        }
    }

    async #syncOnce(): Promise<void> {
        for (let conflicts = 0; conflicts < MaxConflicts; conflicts++) {
            if (this.#known === undefined && !await this.#read()) {
                return;
            }
            const known = this.#known ?? { ledger: EmptyLedger, version: 0 };
            const next = this.#plan(known.ledger);
            this.#unresolvedVersion = known.version;
            const outcome = await this.#dependencies.store.put(this.#dependencies.key, next, known.version);
            if (!this.#handleWrite(outcome, next)) {
                return;
            }
        }
        this.#nextWriteMs = this.#accounts.nowMs + MinWriteIntervalMs;
    }

    /** @returns Whether the write should be tried again at once. */
    #handleWrite(outcome: WriteOutcome, next: Ledger): boolean {
        this.#nextWriteMs = this.#accounts.nowMs + MinWriteIntervalMs;
        if (outcome.status === "applied") {
            this.#dependencies.counters.add(EdgeCounterNames.budgetLedgerWrites);
            this.#isEstablished = true;
            this.#isRestatementDue = false;
            this.#lastReportedMs = this.#accounts.nowMs;
            this.#reportedUsedTokens = this.#accounts.usedTokens;
            this.#applyLedger({ ledger: next, version: outcome.version });
            this.#recordRecovery();
            logWrittenShares(this.#accounts, next, outcome.version, this.#dependencies.prepaidTokens);
            return false;
        }
        if (outcome.status === "conflict") {
            this.#dependencies.counters.add(EdgeCounterNames.budgetLedgerConflicts);
            this.#discardLastProposal();
            return this.#handleConflict(outcome.current?.value, outcome.current?.version);
        }
        if (outcome.status === "refused") {
            this.#discardLastProposal();
        }
        else {
            this.#known = undefined;
        }
        this.#recordFailure(outcome.reason);
        return false;
    }

    #handleConflict(value: unknown, version: number | undefined): boolean {
        if (value === undefined || version === undefined) {
            this.#known = undefined;
            return true;
        }
        return this.#parseAndApply(value, version);
    }

    async #read(): Promise<boolean> {
        const outcome = await this.#dependencies.store.get(this.#dependencies.key);
        if (outcome.status === "unavailable") {
            this.#recordFailure(outcome.reason);
            return false;
        }
        if (outcome.status === "absent") {
            this.#applyLedger({ ledger: EmptyLedger, version: AbsentVersion });
            return true;
        }
        return this.#parseAndApply(outcome.object.value, outcome.object.version);
    }

    #parseAndApply(value: unknown, version: number): boolean {
        const ledger = LedgerSchema.safeParse(value);
        if (!ledger.success) {
            this.#recordFailure(`the ledger cannot be read: ${ledger.error.message}`);
            return false;
        }
        this.#applyLedger({ ledger: ledger.data, version });
        return true;
    }

    /** Applies a ledger to the account. With a newer version, writes that expected an older one can no longer take effect. */
    #applyLedger(known: KnownLedger): void {
        const isStored = known.version !== AbsentVersion;
        if (isStored && this.#history.observe(historyOf(known.version), this.#accounts.nowMs)) {
            this.#keepGrants();
        }
        this.#history.recordClosedTokens(known.ledger);
        this.#known = known;
        this.#lastReadMs = this.#accounts.nowMs;
        const isNewer = this.#unresolvedVersion !== known.version;
        const host = known.ledger.hosts[this.#dependencies.hostId];
        const createdAtMs = this.#sequencer.createdAtMs(host);
        if (isNewer) {
            this.#unresolvedSequences.forEach(sequence => this.#discardProposal(sequence));
            this.#unresolvedSequences = [];
            this.#unresolvedVersion = undefined;
        }
        for (const account of this.#accounts.all) {
            const share = known.ledger.teams[account.name]?.shares[this.#dependencies.hostId];
            // An older write than the acknowledged one comes from a copy of the store.
            const isLatest = host !== undefined && host.sequence >= this.#acknowledgedSequence;
            if (isLatest && createdAtMs !== undefined && share !== undefined) {
                this.#acknowledgedSequence = host.sequence;
                account.acknowledgeGrant(share.grantedTokens);
                account.acknowledgeBound({ ...share, sequence: host.sequence, createdAtMs });
            }
            account.serveWaiting(this.#accounts.nowMs);
        }
    }

    #discardLastProposal(): void {
        const sequence = this.#unresolvedSequences.pop();
        if (sequence !== undefined) {
            this.#discardProposal(sequence);
        }
    }

    #discardProposal(sequence: number): void {
        for (const account of this.#accounts.all) {
            account.discardProposal(sequence);
        }
    }

    /** Plans this host's share. Spending stays within it from now on, as the write may take effect at any time. */
    #plan(stored: Ledger): Ledger {
        const { hostId, incarnation, processStart } = this.#dependencies;
        const closed = closePredecessorShares(
            stored,
            hostId,
            incarnation,
            processStart,
            this.#recordSync.predecessorRecord,
            this.#history.current,
        );
        const ledger = this.#history.restoreClosedTokens(closed, hostId, this.#accounts.nowMs);
        if (stored !== closed) {
            const record = this.#recordSync.predecessorRecord;
            logClosedShares({ hostId, processStart, record, stored, closed: ledger, version: this.#known?.version });
            this.#inheritDemand(stored);
        }
        const timestamp = this.#sequencer.nextTimestamp();
        const createdAtMs = this.#sequencer.createdAtMs(timestamp)!;
        const teams: Record<string, TeamLedger> = { ...ledger.teams };
        for (const account of this.#accounts.all) {
            const team = ledger.teams[account.name] ?? EmptyTeamLedger;
            const share = this.#planShare(ledger, account);
            account.addProposal({ ...share, sequence: timestamp.sequence, createdAtMs }, share.grantedTokens);
            teams[account.name] = { ...team, shares: { ...team.shares, [hostId]: share } };
        }
        this.#unresolvedSequences.push(timestamp.sequence);
        const history = this.#history.current;
        const host = { ...timestamp, peerAddress: this.#dependencies.peerAddress, ...history > 0 ? { history } : {} };
        return { hosts: { ...ledger.hosts, [hostId]: host }, teams };
    }

    #planShare(ledger: Ledger, account: TeamAccount): HostShare {
        const nowMs = this.#accounts.nowMs;
        const granted = this.#isClosing ? account.usedTokens : this.#planGrant(ledger, account);
        return {
            grantedTokens: granted,
            ...account.planBound(granted, nowMs),
            demandTokensPerS: account.demandTokensPerS(nowMs),
        };
    }

    #planGrant(ledger: Ledger, account: TeamAccount): number {
        const { hostId } = this.#dependencies;
        const team = ledger.teams[account.name] ?? EmptyTeamLedger;
        return planGrant({
            ledger: this.#history.withUnstatedShares(ledger, team, hostId),
            hostId,
            canGrow: this.#history.canGrant(ledger, hostId, this.#accounts.nowMs),
            homeHostIds: this.#dependencies.homeHostIds(),
            prepaidTokens: this.#dependencies.prepaidTokens(account.name) ?? 0,
            grantedTokens: account.grantedTokens,
            usedTokens: account.usedTokens,
            neededTokens: account.waitingTokens,
            demandTokensPerS: account.demandTokensPerS(this.#accounts.nowMs),
        });
    }

    /** Takes over the predecessor's demand on the first attempt only, as this is called again after a conflict. */
    #inheritDemand(stored: Ledger): void {
        if (this.#hasInheritedDemand) {
            return;
        }
        this.#hasInheritedDemand = true;
        for (const [name, team] of Object.entries(stored.teams)) {
            const demandTokensPerS = team.shares[this.#dependencies.hostId]?.demandTokensPerS ?? 0;
            if (demandTokensPerS > 0) {
                this.#accounts.getOrCreate(name).inheritDemand(demandTokensPerS, this.#accounts.nowMs);
            }
        }
    }

    #recordFailure(reason: string): void {
        this.#nextWriteMs = this.#accounts.nowMs + RetryDelayMs;
        if (!this.#isFailing) {
            this.#isFailing = true;
            log.warn("budget ledger lost", { reason, readAgeMs: Math.round(this.#accounts.nowMs - this.#lastReadMs) });
        }
    }

    #recordRecovery(): void {
        if (this.#isFailing) {
            this.#isFailing = false;
            log.info("budget ledger regained", { version: this.#known?.version });
        }
    }
}
