/** One team's tokens on this host. */
import { DemandAverage } from "../../features/budget/budgetMath.js";
import { allowedTokens, type SpendingBound } from "./spendingBound.js";
import type { RecordedBound } from "./spendingRecord.js";

/** Time constant of the demand average, in milliseconds: long enough for a team with a request every few seconds. */
const DemandWindowMs = 20_000;

/** Least time over which the first requests of a process are averaged, in milliseconds. */
const ShortestDemandMs = 2_000;

/**
 * Demand that the limit covers at once, in milliseconds: until the next record, with a margin for swings. More would be at
 * risk with every kill; a request beyond it waits for the answer to a new record.
 */
const LimitHorizonMs = 1_000;

/**
 * Release of an old record's rest as a multiple of the demand. A larger one serves teams that send more than usual in an
 * outage, a smaller one leaves more to spend when processes are killed in an outage.
 */
const ReleaseFactor = 1.2;

/**
 * Demand within which a large request counts as expected, in milliseconds; then it is released as a burst. About twice a
 * long outage of the store.
 */
const ExpectedRequestMs = 15_000;

/** Cost assumed before a team's first request at this host, in tokens: a short chat with a part of a long prompt. */
const InitialCostTokens = 4_000;

/**
 * Time in which a request of mean cost is released to a team without requests at the host, in milliseconds: an outage of
 * the store serves the first ones, while a kill puts a few hundred tokens of each team at risk.
 */
const UnmetReleaseMs = 12_000;

/** Step in which the time until a release is looked for, in milliseconds. */
const ReleaseStepMs = 50;

/** Weight of the newest request in the mean cost. */
const MeanCostWeight = 0.1;

/** Part of the difference by which the cost of a large request falls with each smaller one. */
const LargeCostDecay = 0.02;

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
    /** @returns Whether a write to the store can still help. */
    canDraw(): boolean;
    resolve(reservation: Reservation | undefined): void;
}

/** A bound with the number of its write and the monotonic time at which it was made, in milliseconds. */
export interface TimestampedBound extends SpendingBound {
    readonly sequence: number;
    readonly createdAtMs: number;
}

/** Bound of a host without a record. */
const NoBound: TimestampedBound = { limitTokens: 0, releaseTokensPerS: 0, burstTokens: 0, sequence: 0, createdAtMs: 0 };

/** Numbers of one team: allowed by the ledger, reserved by running requests, settled by finished ones. */
export class TeamAccount {
    readonly name: string;
    readonly waiting: WaitingReservation[] = [];
    readonly #demand: DemandAverage;
    #openedMs: number;
    /** Grant of the ledger, and those of writes that may take effect or not, by their number. */
    #acknowledgedGrant = 0;
    readonly #proposedGrants = new Map<number, number>();
    /** Bound of the newest write that the store acknowledged, and of newer ones that may take effect or not. */
    #acknowledgedBound = NoBound;
    readonly #proposedBounds = new Map<number, TimestampedBound>();
    #meanCostTokens = InitialCostTokens;
    /** Cost of the team's larger requests: teams mix chats with prompts that cost ten times as much. */
    #largeCostTokens = 0;
    #reservedTokens = 0;
    #settledTokens = 0;
    /** Lent tokens of which the borrowers have not yet said what became of them, and those that they have spent. */
    #lentTokens = 0;
    #lentSpentTokens = 0;
    /** Borrowed tokens that are not reserved, and those that finished requests have cost. */
    #borrowedTokens = 0;
    #borrowedSpentTokens = 0;

    constructor(name: string, nowMs: number) {
        this.name = name;
        this.#openedMs = nowMs;
        this.#demand = new DemandAverage(DemandWindowMs, nowMs);
    }

