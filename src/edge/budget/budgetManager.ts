/** Decides whether a request may spend its team's prepaid tokens. */
import { log } from "../../base/log.js";
import type { PeerChannel } from "../peers/peerChannel.js";
import { type BudgetRefusal, determineRefusal, NoLenderRefusal, ReleaseHorizonMs } from "./budgetRefusal.js";
import { HomeHostSelector, type Lenders } from "./homeHostSelector.js";
import { EmptyTeamLedger, type TeamLedger, unallocatedTokens } from "./ledger.js";
import { LedgerManager, type LedgerManagerDependencies } from "./ledgerManager.js";
import { LoanBorrower } from "./loanBorrower.js";
import { type LoanDecision, LoanLender } from "./loanLender.js";
import type { Reservation, TeamAccount } from "./teamAccount.js";
import { TeamAccounts } from "./teamAccounts.js";

/**
 * Age up to which a ledger without tokens to draw is not read again, in milliseconds. Top-ups are known from
 * the configuration at once; what else changes it is a host that gives tokens back.
 */
const FreshLedgerMs = 3_000;

/** Longest wait of a request for tokens, in milliseconds: a release that is due, or calls of a store that answers slowly. */
const LongestWaitMs = 800;

/** Longest wait of another host's request, in milliseconds: within the wait of the request that it asks for. */
const LongestLoanWaitMs = 500;

/** Time that a write to the ledger has before other hosts are asked, in milliseconds: a few answers of a sound store. */
const BorrowAfterMs = 40;

/** How a request waits for tokens. */
interface TokenWait {
    readonly longestMs: number;
    /** Whether other hosts may be asked for tokens. */
    readonly mayBorrow: boolean;
    /** Ends the wait; `undefined` where nobody can leave. */
    readonly unwanted: AbortSignal | undefined;
}

/** How another host's request waits here. */
const LoanWait: TokenWait = { longestMs: LongestLoanWaitMs, mayBorrow: false, unwanted: undefined };

/** Reservation of a team without a limit. */
const FreeReservation: Reservation = { ownTokens: 0, borrowedTokens: 0 };

/** Another host, as the budgets see it. */
export interface PeerHost {
    readonly hostId: string;
    readonly zone: string;
    readonly peerAddress: string;
}

/** What the keeper is built from. */
export interface BudgetManagerDependencies extends Omit<LedgerManagerDependencies, "homeHostIds"> {
    /** Carries loans between hosts. */
    readonly channel: PeerChannel;
    readonly zone: string;
    /** @returns The other hosts, the same object until they change; `undefined` before they are known. */
    otherHosts(): readonly PeerHost[] | undefined;
}

/** Homes among the hosts that were known when they were chosen. */
interface ChosenHomes {
    readonly others: readonly PeerHost[];
    readonly homes: HomeHostSelector<PeerHost>;
}

/** Reserves tokens of this host, or of the hosts that hold the team's. */
export class BudgetManager {
    readonly #dependencies: BudgetManagerDependencies;
    readonly #accounts: TeamAccounts;
    readonly #ledgers: LedgerManager;
    readonly #borrower: LoanBorrower;
    #chosen: ChosenHomes | undefined;
    #isLeaving = false;

