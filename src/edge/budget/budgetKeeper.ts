/** Keeps this host's shares of the teams' prepaid tokens in step with the stored ledger. */
import type { Clock } from "../../base/clock.js";
import { log } from "../../base/log.js";
import type { PlatformStore, WriteOutcome } from "../../platform/platformStore.js";
import {
    closePredecessor,
    countRecentHosts,
    EmptyLedger,
    EmptyTeamLedger,
    type HostShare,
    type Ledger,
    LedgerSchema,
    type ProcessStart,
    recordAgeMs,
    settledByOthers,
    type TeamLedger,
    unheldTokens,
} from "./ledger.js";
import { planGrant } from "./sharePlan.js";
import { TeamAccount } from "./teamAccount.js";

/** Interval of writes by a host with traffic, in milliseconds; see `spendingRight.ts`. */
const ReportIntervalMs = 1_000;

/** Interval of writes by a host without traffic, in milliseconds: its record ages, but it has nothing to spend on. */
const IdleReportIntervalMs = 8_000;

/** Pause after the store failed, in milliseconds; retried often enough to be in step a second after it returns. */
const FailurePauseMs = 400;

/** Shortest time between two writes, so that a burst of requests causes one write and not one each, in milliseconds. */
const WriteSpacingMs = 200;

/** Age up to which the ledger's word that no tokens are left to draw is taken for true, in milliseconds. */
const FreshLedgerMs = 1_000;

/** Time after which a host that wrote nothing is not counted, in milliseconds. */
const HostSilenceMs = 15_000;

/** Longest wait of a request for tokens, in milliseconds: two calls of a store that answers slowly. */
const LongestWaitMs = 500;

/** Conflicts in a row after which a write is put off. */
const MostConflicts = 6;

/** Outcome of a reservation. */
export type ReservationResult = "reserved" | "exhausted" | "unavailable";

/** What the keeper is built from. */
export interface BudgetKeeperParts {
    readonly store: PlatformStore;
    readonly clock: Clock;
    readonly key: string;
    readonly hostId: string;
    readonly incarnation: string;
    /** Where this host takes load reports; the ledger tells the other hosts. */
    readonly peerAddress: string;
    /** When this process started. */
    readonly start: ProcessStart;
    /** @returns The machine's steady clock in milliseconds; processes of one start of a machine share it. */
    steadyMs(): number;
    /** Hosts to assume as long as the ledger shows fewer. */
    readonly expectedHostCount: number;
    /** @returns Prepaid tokens of a team by the configuration in force; `undefined` for no limit. */
    prepaidTokens(team: string): number | undefined;
    /** @returns Teams with a prepaid amount. */
    limitedTeams(): readonly string[];
}

/** The ledger as last seen, with its version. */
interface KnownLedger {
    readonly ledger: Ledger;
    readonly version: number;
}

/** Reserves tokens locally; draws and returns shares in the background. */
export class BudgetKeeper {
    readonly #parts: BudgetKeeperParts;
    readonly #accounts = new Map<string, TeamAccount>();
    #known: KnownLedger | undefined;
    /** Version on which the writes without an answer depend: they may take effect until it changes. */
    #unsettledVersion: number | undefined;
    /** Monotonic times at which records were made, by their sequence. */
    readonly #madeMs = new Map<number, number>();
    #peerAddresses: readonly string[] = [];
    #isEstablished = false;
    #isClosing = false;
    #isSyncing = false;
    #isFailing = false;
    #sequence = 0;
    #nextWriteMs = 0;
    #reportedMs = Number.NEGATIVE_INFINITY;
    #readMs = Number.NEGATIVE_INFINITY;
    #reportedUsedTokens = 0;

    constructor(parts: BudgetKeeperParts) {
        this.#parts = parts;
    }

    /** @returns Whether the shares of this incarnation are acknowledged. */
    get isEstablished(): boolean {
        return this.#isEstablished;
    }

    /** @returns Hosts that share the budgets. */
    get hostCount(): number {
        const recent = this.#known === undefined ?
            0 :
            countRecentHosts(this.#known.ledger, this.#parts.clock.wallMs(), HostSilenceMs);
        return Math.max(1, recent, this.#parts.expectedHostCount);
    }

    /** @returns Addresses of the other hosts, for load reports. */
    get peerAddresses(): readonly string[] {
        return this.#peerAddresses;
    }

    /** @returns Numbers of each team, for the state dump. */
    dumpState(): unknown {
        return {
            established: this.#isEstablished,
            version: this.#known?.version,
            teams: Object.fromEntries([...this.#accounts].map(([name, account]) => [name, {
                grantedTokens: account.grantedTokens,
                usedTokens: account.usedTokens,
                settledTokens: account.settledTokens,
            }])),
        };
    }

