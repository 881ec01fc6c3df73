/** Reserves prepaid tokens for requests, from this host's share of the team's budget or with loans from other hosts. */
import { log } from "../../base/log.js";
import type { PeerChannel } from "../peers/peerChannel.js";
import { type BudgetRefusal, determineRefusal, NoLenderRefusal, ReleaseHorizonMs } from "./budgetRefusal.js";
import { HomeHostSelector, type Lenders } from "./homeHostSelector.js";
import { EmptyTeamLedger, settledTokensOfOthers, type TeamLedger, unallocatedTokens } from "./ledger.js";
import { LedgerManager, type LedgerManagerDependencies } from "./ledgerManager.js";
import { LendingHandover } from "./lendingHandover.js";
import { LoanBorrower } from "./loanBorrower.js";
import { type LoanDecision, LoanLender } from "./loanLender.js";
import type { Reservation, TeamAccount } from "./teamAccount.js";
import { TeamAccounts } from "./teamAccounts.js";

/**
 * Age up to which a ledger without tokens to draw is not read again, in milliseconds. Top-ups reach this host at once with
 * the configuration; otherwise, tokens become available only when another host returns some.
 */
const FreshLedgerAgeMs = 3_000;

/**
 * Maximum wait of a request for tokens, in milliseconds. It covers a release that is due, or the calls of a store that
 * responds slowly.
 */
const MaxWaitMs = 800;

/**
 * Maximum wait of a loan request from another host, in milliseconds. It is shorter than {@link MaxWaitMs}, the wait of the
 * request that the loan is for.
 */
const MaxLoanWaitMs = 500;

/** Time for a write to the ledger before other hosts are asked, in milliseconds: a few round trips to a healthy store. */
const BorrowDelayMs = 40;

/** How long a request waits for tokens, and what it may do in that time. */
interface TokenWait {
    /** Urgency of the request; 0 goes first. */
    readonly rank: number;
    /** Maximum wait, in milliseconds. */
    readonly maxWaitMs: number;
    /** Whether other hosts may be asked for tokens. */
    readonly canBorrow: boolean;
    /** Ends the wait when aborted; `undefined` where the wait cannot be cancelled. */
    readonly abortSignal: AbortSignal | undefined;
}

/** Limits of the wait for a loan request of another host; this host does not borrow tokens in order to lend them. */
const LoanTokenWait: Omit<TokenWait, "rank"> = { maxWaitMs: MaxLoanWaitMs, canBorrow: false, abortSignal: undefined };

/** Reservation for a team without a limit, which needs no tokens. */
const EmptyReservation: Reservation = { ownTokens: 0, borrowedTokens: 0 };

/** Identity, zone and address of another host that may hold tokens. */
export interface PeerHost {
    readonly hostId: string;
    readonly zone: string;
    /** `IP:port` for messages between hosts. */
    readonly peerAddress: string;
}

/** Collaborators and settings of a {@link BudgetManager}. */
export interface BudgetManagerDependencies extends Omit<LedgerManagerDependencies, "homeHostIds"> {
    /** Carries loans between hosts. */
    readonly channel: PeerChannel;
    /** Availability zone of this host. */
    readonly zone: string;
    /** @returns The other hosts, the same object until they change; `undefined` before they are known. */
    otherHosts(): readonly PeerHost[] | undefined;
}

/** Selector of home hosts, with the list of other hosts from which it was built. */
interface CachedHomeHosts {
    readonly otherHosts: readonly PeerHost[];
    readonly selector: HomeHostSelector<PeerHost>;
}

/**
 * Reserves and settles prepaid tokens for requests at this host. Tokens that the host does not hold are borrowed from the
 * team's home hosts, and its own are lent to other hosts on request.
 */
export class BudgetManager {
    readonly #dependencies: BudgetManagerDependencies;
    readonly #accounts: TeamAccounts;
    readonly #ledgers: LedgerManager;
    readonly #borrower: LoanBorrower;
    #cachedHomeHosts: CachedHomeHosts | undefined;
    readonly #handover: LendingHandover;

