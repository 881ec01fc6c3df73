/** Decides whether a request may spend its team's prepaid tokens. */
import type { Clock } from "../../base/clock.js";
import { log } from "../../base/log.js";
import type { PeerChannel } from "../peers/peerChannel.js";
import { EdgeAccounts } from "./edgeAccounts.js";
import {
    countRecentHosts,
    EmptyTeamLedger,
    lendersOf,
    mostHeldByOthers,
    settledByOthers,
    unheldTokens,
} from "./ledger.js";
import { LedgerSync, type LedgerSyncParts } from "./ledgerSync.js";
import { OwnRecords } from "./ownRecords.js";
import { RecordSync } from "./recordSync.js";
import type { Reservation, TeamAccount } from "./teamAccount.js";
import { TokenLoans } from "./tokenLoans.js";

/** Age up to which the ledger's word that no tokens are left to draw is taken for true, in milliseconds. */
const FreshLedgerMs = 1_000;

/** Time after which a host that wrote nothing is not counted, in milliseconds. */
const HostSilenceMs = 15_000;

/** Longest wait of a request for tokens, in milliseconds: a release that is due, or calls of a store that answers slowly. */
const LongestWaitMs = 800;

/** Time that a write to the ledger has before other hosts are asked, in milliseconds: a few answers of a sound store. */
const BorrowAfterMs = 40;

/**
 * Why tokens are not available: `exhausted` by the known spending of all hosts; `heldElsewhere`, so that another host may serve
 * the request at once; `fragmented` among hosts until they divide the rest anew; `atRisk` with processes that were killed,
 * so that only a top-up helps.
 */
export type ReservationRefusal = "exhausted" | "heldElsewhere" | "fragmented" | "atRisk";

/** Reservation of a team without a limit. */
const FreeReservation: Reservation = { ownTokens: 0, borrowedTokens: 0 };

/** What the keeper is built from. */
export interface BudgetKeeperParts extends LedgerSyncParts {
    readonly clock: Clock;
    /** Carries loans between hosts. */
    readonly channel: PeerChannel;
    /** Key of this host's own record; `key` is that of the ledger. */
    readonly recordKey: string;
    /** @returns The machine's steady clock in milliseconds; processes of one start of a machine share it. */
    steadyMs(): number;
}

/** Reserves tokens locally; draws and returns shares in the background. */
export class BudgetKeeper {
    readonly #parts: BudgetKeeperParts;
    readonly #accounts: EdgeAccounts;
    readonly #sync: LedgerSync;
    readonly #recordSync: RecordSync;
    readonly #loans: TokenLoans;

    constructor(parts: BudgetKeeperParts) {
        this.#parts = parts;
        this.#accounts = new EdgeAccounts(parts.clock);
        const records = new OwnRecords(parts.incarnation, this.#accounts, () => parts.steadyMs());
        const { store, recordKey, incarnation, counters } = parts;
        this.#recordSync = new RecordSync({ store, key: recordKey, incarnation, counters, records }, this.#accounts);
        this.#sync = new LedgerSync(parts, this.#accounts, records, this.#recordSync);
        this.#loans = new TokenLoans({
            clock: parts.clock,
            counters: parts.counters,
            channel: parts.channel,
            accounts: this.#accounts,
            incarnation: parts.incarnation,
            lenders: team => lendersOf(this.#sync.known?.ledger, team, parts.hostId, this.#accounts.wallMs),
            onFruitless: account => this.#refuseWaiting(account),
        });
    }

    /** @returns Whether the shares of this incarnation are acknowledged. */
    get isEstablished(): boolean {
        return this.#sync.isEstablished;
    }

