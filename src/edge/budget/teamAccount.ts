/** One team's tokens on this host. */
import { DemandAverage } from "../../features/budget/budgetMath.js";
import { allowedTokens, type SpendingBound } from "./spendingRight.js";

/** Time constant of the demand average, in milliseconds: long enough for a team with a request every few seconds. */
const DemandWindowMs = 20_000;

/** Least time over which the first requests of a process are averaged, in milliseconds. */
const ShortestDemandMs = 2_000;

/** Demand that the limit covers at once, in milliseconds: until a record's rest is released, and a margin for swings. */
const LimitHorizonMs = 1_800;

/** Demand within which a request of mean cost counts as expected, in milliseconds: then the limit covers it. */
const ExpectedRequestMs = 10_000;

/**
 * Release of an old record's rest as a multiple of the demand. A larger one serves teams that send more than usual in an
 * outage, a smaller one leaves more to spend when processes are killed in an outage.
 */
const ReleaseFactor = 1.6;

/** The same for a team with a request now and then, which is released whole or not at all. */
const ThinReleaseFactor = 4;

/** Time in which at least one request of mean cost is released, in milliseconds. */
const ReleaseRequestMs = 1_500;

/** Cost assumed before a team's first request at this host, in tokens: a short chat with a part of a long prompt. */
const InitialCostTokens = 4_000;

/**
 * Time in which a request of mean cost is released to a team without requests at the host, in milliseconds: an outage of
 * the store serves the first ones, while a kill puts a few hundred tokens of each team at risk.
 */
const UnmetReleaseMs = 12_000;

/** Weight of the newest request in the mean cost. */
const MeanCostWeight = 0.1;

/** Tokens reserved for one request, by where they come from. */
export interface Reservation {
    /** Covered by this host's own record. */
    readonly ownTokens: number;
    /** Borrowed from other hosts, which count them as spent. */
    readonly borrowedTokens: number;
}

/** A reservation that waits for tokens. */
export interface WaitingReservation {
    readonly costTokens: number;
    /** Whether a write to the ledger can still help. */
    readonly isDrawing: boolean;
    settle(reservation: Reservation | undefined): void;
}

/** A bound with the monotonic time at which its record was made, in milliseconds. */
export interface DatedBound extends SpendingBound {
    readonly madeMs: number;
}

/** Bound of a host without a record. */
const NoBound: DatedBound = { grantedTokens: 0, limitTokens: 0, releaseTokensPerS: 0, madeMs: 0 };

/** Numbers of one team: allowed by the ledger, reserved by running requests, settled by finished ones. */
export class TeamAccount {
    readonly name: string;
    readonly waiting: WaitingReservation[] = [];
    readonly #demand: DemandAverage;
    #openedMs: number;
    /** Bound of the newest record that the store acknowledged. */
    #acknowledged: DatedBound | undefined;
    /** Bounds of records that may take effect or not: spending keeps to all of them. */
    #proposed: DatedBound[] = [];
    #meanCostTokens = InitialCostTokens;
    #reservedTokens = 0;
    #settledTokens = 0;
    #lentTokens = 0;
    /** Borrowed tokens that are not reserved. */
    #borrowedTokens = 0;

    constructor(name: string, nowMs: number) {
        this.name = name;
        this.#openedMs = nowMs;
        this.#demand = new DemandAverage(DemandWindowMs, nowMs);
    }