    constructor(dependencies: BudgetManagerDependencies) {
        this.#dependencies = dependencies;
        this.#accounts = new TeamAccounts(dependencies.clock);
        this.#ledgers = new LedgerManager(
            { ...dependencies, homeHostIds: team => this.#homeIds(team) },
            this.#accounts,
        );
        const { clock, counters, channel, incarnation } = dependencies;
        this.#handover = new LendingHandover({
            clock,
            channel,
            lentTeams: () => dependencies.prepaidTeams().filter(team => this.#isHome(team)),
            standInAddress: team => this.#lendersOf(team).fallbackHosts[0],
            isStoreUnavailable: team => this.#ledgers.isStoreUnavailable(team),
            onStandIn: team => this.#ledgers.open(team),
        });
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
            reserveForLoan: (...args) => this.#reserveForLoan(...args),
            logFields: team => this.#collectLogFields(this.#accounts.getOrCreate(team)),
        });
    }

    /** @returns Whether any ledger is open, so that this host may hold tokens of a team. */
    get hasOpenLedgers(): boolean {
        return this.#ledgers.hasOpenLedgers;
    }

    /** @returns Token counts and ledger version of each team, for the state dump. */
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

    /**
     * Writes ledgers and loan reports that are due, and serves waiting requests. Must be called every few tens of milliseconds.
     */
    tick(): void {
        this.#handover.tick();
        this.#ledgers.tick();
        this.#borrower.tick();
        for (const account of this.#accounts.all) {
            account.serveWaiting(this.#nowMs);
        }
    }

    /** Must be called when the store can be reached again; ledgers and records are then written without delay. */
    onStoreReconnected(): void {
        this.#ledgers.onStoreReconnected();
    }

    /**
     * Must be called when the store has come back from a copy, which may lack the last writes of this host.
     * @param history The store's new history; see `storeHistory.ts`.
     */
    onStoreRestored(history: number): void {
        this.#ledgers.onStoreRestored(history);
    }

    /** Passes lending on to other hosts, so that open loans can be settled before the process ends. */
    startLeaving(): void {
        this.#handover.startLeaving();
    }

    /** Returns all unused tokens to lenders and to the ledgers; resolves after one attempt to write each ledger. */
    close(): Promise<void> {
        this.#borrower.close();
        return this.#ledgers.close();
    }

    /**
     * Reserves the worst-case cost of a request.
     * @param requestId Identifies the request in the log.
     * @param costTokens Worst-case cost in tokens.
     * @param waitMs Maximum wait for tokens, in milliseconds; values above {@link MaxWaitMs} are reduced to it.
     * @param abortSignal Ends the wait with a refusal that is not logged.
     * @param rank Urgency of the request; 0 goes first while tokens are scarce.
     * @returns The reservation, which must be settled, or the reason why there is none.
     */
    async reserve(
        requestId: string,
        team: string,
        costTokens: number,
        waitMs: number,
        abortSignal?: AbortSignal,
        rank = 0,
    ): Promise<Reservation | BudgetRefusal> {
        if (this.#dependencies.prepaidTokens(team) === undefined) {
            return EmptyReservation;
        }
        const account = this.#accounts.getOrCreate(team);
        account.recordDemand(costTokens, this.#nowMs, rank);
        const startedMs = this.#nowMs;
        const wait: TokenWait = { rank, maxWaitMs: Math.min(waitMs, MaxWaitMs), canBorrow: true, abortSignal };
        const result = await this.#reserve(account, costTokens, wait);
        if (isRefusal(result) && abortSignal?.aborted !== true) {
            this.#logRefusal(requestId, account, { costTokens, rank }, startedMs, result);
        }
        return result;
    }

    /** Replaces a reservation with the actual cost of the request, and serves waiting requests from the remainder. */
    settle(team: string, reservation: Reservation, costTokens: number): void {
        const account = this.#accounts.find(team);
        account?.settle(reservation, costTokens);
        account?.serveWaiting(this.#nowMs);
    }

    get #nowMs(): number {
        return this.#accounts.nowMs;
    }

    /**
     * Home hosts as this host plans its share: with itself while it is a stand-in, and without itself once it has handed over,
     * so that it returns the tokens that its open requests and loans do not need.
     */
    #homeIds(team: string): readonly string[] {
        const homeIds = this.#homeHostSelector?.homeHostIds(team) ?? [];
        const { hostId } = this.#dependencies;
        if (this.#handover.hasHandedOver(team)) {
            return homeIds.filter(id => id !== hostId);
        }
        return this.#handover.isStandIn(team) && !homeIds.includes(hostId) ? [...homeIds, hostId] : homeIds;
    }

    #isHome(team: string): boolean {
        return this.#homeIds(team).includes(this.#dependencies.hostId);
    }

    get #homeHostSelector(): HomeHostSelector<PeerHost> | undefined {
        const others = this.#dependencies.otherHosts();
        if (others !== undefined && this.#cachedHomeHosts?.otherHosts !== others) {
            const { hostId, zone, peerAddress } = this.#dependencies;
            this.#cachedHomeHosts = {
                otherHosts: others,
                selector: new HomeHostSelector([...others, { hostId, zone, peerAddress }]),
            };
        }
        return this.#cachedHomeHosts?.selector;
    }

    #lendersOf(team: string): Lenders<string> {
        const lenders = this.#homeHostSelector?.lendersOf(team, this.#dependencies);
        return {
            homeHosts: lenders?.homeHosts.map(({ peerAddress }) => peerAddress) ?? [],
            fallbackHosts: lenders?.fallbackHosts.map(({ peerAddress }) => peerAddress) ?? [],
        };
    }

    #ledgerOf(team: string): TeamLedger | undefined {
        const known = this.#ledgers.find(team)?.lastKnown;
        return known === undefined ? undefined : known.ledger.teams[team] ?? EmptyTeamLedger;
    }

    /** Reserves at once if possible; otherwise waits for a ledger write, a release or a loan, whichever comes first. */
    #reserve(
        account: TeamAccount,
        costTokens: number,
        wait: TokenWait,
    ): Reservation | BudgetRefusal | Promise<Reservation | BudgetRefusal> {
        const reservation = account.tryReserve(costTokens, this.#nowMs, wait.rank);
        if (reservation !== undefined) {
            return reservation;
        }
        const refusal = this.#refusalFor(account, costTokens, wait.rank);
        const cannotBeServed = refusal.reason === "exhausted" ||
            (!wait.canBorrow && !this.#canDraw(account, costTokens) &&
                !this.#isReleaseDue(account, costTokens, wait));
        return cannotBeServed || wait.abortSignal?.aborted === true ?
            refusal :
            this.#waitForTokens(account, costTokens, wait);
    }

    /** Reserves own tokens for another host; if there are too few, the tokens that are available are lent. */
    #reserveForLoan(
        team: string,
        tokens: number,
        hasBeenRefused: boolean,
        rank: number,
    ): LoanDecision | Promise<LoanDecision> {
        const { isLeaving } = this.#handover;
        if (this.#dependencies.prepaidTokens(team) === undefined || this.#handover.hasHandedOver(team)) {
            return { ownTokens: 0, refusal: NoLenderRefusal, isLeaving };
        }
        if (!this.#isHome(team) || this.#handover.isStandIn(team)) {
            this.#handover.recordStandInRequest(team);
        }
        this.#ledgers.open(team);
        const account = this.#accounts.getOrCreate(team);
        if (!hasBeenRefused) {
            account.recordDemand(tokens, this.#nowMs, rank);
        }
        const finish = (result: Reservation | BudgetRefusal): LoanDecision => {
            const loan = this.#toLoan(account, result, rank);
            // What every lender refuses is one demand; counted by each, it would raise the release of all.
            if (hasBeenRefused && loan.ownTokens > 0) {
                account.recordDemand(loan.ownTokens, this.#nowMs, rank);
            }
            return { ...loan, isLeaving: this.#handover.isLeaving };
        };
        const result = this.#reserve(account, tokens, { ...LoanTokenWait, rank });
        return result instanceof Promise ? result.then(finish) : finish(result);
    }

    #toLoan(account: TeamAccount, result: Reservation | BudgetRefusal, rank: number): LoanDecision {
        if (!isRefusal(result)) {
            account.addBorrowedTokens(result.borrowedTokens);
            return { ownTokens: result.ownTokens };
        }
        const availableTokens = account.waiting.length > 0 ?
            0 :
            Math.max(0, account.availableTokensFor(rank, this.#nowMs));
        const partialReservation = account.tryReserve(availableTokens, this.#nowMs, rank);
        account.addBorrowedTokens(partialReservation?.borrowedTokens ?? 0);
        return { ownTokens: partialReservation?.ownTokens ?? 0, refusal: result };
    }

    /**
     * Whether a ledger write can provide the tokens: not while the store is unreachable, nor when a fresh copy of the
     * ledger shows that too few are unallocated.
     */
    #canDraw(account: TeamAccount, neededTokens: number): boolean {
        const ledger = this.#ledgers.find(account.name);
        if (ledger === undefined || this.#ledgers.isStoreUnavailable(account.name)) {
            return false;
        }
        const team = this.#ledgerOf(account.name);
        if (team === undefined || ledger.ageMs >= FreshLedgerAgeMs) {
            return true;
        }
        const prepaid = this.#dependencies.prepaidTokens(account.name) ?? 0;
        return account.grantedTokens - account.usedTokens + unallocatedTokens(team, prepaid) >= neededTokens;
    }

    /** Whether the release of the own record covers the waiting requests that are as urgent and this one within the time of its wait. */
    #isReleaseDue(account: TeamAccount, costTokens: number, { rank, maxWaitMs }: TokenWait): boolean {
        const neededTokens = account.waitingTokensUpTo(rank) + costTokens;
        return account.releaseWaitMs(neededTokens, this.#nowMs, maxWaitMs, rank) !== undefined;
    }

    #waitForTokens(
        account: TeamAccount,
        costTokens: number,
        wait: TokenWait,
    ): Promise<Reservation | BudgetRefusal> {
        const { rank, maxWaitMs, canBorrow, abortSignal } = wait;
        return new Promise(resolve => {
            let loanRefusal: BudgetRefusal | undefined;
            const finish = (reservation: Reservation | undefined) => {
                clearTimeout(timer);
                clearTimeout(borrowTimer);
                abortSignal?.removeEventListener("abort", cancelWait);
                const index = account.waiting.indexOf(item);
                if (index >= 0) {
                    account.waiting.splice(index, 1);
                }
                resolve(reservation ?? loanRefusal ?? this.#refusalFor(account, costTokens, rank));
            };
            const cancelWait = () => finish(undefined);
            const item = {
                costTokens,
                rank,
                canDraw: () => this.#canDraw(account, account.waitingTokens),
                resolve: finish,
            };
            const isWaiting = () => account.waiting.includes(item);
            const borrow = () =>
                this.#borrower.borrow(account, costTokens, rank, isWaiting, refusal => {
                    loanRefusal = refusal;
                    if (isWaiting() && !item.canDraw() && !this.#isReleaseDue(account, 0, wait)) {
                        finish(undefined);
                    }
                });
            const isDrawing = this.#canDraw(account, account.waitingTokens + costTokens);
            const timer = setTimeout(() => finish(undefined), maxWaitMs);
            const borrowTimer = canBorrow && isDrawing ? setTimeout(borrow, BorrowDelayMs) : undefined;
            abortSignal?.addEventListener("abort", cancelWait);
            account.waiting.push(item);
            if (isDrawing) {
                this.tick();
            }
            else if (canBorrow) {
                borrow();
            }
        });
    }

    #refusalFor(account: TeamAccount, costTokens: number, rank: number): BudgetRefusal {
        return determineRefusal({
            costTokens,
            prepaidTokens: this.#dependencies.prepaidTokens(account.name) ?? 0,
            ledger: this.#ledgerOf(account.name),
            hostId: this.#dependencies.hostId,
            settledTokens: account.settledTokens,
            isStoreUnavailable: this.#ledgers.isStoreUnavailable(account.name),
            releaseWaitMs: () =>
                account.releaseWaitMs(
                    account.waitingTokensUpTo(rank) + costTokens,
                    this.#nowMs,
                    ReleaseHorizonMs,
                    rank,
                ),
        });
    }

    #logRefusal(
        requestId: string,
        account: TeamAccount,
        request: { readonly costTokens: number; readonly rank: number; },
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
            ...request,
            ...this.#collectLogFields(account),
        });
    }

    /**
     * Collects for the log the token counts that decide about a team's requests at this host, and the age of the ledger. Fields
     * of the ledger are left out while this host does not know it.
     */
    #collectLogFields(account: TeamAccount): Record<string, unknown> {
        const ledger = this.#ledgerOf(account.name);
        const prepaidTokens = this.#dependencies.prepaidTokens(account.name) ?? 0;
        const sync = this.#ledgers.find(account.name);
        return {
            spareTokens: account.availableTokens(this.#nowMs),
            heldTokens: account.grantedTokens - account.usedTokens,
            borrowedTokens: account.borrowedTokens,
            prepaidTokens,
            unheldTokens: ledger === undefined ? undefined : unallocatedTokens(ledger, prepaidTokens),
            settledTokens: ledger === undefined ?
                undefined :
                account.settledTokens + settledTokensOfOthers(ledger, this.#dependencies.hostId),
            atRiskTokens: ledger?.atRiskTokens,
            ledgerVersion: sync?.lastKnown?.version,
            ledgerAgeMs: sync === undefined ? undefined : Math.round(sync.ageMs),
            storeLost: this.#ledgers.isStoreUnavailable(account.name),
        };
    }
}

/** @returns Whether the result is a refusal and not a reservation. */
export function isRefusal(result: Reservation | BudgetRefusal): result is BudgetRefusal {
    return "reason" in result;
}
