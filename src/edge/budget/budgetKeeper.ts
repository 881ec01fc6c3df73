/** Decides whether a request may spend its team's prepaid tokens. */
import type { Clock } from "../../base/clock.js";
import { log } from "../../base/log.js";
import { EdgeAccounts } from "./edgeAccounts.js";
import { countRecentHosts, EmptyTeamLedger, mostHeldByOthers, settledByOthers, unheldTokens } from "./ledger.js";
import { LedgerSync, type LedgerSyncParts } from "./ledgerSync.js";
import type { TeamAccount } from "./teamAccount.js";

/** Age up to which the ledger's word that no tokens are left to draw is taken for true, in milliseconds. */
const FreshLedgerMs = 1_000;

/** Time after which a host that wrote nothing is not counted, in milliseconds. */
const HostSilenceMs = 15_000;

/** Longest wait of a request for tokens, in milliseconds: two calls of a store that answers slowly. */
const LongestWaitMs = 500;

/**
 * Outcome of a reservation: `exhausted` by the known spending of all hosts; `heldElsewhere`, so that another host may serve
 * the request at once; `fragmented` among hosts until they divide the rest anew; `atRisk` with processes that were killed,
 * so that only a top-up helps.
 */
export type ReservationResult = "reserved" | "exhausted" | "heldElsewhere" | "fragmented" | "atRisk";

/** What the keeper is built from. */
export interface BudgetKeeperParts extends LedgerSyncParts {
    readonly clock: Clock;
}

/** Reserves tokens locally; draws and returns shares in the background. */
export class BudgetKeeper {
    readonly #parts: BudgetKeeperParts;
    readonly #accounts: EdgeAccounts;
    readonly #sync: LedgerSync;

    constructor(parts: BudgetKeeperParts) {
        this.#parts = parts;
        this.#accounts = new EdgeAccounts(parts.clock);
        this.#sync = new LedgerSync(parts, this.#accounts);
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
    }

    /** The store answers again. */
    onStoreReturned(): void {
        this.#sync.onStoreReturned();
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
        const account = this.#accounts.open(team);
        account.noteDemand(costTokens, this.#accounts.nowMs);
        if (account.tryReserve(costTokens, this.#accounts.nowMs)) {
            return "reserved";
        }
        const refusal = this.#refusalFor(team, costTokens);
        if (refusal === "exhausted" || !this.#mayDraw(account, costTokens)) {
            return refusal;
        }
        return this.#waitForTokens(account, costTokens, waitMs);
    }

    /** Replaces a reservation by what the request cost. */
    settle(team: string, reservedTokens: number, costTokens: number): void {
        const account = this.#accounts.find(team);
        account?.settle(reservedTokens, costTokens);
        account?.serveWaiting(this.#accounts.nowMs);
    }

    /** The numbers that decided a refusal, and how old they are. */
    #logRefusal(requestId: string, team: string, costTokens: number, result: ReservationResult): void {
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
            unheldTokens: unheldTokens(ledger, prepaidTokens),
            unspentTokens: prepaidTokens - spentTokens - ledger.atRiskTokens,
            atRiskTokens: ledger.atRiskTokens,
            ledgerVersion: this.#sync.known?.version,
            ledgerAgeMs: Math.round(this.#sync.ageMs),
            storeLost: this.#sync.isFailing,
        });
    }

    /** Whether a wait can help: not while the store is lost, nor when it has just said that nothing is left to draw. */
    #mayDraw(account: TeamAccount, costTokens: number): boolean {
        if (this.#sync.isFailing || this.#sync.known === undefined) {
            return !this.#sync.isFailing;
        }
        const team = this.#sync.known.ledger.teams[account.name] ?? EmptyTeamLedger;
        const prepaid = this.#parts.prepaidTokens(account.name) ?? 0;
        const wanted = account.waitingTokens + costTokens;
        const held = account.grantedTokens - account.usedTokens;
        const isFresh = this.#sync.ageMs < FreshLedgerMs;
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
                    resolve(granted ? "reserved" : this.#refusalFor(account.name, costTokens));
                },
            };
            account.waiting.push(item);
            this.#sync.tick();
        });
    }

    /** A balance counts as exhausted only if the known spending of all hosts leaves too little, whoever holds the rest. */
    #refusalFor(team: string, costTokens: number): ReservationResult {
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
}