    /** @returns Tokens that this incarnation holds in all. */
    get grantedTokens(): number {
        return Math.min(...this.#bounds.map(bound => bound.grantedTokens));
    }

    /** @returns Tokens of the own record that are spent, lent or reserved. */
    get usedTokens(): number {
        return this.settledTokens + this.#reservedTokens;
    }

    /** @returns Tokens of the own record that finished requests have cost or that were lent. */
    get settledTokens(): number {
        return this.#settledTokens + this.#lentTokens;
    }

    /** @returns Borrowed tokens that may be reserved. */
    get borrowedTokens(): number {
        return this.#borrowedTokens;
    }

    /** @returns Sum of the waiting reservations. */
    get waitingTokens(): number {
        return this.waiting.reduce((sum, { costTokens }) => sum + costTokens, 0);
    }

    /** @returns Tokens that the waiting reservations miss. */
    missingTokens(nowMs: number): number {
        return this.waitingTokens - this.#borrowedTokens - Math.max(0, this.spareTokens(nowMs));
    }

    /** @returns Tokens of the own record that may be reserved now. */
    spareTokens(nowMs: number): number {
        const allowed = this.#bounds.map(bound => allowedTokens(bound, nowMs - bound.madeMs));
        return Math.min(...allowed) - this.usedTokens;
    }

    /** @returns Whether a new record would let clearly more be spent at once. */
    wantsRecord(nowMs: number): boolean {
        const spare = this.spareTokens(nowMs);
        return spare < this.#headroomTokens(nowMs) / 3 && spare < this.grantedTokens - this.usedTokens;
    }

    /** Records a request for tokens. */
    noteDemand(costTokens: number, nowMs: number): void {
        this.#demand.add(costTokens, nowMs);
        this.#meanCostTokens += MeanCostWeight * (costTokens - this.#meanCostTokens);
    }

    /** Starts from the demand that the previous process of this host saw. */
    inheritDemand(tokensPerS: number, nowMs: number): void {
        this.#demand.add(tokensPerS * DemandWindowMs / 1_000, nowMs);
        this.#openedMs = Number.NEGATIVE_INFINITY;
    }

    /** @returns The reservation, or `undefined` when too few tokens are left. */
    tryReserve(costTokens: number, nowMs: number): Reservation | undefined {
        const borrowedTokens = Math.min(costTokens, this.#borrowedTokens);
        const ownTokens = costTokens - borrowedTokens;
        if (ownTokens > Math.max(0, this.spareTokens(nowMs))) {
            return undefined;
        }
        this.#reservedTokens += ownTokens;
        this.#borrowedTokens -= borrowedTokens;
        return { ownTokens, borrowedTokens };
    }

    /** Replaces a reservation by what the request cost; borrowed tokens are spent first. */
    settle({ ownTokens, borrowedTokens }: Reservation, costTokens: number): void {
        const costBorrowed = Math.min(costTokens, borrowedTokens);
        this.#borrowedTokens += borrowedTokens - costBorrowed;
        this.#reservedTokens -= ownTokens;
        this.#settledTokens += Math.min(costTokens - costBorrowed, ownTokens);
    }

    /** Tokens of another host may be spent here. */
    borrow(tokens: number): void {
        this.#borrowedTokens += tokens;
    }

    /**
     * Gives tokens to another host; this host counts them as spent. Its own waiting requests go first.
     * @returns Tokens lent, at most as many as wanted.
     */
    lend(wantedTokens: number, nowMs: number): number {
        const spareTokens = this.waiting.length > 0 ? 0 : Math.max(0, this.spareTokens(nowMs));
        const tokens = Math.min(wantedTokens, spareTokens);
        this.#lentTokens += tokens;
        return tokens;
    }

    /** Lets waiting reservations have what is spare, in order; a smaller one may pass a larger one. */
    serveWaiting(nowMs: number): void {
        for (const item of [...this.waiting]) {
            const reservation = this.tryReserve(item.costTokens, nowMs);
            if (reservation !== undefined) {
                item.settle(reservation);
            }
        }
    }

    /** @returns Tokens per second that requests ask for; corrected for an average that is younger than its window. */
    demandTokensPerS(nowMs: number): number {
        const ageMs = Math.max(ShortestDemandMs, nowMs - this.#openedMs);
        return Math.round(this.#demand.tokensPerS(nowMs) / (1 - Math.exp(-ageMs / DemandWindowMs)));
    }

    /** @returns The limit to declare with a grant. */
    limitFor(grantedTokens: number, nowMs: number): number {
        const wanted = this.usedTokens + this.waitingTokens + this.#headroomTokens(nowMs);
        return Math.min(grantedTokens, Math.ceil(wanted));
    }

    /** @returns Tokens per second by which the limit rises once the record is old. */
    releaseTokensPerS(nowMs: number): number {
        const demand = this.demandTokensPerS(nowMs);
        const thin = Math.min(this.#meanCostTokens * 1_000 / ReleaseRequestMs, demand * ThinReleaseFactor);
        const unmet = this.#meanCostTokens * 1_000 / UnmetReleaseMs;
        return Math.ceil(Math.max(demand * ReleaseFactor, thin, unmet));
    }

    /** A record is about to be sent: from now on it may take effect. */
    propose(bound: DatedBound): void {
        this.#proposed.push(bound);
    }

    /** The record that was sent last was refused. */
    withdrawLast(): void {
        this.#proposed.pop();
    }

    /** The records that were sent will not take effect any more. */
    withdrawAll(): void {
        this.#proposed = [];
    }

    /** The store holds this bound. */
    acknowledge(bound: DatedBound): void {
        this.#acknowledged = bound;
    }

    get #bounds(): readonly DatedBound[] {
        return [this.#acknowledged ?? NoBound, ...this.#proposed];
    }

    #headroomTokens(nowMs: number): number {
        const demand = this.demandTokensPerS(nowMs);
        const request = Math.min(this.#meanCostTokens, demand * ExpectedRequestMs / 1_000);
        return Math.max(demand * LimitHorizonMs / 1_000, request);
    }
}
