/** Keeps the stored ledger of one team and this host's account in step: reads, plans, writes and resolves what got no answer. */
import type { Counters } from "../../base/counters.js";
import { log } from "../../base/log.js";
import type { PlatformStore, WriteOutcome } from "../../platform/platformStore.js";
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
import { logClosedShares, logWrittenShares } from "./ledgerLog.js";
import { type RecordSync, StalledAfterMs } from "./recordSync.js";
import { planGrant } from "./sharePlan.js";
import type { TeamAccount } from "./teamAccount.js";
import type { TeamAccounts } from "./teamAccounts.js";
import type { WriteSequencer } from "./writeSequencer.js";

/** Interval of writes by a host with traffic, in milliseconds: the team's other home divides the budget by its demand. */
const ReportIntervalMs = 5_000;

/** Interval of writes by a home without traffic, in milliseconds: it learns what the other home needs. */
const IdleReportIntervalMs = 8_000;

/** Pause after the store failed, in milliseconds; retried often enough to be in step a second after it returns. */
const FailurePauseMs = 400;

/** Shortest time between two writes, so that a burst of requests causes one write and not one each, in milliseconds. */
const WriteSpacingMs = 200;

/** Interval in which a host looks whether its grants still fit, in milliseconds. */
const PlanIntervalMs = 1_000;

/** Conflicts in a row after which a write is put off. */
const MostConflicts = 6;

/** What the synchronisation is built from. */
export interface LedgerSyncDependencies {
    readonly store: PlatformStore;
    readonly counters: Counters;
    readonly key: string;
    readonly hostId: string;
    readonly incarnation: string;
    /** Where this host takes load reports; the ledger tells the other hosts. */
    readonly peerAddress: string;
    /** When this process started. */
    readonly processStart: ProcessStart;
    readonly team: string;
    /** @returns Hosts that should hold the team's tokens. */
    homeHostIds(): readonly string[];
    /** @returns Prepaid tokens of a team by the configuration in force; `undefined` for no limit. */
    prepaidTokens(team: string): number | undefined;
}

/** The ledger as last seen, with its version. */
interface KnownLedger {
    readonly ledger: Ledger;
    readonly version: number;
}

/** One writer of a team's ledger. */
export class LedgerSync {
    readonly #dependencies: LedgerSyncDependencies;
    /** Holds the team's account alone. */
    readonly #accounts: TeamAccounts;
    readonly #records: WriteSequencer;
    readonly #recordSync: RecordSync;
    #known: KnownLedger | undefined;
    /** Version on which the writes without an answer depend: they may take effect until it changes. */
    #unsettledVersion: number | undefined;
    /** Writes that may take effect or not. */
    #open: number[] = [];
    #hasInherited = false;
    #isEstablished = false;
    #isClosing = false;
    #isSyncing = false;
    #isFailing = false;
    #startedMs = 0;
    #nextWriteMs = 0;
    #nextPlanMs = 0;
    #reportedMs = Number.NEGATIVE_INFINITY;
    #readMs = Number.NEGATIVE_INFINITY;
    #reportedUsedTokens = 0;

    constructor(
        dependencies: LedgerSyncDependencies,
        accounts: TeamAccounts,
        records: WriteSequencer,
        recordSync: RecordSync,
    ) {
        this.#dependencies = dependencies;
        this.#accounts = accounts;
        this.#records = records;
        this.#recordSync = recordSync;
    }

    /** @returns The ledger as last seen. */
    get lastKnown(): KnownLedger | undefined {
        return this.#known;
    }

    /** @returns Whether the shares of this incarnation are acknowledged. */
    get isEstablished(): boolean {
        return this.#isEstablished;
    }

    /** @returns Whether the newest call to the store failed, or has waited for its answer for long. */
    get isFailing(): boolean {
        return this.#isFailing || (this.#isSyncing && this.#accounts.nowMs - this.#startedMs > StalledAfterMs);
    }

    /** @returns Age of what is known of the ledger, in milliseconds. */
    get ageMs(): number {
        return this.#accounts.nowMs - this.#readMs;
    }

    /** Writes when something is due; called every few ten milliseconds. */
    tick(): void {
        if (
            this.#isSyncing || !this.#recordSync.isLedgerListed(this.#dependencies.team) ||
            this.#accounts.nowMs < this.#nextWriteMs
        ) {
            return;
        }
        if (
            !this.#isEstablished || this.#isClosing || this.#accounts.needsLargerGrant || this.#isReportDue() ||
            this.#isPlanDue()
        ) {
            void this.#sync();
        }
    }