    constructor(dependencies: BudgetManagerDependencies) {
        this.#dependencies = dependencies;
        this.#accounts = new TeamAccounts(dependencies.clock);
        this.#ledgers = new LedgerManager(
            { ...dependencies, homeHostIds: team => this.#homeIds(team) },
            this.#accounts,
        );
        const { clock, counters, channel, incarnation } = dependencies;
        this.#borrower = new LoanBorrower({
            clock,
            counters,
            channel,
            incarnation,
            lenders: team => this.#lendersOf(team),
            onLendersUnreachable: team => this.#ledgers.open(team),
        });
        new LoanLender({
            counters,
            channel,
            incarnation,
            accounts: this.#accounts,
            reserveForLoan: (team, tokens) => this.#reserveForLoan(team, tokens),
            logFields: team => this.#describe(this.#accounts.getOrCreate(team)),
        });
    }

    /** @returns Whether this host holds tokens of any team, or may. */
    get hasOpenLedgers(): boolean {
        return this.#ledgers.hasOpenLedgers;
    }

    /** @returns Numbers of each team, for the state dump. */
    dumpState(): unknown {
        return {
            established: this.#ledgers.isEstablished,
            teams: Object.fromEntries(this.#accounts.all.map(account => [account.name, {
                ledgerVersion: this.#ledgers.find(account.name)?.lastKnown?.version,
                grantedTokens: account.grantedTokens,
                usedTokens: account.usedTokens,
                settledTokens: account.settledTokens,
                borrowedTokens: account.borrowedTokens,
            }])),
        };
    }

    /** Writes and reports when something is due; called every few ten milliseconds. */
    tick(): void {
        this.#ledgers.tick();
        this.#borrower.tick();
        for (const account of this.#accounts.all) {
            account.serveWaiting(this.#nowMs);
        }
    }

    /** The store answers again. */
    onStoreReconnected(): void {
        this.#ledgers.onStoreReconnected();
    }

    /** Lends no more, so that open loans can be settled before the process ends. */
    startLeaving(): void {
        this.#isLeaving = true;
    }

    /** Gives all unused tokens back, to lenders and to the ledgers. */
    close(): Promise<void> {
        this.#borrower.close();
        return this.#ledgers.close();
    }

    /**
     * Reserves the worst-case cost of a request.
     * @param requestId Names the request in the log.
     * @param waitMs Longest wait for tokens, in milliseconds.
     * @param unwanted Ends the wait, with a refusal that is not logged.
     */
    async reserve(
        requestId: string,
        team: string,
        costTokens: number,
        waitMs: number,
        unwanted?: AbortSignal,
    ): Promise<Reservation | BudgetRefusal> {
        if (this.#dependencies.prepaidTokens(team) === undefined) {
            return FreeReservation;
        }
        const account = this.#accounts.getOrCreate(team);
        account.recordDemand(costTokens, this.#nowMs);
        const startedMs = this.#nowMs;
        const wait: TokenWait = { longestMs: Math.min(waitMs, LongestWaitMs), mayBorrow: true, unwanted };
        const result = await this.#reserve(account, costTokens, wait);
        if (isRefusal(result) && unwanted?.aborted !== true) {
            this.#logRefusal(requestId, account, costTokens, startedMs, result);
        }
        return result;
    }

    /** Replaces a reservation by what the request cost. */
    settle(team: string, reservation: Reservation, costTokens: number): void {
        const account = this.#accounts.find(team);
        account?.settle(reservation, costTokens);
        account?.serveWaiting(this.#nowMs);
    }

    get #nowMs(): number {
        return this.#accounts.nowMs;
    }

    /** A host that leaves is no home: it gives back what its open requests and loans do not need. */
    #homeIds(team: string): readonly string[] {
        const homeIds = this.#homes?.homeHostIds(team) ?? [];
        return this.#isLeaving ? homeIds.filter(id => id !== this.#dependencies.hostId) : homeIds;
    }

    get #homes(): HomeHostSelector<PeerHost> | undefined {
        const others = this.#dependencies.otherHosts();
        if (others !== undefined && this.#chosen?.others !== others) {
            const { hostId, zone, peerAddress } = this.#dependencies;
            this.#chosen = { others, homes: new HomeHostSelector([...others, { hostId, zone, peerAddress }]) };
        }
        return this.#chosen?.homes;
    }

    #lendersOf(team: string): Lenders<string> {
        const lenders = this.#homes?.lendersOf(team, this.#dependencies);
        return {
            homeHosts: lenders?.homeHosts.map(({ peerAddress }) => peerAddress) ?? [],
            fallbackHosts: lenders?.fallbackHosts.map(({ peerAddress }) => peerAddress) ?? [],
        };
    }

    #ledgerOf(team: string): TeamLedger | undefined {
        const known = this.#ledgers.find(team)?.lastKnown;
        return known === undefined ? undefined : known.ledger.teams[team] ?? EmptyTeamLedger;
    }

    /** Reserves at once, or waits for a write to the ledger, a release or a loan, whichever comes first. */
    #reserve(
        account: TeamAccount,
        costTokens: number,
        wait: TokenWait,
    ): Reservation | BudgetRefusal | Promise<Reservation | BudgetRefusal> {
        const reservation = account.tryReserve(costTokens, this.#nowMs);
        if (reservation !== undefined) {
            return reservation;
        }
        const refusal = this.#refusalFor(account, costTokens);
        const isHopeless = refusal.reason === "exhausted" ||
            (!wait.mayBorrow && !this.#mayDraw(account, costTokens) &&
                !this.#isReleaseDue(account, costTokens, wait.longestMs));
        return isHopeless || wait.unwanted?.aborted === true ? refusal : this.#waitForTokens(account, costTokens, wait);
    }

    /** Serves another host from own tokens; what is there is lent when the whole is not to be had. */
    #reserveForLoan(team: string, tokens: number): LoanDecision | Promise<LoanDecision> {
        if (this.#dependencies.prepaidTokens(team) === undefined || this.#isLeaving) {
            return { ownTokens: 0, refusal: NoLenderRefusal };
        }
        this.#ledgers.open(team);
        const account = this.#accounts.getOrCreate(team);
        account.recordDemand(tokens, this.#nowMs);
        const result = this.#reserve(account, tokens, LoanWait);
        return result instanceof Promise ?
            result.then(late => this.#toLoan(account, late)) :
            this.#toLoan(account, result);
    }

    #toLoan(account: TeamAccount, result: Reservation | BudgetRefusal): LoanDecision {
        if (!isRefusal(result)) {
            account.addBorrowedTokens(result.borrowedTokens);
            return { ownTokens: result.ownTokens };
        }
        const spareTokens = account.waiting.length > 0 ? 0 : Math.max(0, account.availableTokens(this.#nowMs));
        const partly = account.tryReserve(spareTokens, this.#nowMs);
        account.addBorrowedTokens(partly?.borrowedTokens ?? 0);
        return { ownTokens: partly?.ownTokens ?? 0, refusal: result };
    }

    /** Whether a write can help: not while the store is lost, nor when it has just said that nothing is left to draw. */
    #mayDraw(account: TeamAccount, wantedTokens: number): boolean {
        const ledger = this.#ledgers.find(account.name);
        if (ledger === undefined || this.#ledgers.isStoreUnavailable(account.name)) {
            return false;
        }
        const team = this.#ledgerOf(account.name);
        if (team === undefined || ledger.ageMs >= FreshLedgerMs) {
            return true;
        }
        const prepaid = this.#dependencies.prepaidTokens(account.name) ?? 0;
        return account.grantedTokens - account.usedTokens + unallocatedTokens(team, prepaid) >= wantedTokens;
    }

    /** Whether the release of the own record covers the request soon, after those that wait already. */
    #isReleaseDue(account: TeamAccount, costTokens: number, withinMs: number): boolean {
        const wantedTokens = account.waitingTokens + costTokens;
        return account.releaseWaitMs(wantedTokens, this.#nowMs, withinMs) !== undefined;
    }

    #waitForTokens(
        account: TeamAccount,
        costTokens: number,
        { longestMs, mayBorrow, unwanted }: TokenWait,
    ): Promise<Reservation | BudgetRefusal> {
        return new Promise(resolve => {
            let loanRefusal: BudgetRefusal | undefined;
            const finish = (reservation: Reservation | undefined) => {
                clearTimeout(timer);
                clearTimeout(borrowTimer);
                unwanted?.removeEventListener("abort", abandon);
                const index = account.waiting.indexOf(item);
                if (index >= 0) {
                    account.waiting.splice(index, 1);
                }
                resolve(reservation ?? loanRefusal ?? this.#refusalFor(account, costTokens));
            };
            const abandon = () => finish(undefined);
            const item = {
                costTokens,
                canDraw: () => this.#mayDraw(account, account.waitingTokens),
                resolve: finish,
            };
            const isWaiting = () => account.waiting.includes(item);
            const borrow = () =>
                this.#borrower.borrow(account, costTokens, isWaiting, refusal => {
                    loanRefusal = refusal;
                    if (isWaiting() && !item.canDraw() && !this.#isReleaseDue(account, 0, longestMs)) {
                        finish(undefined);
                    }
                });
            const isDrawing = this.#mayDraw(account, account.waitingTokens + costTokens);
            const timer = setTimeout(() => finish(undefined), longestMs);
            const borrowTimer = mayBorrow && isDrawing ? setTimeout(borrow, BorrowAfterMs) : undefined;
            unwanted?.addEventListener("abort", abandon);
            account.waiting.push(item);
            if (isDrawing) {
                this.tick();
            }
            else if (mayBorrow) {
                borrow();
            }
        });
    }

    #refusalFor(account: TeamAccount, costTokens: number): BudgetRefusal {
        return determineRefusal({
            costTokens,
            prepaidTokens: this.#dependencies.prepaidTokens(account.name) ?? 0,
            ledger: this.#ledgerOf(account.name),
            hostId: this.#dependencies.hostId,
            settledTokens: account.settledTokens,
            isStoreUnavailable: this.#ledgers.isStoreUnavailable(account.name),
            releaseWaitMs: () =>
                account.releaseWaitMs(account.waitingTokens + costTokens, this.#nowMs, ReleaseHorizonMs),
        });
    }

    #logRefusal(
        requestId: string,
        account: TeamAccount,
        costTokens: number,
        startedMs: number,
        refusal: BudgetRefusal,
    ): void {
        log.info("reservation refused", {
            request: requestId,
            team: account.name,
            result: refusal.reason,
            retryAfterMs: refusal.retryAfterMs,
            lender: refusal.lender,
            waitedMs: Math.round(this.#nowMs - startedMs),
            costTokens,
            ...this.#describe(account),
        });
    }

    /** The numbers that decide about a team's tokens here, and how old they are. */
    #describe(account: TeamAccount): Record<string, unknown> {
        const ledger = this.#ledgerOf(account.name) ?? EmptyTeamLedger;
        const prepaidTokens = this.#dependencies.prepaidTokens(account.name) ?? 0;
        const sync = this.#ledgers.find(account.name);
        return {
            spareTokens: account.availableTokens(this.#nowMs),
            heldTokens: account.grantedTokens - account.usedTokens,
            borrowedTokens: account.borrowedTokens,
            prepaidTokens,
            unheldTokens: unallocatedTokens(ledger, prepaidTokens),
            atRiskTokens: ledger.atRiskTokens,
            ledgerVersion: sync?.lastKnown?.version,
            ledgerAgeMs: sync === undefined ? undefined : Math.round(sync.ageMs),
            storeLost: this.#ledgers.isStoreUnavailable(account.name),
        };
    }
}

/** @returns Whether the tokens were refused. */
export function isRefusal(result: Reservation | BudgetRefusal): result is BudgetRefusal {
    return "reason" in result;
}