    /**
     * Reserves the worst-case cost of a request.
     * @param requestId Names the request in the log.
     * @param waitMs Longest wait for tokens, in milliseconds.
     */
    async reserve(
        requestId: string,
        team: string,
        costTokens: number,
        waitMs: number,
    ): Promise<ReservationResult> {
        const result = await this.#reserve(team, costTokens, waitMs);
        if (result !== "reserved") {
            this.#logRefusal(requestId, team, costTokens, result);
        }
        return result;
    }

    #reserve(team: string, costTokens: number, waitMs: number): Promise<ReservationResult> | ReservationResult {
        if (this.#parts.prepaidTokens(team) === undefined) {
            return "reserved";
        }
        const account = this.#account(team);
        account.noteDemand(costTokens, this.#nowMs);
        if (account.tryReserve(costTokens, this.#nowMs)) {
            return "reserved";
        }
        const exhausted = this.#refusalFor(team, costTokens);
        if (exhausted !== undefined || !this.#mayDraw(account, costTokens)) {
            return exhausted ?? "unavailable";
        }
        return this.#waitForTokens(account, costTokens, waitMs);
    }

    /** Replaces a reservation by what the request cost. */
    settle(team: string, reservedTokens: number, costTokens: number): void {
        const account = this.#accounts.get(team);
        account?.settle(reservedTokens, costTokens);
        account?.serveWaiting(this.#nowMs);
    }

    /** Writes when something is due; called every few ten milliseconds. */
    tick(): void {
        if (this.#isSyncing || this.#nowMs < this.#nextWriteMs) {
            return;
        }
        if (!this.#isEstablished || this.#isClosing || this.#needsTokens() || this.#isReportDue()) {
            void this.#sync();
        }
    }

    /** The store answers again: a record that is written at once bounds what the outage puts at risk. */
    onStoreReturned(): void {
        this.#nextWriteMs = this.#nowMs;
    }

    /** Gives all unused tokens back. */
    async close(): Promise<void> {
        this.#isClosing = true;
        if (!this.#isSyncing) {
            await this.#sync();
        }
    }

    get #nowMs(): number {
        return this.#parts.clock.monotonicMs();
    }

    #account(team: string): TeamAccount {
        let account = this.#accounts.get(team);
        if (account === undefined) {
            account = new TeamAccount(team, this.#nowMs);
            this.#accounts.set(team, account);
        }
        return account;
    }

    #needsTokens(): boolean {
        const accounts = [...this.#accounts.values()];
        return accounts.some(account => account.waiting.length > 0 || account.wantsRecord(this.#nowMs));
    }

    #isReportDue(): boolean {
        const ageMs = this.#nowMs - this.#reportedMs;
        return ageMs >= IdleReportIntervalMs ||
            (ageMs >= ReportIntervalMs && this.#usedTokens() !== this.#reportedUsedTokens);
    }

    #usedTokens(): number {
        return [...this.#accounts.values()].reduce((sum, account) => sum + account.usedTokens, 0);
    }

    /** The numbers that decided a refusal, and how old they are. */
    #logRefusal(requestId: string, team: string, costTokens: number, result: ReservationResult): void {
        const account = this.#account(team);
        const ledger = this.#known?.ledger.teams[team] ?? EmptyTeamLedger;
        const prepaidTokens = this.#parts.prepaidTokens(team) ?? 0;
        const spentTokens = settledByOthers(ledger, this.#parts.hostId) + account.usedTokens;
        log.info("reservation refused", {
            request: requestId,
            team,
            result,
            costTokens,
            spareTokens: account.spareTokens(this.#nowMs),
            heldTokens: account.grantedTokens - account.usedTokens,
            unheldTokens: unheldTokens(ledger, prepaidTokens),
            unspentTokens: prepaidTokens - spentTokens - ledger.atRiskTokens,
            atRiskTokens: ledger.atRiskTokens,
            ledgerVersion: this.#known?.version,
            ledgerAgeMs: Math.round(this.#nowMs - this.#readMs),
            storeLost: this.#isFailing,
        });
    }

    /** Whether a wait can help: not while the store is lost, nor when it has just said that nothing is left to draw. */
    #mayDraw(account: TeamAccount, costTokens: number): boolean {
        if (this.#isFailing || this.#known === undefined) {
            return !this.#isFailing;
        }
        const team = this.#known.ledger.teams[account.name] ?? EmptyTeamLedger;
        const prepaid = this.#parts.prepaidTokens(account.name) ?? 0;
        const wanted = account.waitingTokens + costTokens;
        const held = account.grantedTokens - account.usedTokens;
        const isFresh = this.#nowMs - this.#readMs < FreshLedgerMs;
        return !isFresh || held + unheldTokens(team, prepaid) >= wanted;
    }

    #waitForTokens(account: TeamAccount, costTokens: number, waitMs: number): Promise<ReservationResult> {
        return new Promise(resolve => {
            const timer = setTimeout(() => item.settle(false), Math.min(waitMs, LongestWaitMs));
            const item = {
                costTokens,
                settle: (granted: boolean) => {
                    clearTimeout(timer);
                    const index = account.waiting.indexOf(item);
                    if (index >= 0) {
                        account.waiting.splice(index, 1);
                    }
                    resolve(granted ? "reserved" : this.#refusalFor(account.name, costTokens) ?? "unavailable");
                },
            };
            account.waiting.push(item);
            this.tick();
        });
    }

    /** A balance counts as exhausted only if the known spending of all hosts leaves too little, whoever holds the rest. */
    #refusalFor(team: string, costTokens: number): "exhausted" | undefined {
        const prepaid = this.#parts.prepaidTokens(team);
        const ledger = this.#known?.ledger.teams[team];
        if (prepaid === undefined || ledger === undefined) {
            return undefined;
        }
        const spent = settledByOthers(ledger, this.#parts.hostId) + this.#account(team).usedTokens;
        return prepaid - spent < costTokens ? "exhausted" : undefined;
    }

    async #sync(): Promise<void> {
        this.#isSyncing = true;
        try {
            await this.#syncOnce();
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
            const outcome = await this.#parts.store.put(this.#parts.key, next, known.version);
            if (!this.#handleWrite(outcome, next)) {
                return;
            }
        }
        this.#nextWriteMs = this.#nowMs + WriteSpacingMs;
    }

    /** @returns Whether the write should be tried again at once. */
    #handleWrite(outcome: WriteOutcome, next: Ledger): boolean {
        this.#nextWriteMs = this.#nowMs + WriteSpacingMs;
        if (outcome.status === "applied") {
            this.#isEstablished = true;
            this.#reportedMs = this.#nowMs;
            this.#reportedUsedTokens = this.#usedTokens();
            this.#take({ ledger: next, version: outcome.version });
            this.#noteRegained();
            this.#logShares(outcome.version);
            return false;
        }
        if (outcome.status === "conflict") {
            return this.#handleConflict(outcome.current?.value, outcome.current?.version);
        }
        if (outcome.status === "refused") {
            for (const account of this.#accounts.values()) {
                account.withdrawLast();
            }
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
        const outcome = await this.#parts.store.get(this.#parts.key);
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
        this.#readMs = this.#nowMs;
        this.#peerAddresses = Object.entries(known.ledger.hosts)
            .filter(([id]) => id !== this.#parts.hostId)
            .map(([, { peerAddress }]) => peerAddress);
        const isNewer = this.#unsettledVersion !== known.version;
        const host = known.ledger.hosts[this.#parts.hostId];
        const ownSequence = host?.incarnation === this.#parts.incarnation ? host.sequence : 0;
        const madeMs = this.#madeMs.get(ownSequence);
        for (const account of this.#accounts.values()) {
            if (isNewer) {
                account.withdrawAll();
            }
            const share = known.ledger.teams[account.name]?.shares[this.#parts.hostId];
            if (madeMs !== undefined && share !== undefined) {
                account.acknowledge({ ...share, madeMs });
            }
            account.serveWaiting(this.#nowMs);
        }
        if (isNewer) {
            this.#unsettledVersion = undefined;
            this.#forgetRecordsBefore(ownSequence);
        }
    }

    #forgetRecordsBefore(sequence: number): void {
        for (const known of this.#madeMs.keys()) {
            if (known < sequence) {
                this.#madeMs.delete(known);
            }
        }
    }

    /** Plans this host's shares; spending keeps to them from now on, as the write may take effect at any time. */
    #plan(stored: Ledger): Ledger {
        const { hostId, incarnation, clock, start } = this.#parts;
        const ledger = closePredecessor(stored, hostId, incarnation, start);
        this.#logClosed(stored, ledger);
        const nowMs = this.#nowMs;
        const accounts = [...new Set([...this.#parts.limitedTeams(), ...this.#accounts.keys()])]
            .map(name => this.#account(name));
        const totalDemandTokensPerS = accounts.reduce((sum, account) => sum + account.demandTokensPerS(nowMs), 0);
        const teams: Record<string, TeamLedger> = { ...ledger.teams };
        for (const account of accounts) {
            const team = ledger.teams[account.name] ?? EmptyTeamLedger;
            const share = this.#planShare(ledger, team, account, totalDemandTokensPerS);
            account.propose({ ...share, madeMs: nowMs });
            teams[account.name] = { ...team, shares: { ...team.shares, [hostId]: share } };
        }
        this.#madeMs.set(++this.#sequence, nowMs);
        const host = {
            incarnation,
            peerAddress: this.#parts.peerAddress,
            sequence: this.#sequence,
            writtenAtMs: Math.floor(clock.wallMs()),
            writtenSteadyMs: Math.floor(this.#parts.steadyMs()),
        };
        return { hosts: { ...ledger.hosts, [hostId]: host }, teams };
    }

    #planShare(ledger: Ledger, team: TeamLedger, account: TeamAccount, totalDemandTokensPerS: number): HostShare {
        const { settledTokens, usedTokens, grantedTokens } = account;
        const demandTokensPerS = account.demandTokensPerS(this.#nowMs);
        const granted = this.#isClosing ? usedTokens : planGrant({
            ledger,
            team,
            hostId: this.#parts.hostId,
            prepaidTokens: this.#parts.prepaidTokens(account.name) ?? 0,
            expectedHostCount: this.#parts.expectedHostCount,
            grantedTokens,
            usedTokens,
            neededTokens: account.waitingTokens,
            demandTokensPerS,
            totalDemandTokensPerS,
        });
        return {
            grantedTokens: granted,
            limitTokens: account.limitFor(granted, this.#nowMs),
            releaseTokensPerS: account.releaseTokensPerS(this.#nowMs),
            settledTokens,
            demandTokensPerS,
        };
    }

    /** One line when shares are closed: tokens spent by the record and at risk, by team. */
    #logClosed(stored: Ledger, closed: Ledger): void {
        const host = stored.hosts[this.#parts.hostId];
        if (stored === closed || host === undefined) {
            return;
        }
        const shares = Object.entries(closed.teams).map(([name, team]) => {
            const before = stored.teams[name] ?? EmptyTeamLedger;
            return `${name}:${team.closedTokens - before.closedTokens}/${team.atRiskTokens - before.atRiskTokens}`;
        });
        log.info("budget shares of the previous process closed", {
            host: this.#parts.hostId,
            predecessor: host.incarnation,
            recordAgeMs: recordAgeMs(host, this.#parts.start),
            ledgerVersion: this.#known?.version,
            shares: shares.join(" "),
        });
    }

    /** One line a write: tokens granted, used and left unheld, by team. */
    #logShares(version: number): void {
        const shares = [...this.#accounts.values()].map(account => {
            const team = this.#known?.ledger.teams[account.name] ?? EmptyTeamLedger;
            const unheld = unheldTokens(team, this.#parts.prepaidTokens(account.name) ?? 0);
            return `${account.name}:${account.grantedTokens}/${account.usedTokens}/${unheld}`;
        });
        log.info("budget shares written", { version, shares: shares.join(" ") });
    }

    #noteFailure(reason: string): void {
        this.#nextWriteMs = this.#nowMs + FailurePauseMs;
        if (!this.#isFailing) {
            this.#isFailing = true;
            log.warn("budget ledger lost", { reason, readAgeMs: Math.round(this.#nowMs - this.#readMs) });
        }
    }

    #noteRegained(): void {
        if (this.#isFailing) {
            this.#isFailing = false;
            log.info("budget ledger regained", { version: this.#known?.version });
        }
    }
}