    /** @returns Tokens that this incarnation holds in all. */
    get grantedTokens(): number {
        return Math.min(this.#acknowledgedGrant, ...this.#proposedGrants.values());
    }

    /** @returns Tokens of the own record that are spent, lent or reserved. */
    get usedTokens(): number {
        return this.settledTokens + this.#reservedTokens + this.#lentTokens;
    }

    /** @returns Tokens of the own record that finished requests have cost, here or at borrowers. */
    get settledTokens(): number {
        return this.#settledTokens + this.#lentSpentTokens;
    }

    /** @returns Borrowed tokens that may be reserved. */
    get borrowedTokens(): number {
        return this.#borrowedTokens;
    }

    /** @returns Borrowed tokens that finished requests have cost; cumulative. */
    get borrowedSpentTokens(): number {
        return this.#borrowedSpentTokens;
    }

    /** @returns Sum of the waiting reservations. */
    get waitingTokens(): number {
        return this.waiting.reduce((sum, { costTokens }) => sum + costTokens, 0);
    }

    /** @returns Tokens of the own record that may be reserved now. */
    availableTokens(nowMs: number): number {
        const { grantedTokens } = this;
        const bounds = [this.#acknowledgedBound, ...this.#proposedBounds.values()];
        const allowed = bounds.map(bound => allowedTokens(bound, grantedTokens, nowMs - bound.createdAtMs));
        return Math.min(...allowed) - this.usedTokens;
    }

    /** @returns Whether a new record would let the next requests be served without a wait for it. */
    needsNewRecord(nowMs: number): boolean {
        const headroomTokens = this.#headroomTokens(nowMs);
        const spare = this.availableTokens(nowMs);
        return headroomTokens >= this.#meanCostTokens && spare < headroomTokens / 3 &&
            spare < this.grantedTokens - this.usedTokens;
    }

    /** @returns Whether the waiting reservations need a larger grant. */
    get needsLargerGrant(): boolean {
        return this.waiting.length > 0 &&
            this.waitingTokens - this.#borrowedTokens > this.grantedTokens - this.usedTokens;
    }

    /**
     * @param tokens Tokens that are wanted.
     * @param withinMs Time to look ahead, in milliseconds.
     * @returns Time until so many are spare without a new record; `undefined` when it is longer.
     */
    releaseWaitMs(tokens: number, nowMs: number, withinMs: number): number | undefined {
        for (let waitMs = 0; waitMs <= withinMs; waitMs += ReleaseStepMs) {
            if (this.#borrowedTokens + Math.max(0, this.availableTokens(nowMs + waitMs)) >= tokens) {
                return waitMs;
            }
        }
        return undefined;
    }

    /** Records a request for tokens. */
    recordDemand(costTokens: number, nowMs: number): void {
        this.#demand.add(costTokens, nowMs);
        this.#meanCostTokens += MeanCostWeight * (costTokens - this.#meanCostTokens);
        const difference = costTokens - this.#largeCostTokens;
        this.#largeCostTokens += difference > 0 ? difference : difference * LargeCostDecay;
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
        if (ownTokens > Math.max(0, this.availableTokens(nowMs))) {
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
        this.#borrowedSpentTokens += costBorrowed;
        this.#reservedTokens -= ownTokens;
        this.#settledTokens += Math.min(costTokens - costBorrowed, ownTokens);
    }

    /** Tokens of another host may be spent here. */
    addBorrowedTokens(tokens: number): void {
        this.#borrowedTokens += tokens;
    }

    /**
     * Borrowed tokens go back to their lender.
     * @returns Tokens given back, at most as many as are not reserved.
     */
    returnBorrowedTokens(mostTokens: number): number {
        const tokens = Math.min(mostTokens, this.#borrowedTokens);
        this.#borrowedTokens -= tokens;
        return tokens;
    }

    /** Hands a reservation of own tokens over to another host; they count as used until it tells what became of them. */
    lendReservedTokens(ownTokens: number): void {
        this.#reservedTokens -= ownTokens;
        this.#lentTokens += ownTokens;
    }

    /** A borrower has told what became of lent tokens. */
    settleLoan(spentTokens: number, returnedTokens: number): void {
        this.#lentTokens -= spentTokens + returnedTokens;
        this.#lentSpentTokens += spentTokens;
    }

    /** Lets waiting reservations have what is spare, in order; a smaller one may pass a larger one. */
    serveWaiting(nowMs: number): void {
        for (const item of [...this.waiting]) {
            const reservation = this.tryReserve(item.costTokens, nowMs);
            if (reservation !== undefined) {
                item.resolve(reservation);
            }
        }
    }

    /** @returns Tokens per second that requests ask for; corrected for an average that is younger than its window. */
    demandTokensPerS(nowMs: number): number {
        const ageMs = Math.max(ShortestDemandMs, nowMs - this.#openedMs);
        return Math.round(this.#demand.tokensPerS(nowMs) / (1 - Math.exp(-ageMs / DemandWindowMs)));
    }

    /** @returns The bound to declare with a grant. */
    planBound(grantedTokens: number, nowMs: number): RecordedBound {
        const wanted = this.usedTokens + this.waitingTokens + this.#headroomTokens(nowMs);
        const demand = this.demandTokensPerS(nowMs);
        const isExpected = demand * ExpectedRequestMs / 1_000 >= this.#largeCostTokens;
        return {
            limitTokens: Math.min(grantedTokens, Math.ceil(wanted)),
            releaseTokensPerS: Math.ceil(
                Math.max(demand * ReleaseFactor, this.#meanCostTokens * 1_000 / UnmetReleaseMs),
            ),
            burstTokens: isExpected ? Math.ceil(this.#largeCostTokens) : 0,
            settledTokens: this.settledTokens,
        };
    }

    /**
     * A write is about to be sent: from now on it may take effect.
     * @param grantedTokens The grant that it proposes, if any.
     */
    addProposal(bound: TimestampedBound, grantedTokens?: number): void {
        this.#proposedBounds.set(bound.sequence, bound);
        if (grantedTokens !== undefined) {
            this.#proposedGrants.set(bound.sequence, grantedTokens);
        }
    }

    /** A write has not taken effect and will not any more. */
    discardProposal(sequence: number): void {
        this.#proposedBounds.delete(sequence);
        this.#proposedGrants.delete(sequence);
    }

    /** The store holds this bound; older ones are not in force whether their writes took effect or not. */
    acknowledgeBound(bound: TimestampedBound): void {
        if (bound.sequence >= this.#acknowledgedBound.sequence) {
            this.#acknowledgedBound = bound;
        }
        for (const sequence of this.#proposedBounds.keys()) {
            if (sequence <= bound.sequence) {
                this.#proposedBounds.delete(sequence);
            }
        }
    }

    /** The ledger holds this grant. */
    acknowledgeGrant(grantedTokens: number): void {
        this.#acknowledgedGrant = grantedTokens;
    }

    #headroomTokens(nowMs: number): number {
        return this.demandTokensPerS(nowMs) * LimitHorizonMs / 1_000;
    }
}