    /** @returns Hosts that share the budgets. */
    get hostCount(): number {
        const ledger = this.#sync.known?.ledger;
        const recent = ledger === undefined ? 0 : countRecentHosts(ledger, this.#accounts.wallMs, HostSilenceMs);
        return Math.max(1, recent, this.#parts.expectedHostCount);
    }

    /** @returns Addresses of the other hosts, for load reports. */
    get peerAddresses(): readonly string[] {
        return Object.entries(this.#sync.known?.ledger.hosts ?? {})
            .filter(([id]) => id !== this.#parts.hostId)
            .map(([, { peerAddress }]) => peerAddress);
    }

    /** @returns Numbers of each team, for the state dump. */
    dumpState(): unknown {
        return {
            established: this.#sync.isEstablished,
            version: this.#sync.known?.version,
            teams: Object.fromEntries(this.#accounts.all.map(account => [account.name, {
                grantedTokens: account.grantedTokens,
                usedTokens: account.usedTokens,
                settledTokens: account.settledTokens,
            }])),
        };
    }

    /** Writes when something is due; called every few ten milliseconds. */
    tick(): void {
        this.#sync.tick();
        this.#recordSync.tick(this.#sync.mayRecord);
        for (const account of this.#accounts.all) {
            account.serveWaiting(this.#accounts.nowMs);
        }
    }

    /** The store answers again. */
    onStoreReturned(): void {
        this.#sync.onStoreReturned();
        this.#recordSync.onStoreReturned();
    }

    /** Gives all unused tokens back. */
    close(): Promise<void> {
        return this.#sync.close();
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
    ): Promise<Reservation | ReservationRefusal> {
        const result = await this.#reserve(team, costTokens, waitMs);
        if (typeof result === "string") {
            this.#logRefusal(requestId, team, costTokens, result);
        }
        return result;
    }

    async #reserve(team: string, costTokens: number, waitMs: number): Promise<Reservation | ReservationRefusal> {
        if (this.#parts.prepaidTokens(team) === undefined) {
            return FreeReservation;
        }
        const account = this.#accounts.open(team);
        account.noteDemand(costTokens, this.#accounts.nowMs);
        const reservation = account.tryReserve(costTokens, this.#accounts.nowMs);
        if (reservation !== undefined) {
            return reservation;
        }
        if (this.#refusalFor(team, costTokens) === "exhausted") {
            return "exhausted";
        }
        return await this.#waitForTokens(account, costTokens, waitMs) ?? this.#refusalFor(team, costTokens);
    }

    /** Replaces a reservation by what the request cost. */
    settle(team: string, reservation: Reservation, costTokens: number): void {
        const account = this.#accounts.find(team);
        account?.settle(reservation, costTokens);
        account?.serveWaiting(this.#accounts.nowMs);
    }

    /** The numbers that decided a refusal, and how old they are. */
    #logRefusal(requestId: string, team: string, costTokens: number, result: ReservationRefusal): void {
        const account = this.#accounts.open(team);
        const ledger = this.#sync.known?.ledger.teams[team] ?? EmptyTeamLedger;
        const prepaidTokens = this.#parts.prepaidTokens(team) ?? 0;
        const spentTokens = settledByOthers(ledger, this.#parts.hostId) + account.usedTokens;
        log.info("reservation refused", {
            request: requestId,
            team,
            result,
            costTokens,
            spareTokens: account.spareTokens(this.#accounts.nowMs),
            heldTokens: account.grantedTokens - account.usedTokens,
            borrowedTokens: account.borrowedTokens,
            prepaidTokens,
            unheldTokens: unheldTokens(ledger, prepaidTokens),
            unspentTokens: prepaidTokens - spentTokens - ledger.atRiskTokens,
            atRiskTokens: ledger.atRiskTokens,
            ledgerVersion: this.#sync.known?.version,
            ledgerAgeMs: Math.round(this.#sync.ageMs),
            storeLost: this.#isStoreLost,
        });
    }

    get #isStoreLost(): boolean {
        return this.#sync.isFailing || this.#recordSync.isFailing;
    }

    /** Whether a wait can help: not while the store is lost, nor when it has just said that nothing is left to draw. */
    #mayDraw(account: TeamAccount): boolean {
        if (this.#isStoreLost || this.#sync.known === undefined) {
            return !this.#isStoreLost;
        }
        const team = this.#sync.known.ledger.teams[account.name] ?? EmptyTeamLedger;
        const prepaid = this.#parts.prepaidTokens(account.name) ?? 0;
        const held = account.grantedTokens - account.usedTokens;
        const isFresh = this.#sync.ageMs < FreshLedgerMs;
        return !isFresh || held + unheldTokens(team, prepaid) >= account.waitingTokens;
    }

    /** Waits for a write to the ledger or a loan, whichever covers the request first. */
    #waitForTokens(account: TeamAccount, costTokens: number, waitMs: number): Promise<Reservation | undefined> {
        return new Promise(resolve => {
            const timer = setTimeout(() => item.settle(undefined), Math.min(waitMs, LongestWaitMs));
            const borrowTimer = setTimeout(() => this.#loans.search(account), BorrowAfterMs);
            const item = {
                costTokens,
                isDrawing: () => this.#mayDraw(account),
                settle: (reservation: Reservation | undefined) => {
                    clearTimeout(timer);
                    clearTimeout(borrowTimer);
                    const index = account.waiting.indexOf(item);
                    if (index >= 0) {
                        account.waiting.splice(index, 1);
                    }
                    resolve(reservation);
                },
            };
            account.waiting.push(item);
            if (item.isDrawing()) {
                this.tick();
            }
            else {
                this.#loans.search(account);
            }
        });
    }

    /** A balance counts as exhausted only if the known spending of all hosts leaves too little, whoever holds the rest. */
    #refusalFor(team: string, costTokens: number): ReservationRefusal {
        const prepaid = this.#parts.prepaidTokens(team);
        const ledger = this.#sync.known?.ledger.teams[team];
        if (prepaid === undefined || ledger === undefined) {
            return "heldElsewhere";
        }
        const spent = settledByOthers(ledger, this.#parts.hostId) + this.#accounts.open(team).usedTokens;
        if (prepaid - spent < costTokens) {
            return "exhausted";
        }
        if (prepaid - spent - ledger.atRiskTokens < costTokens) {
            return "atRisk";
        }
        const isHeld = unheldTokens(ledger, prepaid) >= costTokens ||
            mostHeldByOthers(ledger, this.#parts.hostId) >= costTokens;
        return isHeld ? "heldElsewhere" : "fragmented";
    }

    /** Nobody can lend: refuses the requests that neither a write nor a release serves in time. */
    #refuseWaiting(account: TeamAccount): void {
        let releasedTokens = 0;
        for (const item of account.waiting.filter(waiting => !waiting.isDrawing())) {
            const wantedTokens = releasedTokens + item.costTokens;
            if (account.releaseWaitMs(wantedTokens, this.#accounts.nowMs, LongestWaitMs) === undefined) {
                item.settle(undefined);
            }
            else {
                releasedTokens = wantedTokens;
            }
        }
    }
}