    /** @returns Whether the shares are being given back. */
    get isClosing(): boolean {
        return this.#isClosing;
    }

    /** The store answers again: a record that is written at once bounds what the outage puts at risk. */
    onStoreReconnected(): void {
        this.#nextWriteMs = this.#accounts.nowMs;
    }

    /** Gives all unused tokens back. */
    async close(): Promise<void> {
        this.#isClosing = true;
        if (!this.#isSyncing) {
            await this.#sync();
        }
    }

    /** @returns Whether this host holds tokens, or should. */
    get #isHolder(): boolean {
        return this.#accounts.all.some(({ grantedTokens, usedTokens }) => grantedTokens > usedTokens) ||
            this.#dependencies.homeHostIds().includes(this.#dependencies.hostId);
    }

    #isReportDue(): boolean {
        const ageMs = this.#accounts.nowMs - this.#reportedMs;
        return (ageMs >= IdleReportIntervalMs && this.#isHolder) ||
            (ageMs >= ReportIntervalMs && this.#accounts.usedTokens !== this.#reportedUsedTokens);
    }

    /** @returns Whether grants are off their targets by what is known of the ledger. */
    #isPlanDue(): boolean {
        const nowMs = this.#accounts.nowMs;
        if (nowMs < this.#nextPlanMs || this.#known === undefined) {
            return false;
        }
        this.#nextPlanMs = nowMs + PlanIntervalMs;
        const { ledger } = this.#known;
        return this.#accounts.all.some(account => {
            const team = ledger.teams[account.name] ?? EmptyTeamLedger;
            return this.#planGrant(team, account) !== account.grantedTokens;
        });
    }

    async #sync(): Promise<void> {
        this.#isSyncing = true;
        this.#startedMs = this.#accounts.nowMs;
        try {
            await this.#syncOnce();
        }
        catch (error) {
            this.#noteFailure(String(error));
        }
        finally {
            this.#isSyncing = false;
        }
    }

    async #syncOnce(): Promise<void> {
        for (let conflicts = 0; conflicts < MostConflicts; conflicts++) {
            if (this.#known === undefined && !await this.#read()) {
                return;
            }
            const known = this.#known ?? { ledger: EmptyLedger, version: 0 };
            const next = this.#plan(known.ledger);
            this.#unsettledVersion = known.version;
            const outcome = await this.#dependencies.store.put(this.#dependencies.key, next, known.version);
            if (!this.#handleWrite(outcome, next)) {
                return;
            }
        }
        this.#nextWriteMs = this.#accounts.nowMs + WriteSpacingMs;
    }

    /** @returns Whether the write should be tried again at once. */
    #handleWrite(outcome: WriteOutcome, next: Ledger): boolean {
        this.#nextWriteMs = this.#accounts.nowMs + WriteSpacingMs;
        if (outcome.status === "applied") {
            this.#dependencies.counters.add(EdgeCounterNames.budgetLedgerWrites);
            this.#isEstablished = true;
            this.#reportedMs = this.#accounts.nowMs;
            this.#reportedUsedTokens = this.#accounts.usedTokens;
            this.#take({ ledger: next, version: outcome.version });
            this.#noteRegained();
            logWrittenShares(this.#accounts, next, outcome.version, this.#dependencies.prepaidTokens);
            return false;
        }
        if (outcome.status === "conflict") {
            this.#dependencies.counters.add(EdgeCounterNames.budgetLedgerConflicts);
            this.#withdrawLast();
            return this.#handleConflict(outcome.current?.value, outcome.current?.version);
        }
        if (outcome.status === "refused") {
            this.#withdrawLast();
        }
        else {
            this.#known = undefined;
        }
        this.#noteFailure(outcome.reason);
        return false;
    }

    #handleConflict(value: unknown, version: number | undefined): boolean {
        if (value === undefined || version === undefined) {
            this.#known = undefined;
            return true;
        }
        return this.#adopt(value, version);
    }

    async #read(): Promise<boolean> {
        const outcome = await this.#dependencies.store.get(this.#dependencies.key);
        if (outcome.status === "unavailable") {
            this.#noteFailure(outcome.reason);
            return false;
        }
        if (outcome.status === "absent") {
            this.#take({ ledger: EmptyLedger, version: 0 });
            return true;
        }
        return this.#adopt(outcome.object.value, outcome.object.version);
    }

    #adopt(value: unknown, version: number): boolean {
        const ledger = LedgerSchema.safeParse(value);
        if (!ledger.success) {
            this.#noteFailure(`the ledger cannot be read: ${ledger.error.message}`);
            return false;
        }
        this.#take({ ledger: ledger.data, version });
        return true;
    }

    /** Takes over a ledger. A newer version ends the writes that depended on an older one. */
    #take(known: KnownLedger): void {
        this.#known = known;
        this.#readMs = this.#accounts.nowMs;
        const isNewer = this.#unsettledVersion !== known.version;
        const host = known.ledger.hosts[this.#dependencies.hostId];
        const createdAtMs = this.#records.createdAtMs(host);
        if (isNewer) {
            this.#open.forEach(sequence => this.#withdraw(sequence));
            this.#open = [];
            this.#unsettledVersion = undefined;
        }
        for (const account of this.#accounts.all) {
            const share = known.ledger.teams[account.name]?.shares[this.#dependencies.hostId];
            if (host !== undefined && createdAtMs !== undefined && share !== undefined) {
                account.acknowledgeGrant(share.grantedTokens);
                account.acknowledgeBound({ ...share, sequence: host.sequence, createdAtMs });
            }
            account.serveWaiting(this.#accounts.nowMs);
        }
    }

    #withdrawLast(): void {
        const sequence = this.#open.pop();
        if (sequence !== undefined) {
            this.#withdraw(sequence);
        }
    }

    #withdraw(sequence: number): void {
        for (const account of this.#accounts.all) {
            account.discardProposal(sequence);
        }
    }

    /** Plans this host's shares; spending keeps to them from now on, as the write may take effect at any time. */
    #plan(stored: Ledger): Ledger {
        const { hostId, incarnation, processStart } = this.#dependencies;
        const ledger = closePredecessorShares(
            stored,
            hostId,
            incarnation,
            processStart,
            this.#recordSync.predecessorRecord,
        );
        if (stored !== ledger) {
            const record = this.#recordSync.predecessorRecord;
            logClosedShares({ hostId, processStart, record, stored, closed: ledger, version: this.#known?.version });
            this.#inheritDemand(stored);
        }
        const date = this.#records.nextTimestamp();
        const createdAtMs = this.#records.createdAtMs(date)!;
        const teams: Record<string, TeamLedger> = { ...ledger.teams };
        for (const account of this.#accounts.all) {
            const team = ledger.teams[account.name] ?? EmptyTeamLedger;
            const share = this.#planShare(team, account);
            account.addProposal({ ...share, sequence: date.sequence, createdAtMs }, share.grantedTokens);
            teams[account.name] = { ...team, shares: { ...team.shares, [hostId]: share } };
        }
        this.#open.push(date.sequence);
        const host = { ...date, peerAddress: this.#dependencies.peerAddress };
        return { hosts: { ...ledger.hosts, [hostId]: host }, teams };
    }

    #planShare(team: TeamLedger, account: TeamAccount): HostShare {
        const nowMs = this.#accounts.nowMs;
        const granted = this.#isClosing ? account.usedTokens : this.#planGrant(team, account);
        return {
            grantedTokens: granted,
            ...account.planBound(granted, nowMs),
            demandTokensPerS: account.demandTokensPerS(nowMs),
        };
    }

    #planGrant(ledger: TeamLedger, account: TeamAccount): number {
        return planGrant({
            ledger,
            hostId: this.#dependencies.hostId,
            homeHostIds: this.#dependencies.homeHostIds(),
            prepaidTokens: this.#dependencies.prepaidTokens(account.name) ?? 0,
            grantedTokens: account.grantedTokens,
            usedTokens: account.usedTokens,
            neededTokens: account.waitingTokens,
            demandTokensPerS: account.demandTokensPerS(this.#accounts.nowMs),
        });
    }

    /** The first try only: a conflict leads here again. */
    #inheritDemand(stored: Ledger): void {
        if (this.#hasInherited) {
            return;
        }
        this.#hasInherited = true;
        for (const [name, team] of Object.entries(stored.teams)) {
            const demandTokensPerS = team.shares[this.#dependencies.hostId]?.demandTokensPerS ?? 0;
            if (demandTokensPerS > 0) {
                this.#accounts.getOrCreate(name).inheritDemand(demandTokensPerS, this.#accounts.nowMs);
            }
        }
    }

    #noteFailure(reason: string): void {
        this.#nextWriteMs = this.#accounts.nowMs + FailurePauseMs;
        if (!this.#isFailing) {
            this.#isFailing = true;
            log.warn("budget ledger lost", { reason, readAgeMs: Math.round(this.#accounts.nowMs - this.#readMs) });
        }
    }

    #noteRegained(): void {
        if (this.#isFailing) {
            this.#isFailing = false;
            log.info("budget ledger regained", { version: this.#known?.version });
        }
    }
}
