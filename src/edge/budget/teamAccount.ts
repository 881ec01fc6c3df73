/** Counts one team's tokens at this host: granted, reserved, settled, lent and borrowed. */
import { DemandAverage } from "../../features/budget/budgetMath.js";
import { UrgentReserve } from "../../scheduling/urgentReserve.js";
import { allowedTokens, ReleaseAfterMs, type SpendingBound } from "./spendingBound.js";
import type { RecordedBound } from "./spendingRecord.js";

/** Time constant of the demand average, in milliseconds; long enough for a team with a request every few seconds. */
const DemandWindowMs = 20_000;

/** Minimum time over which the first requests of a process are averaged, in milliseconds. */
const MinDemandAgeMs = 2_000;

/**
 * Time for which the limit of a new record covers the demand, in milliseconds: until the next record, with a margin for
 * fluctuations. A longer time would put more tokens at risk with every kill; a request beyond the limit waits until the
 * store has acknowledged a new record.
 */
const LimitHorizonMs = 1_000;

/**
 * Rate at which the limit of an old record rises, as a multiple of the demand. A larger factor serves teams that send more
 * than usual in an outage; a smaller one leaves more to spend when processes are killed in an outage.
 */
const ReleaseFactor = 1.2;

/**
 * A large request counts as expected, and is released as a burst, if the demand of this time covers its cost; in
 * milliseconds. About twice a long outage of the store.
 */
const ExpectedRequestWindowMs = 15_000;

/**
 * Mean cost assumed before a team's first request at this host, in tokens: that of a short chat plus a fraction of a long
 * prompt.
 */
const InitialCostTokens = 4_000;

/**
 * Time in which a request of mean cost is released to a team without requests at the host so far, in milliseconds. With it,
 * first requests are served in an outage of the store, while a kill puts only a few hundred tokens of each team at risk.
 */
const FirstRequestReleaseMs = 12_000;

/**
 * Minimum time for which a less urgent request leaves tokens to more urgent ones, in milliseconds; before the release begins, it is the
 * time until then, as the store may not acknowledge another record.
 */
const MinReserveHorizonMs = 500;

/** Maximum fraction of the limit's headroom that is kept for more urgent requests, so that a healthy store serves all of them. */
const MaxReserveFraction = 0.5;

/** Step of the search for the time until a release, in milliseconds. */
const ReleaseStepMs = 50;

/** Weight of the latest request in the moving average of the cost. */
const MeanCostWeight = 0.1;

/** Fraction of the difference by which the recorded cost of large requests falls with each smaller request. */
const LargeCostDecay = 0.02;

/** Tokens reserved for one request, by origin. */
export interface Reservation {
    /** Tokens covered by this host's own record. */
    readonly ownTokens: number;
    /** Tokens borrowed from other hosts, which count them as used. */
    readonly borrowedTokens: number;
}

/** A reservation that waits for tokens; its owner removes it from the account's list. */
export interface WaitingReservation {
    readonly costTokens: number;
    /** Urgency of the request; 0 goes first. */
    readonly rank: number;
    /** @returns Whether a write to the store can still help. */
    canDraw(): boolean;
    /** Ends the wait, with the reservation if there is one. */
    resolve(reservation: Reservation | undefined): void;
}

/** A bound with the sequence number of its write and the monotonic time of its creation, in milliseconds. */
export interface TimestampedBound extends SpendingBound {
    readonly sequence: number;
    readonly createdAtMs: number;
}

/** Bound of a host without a record. */
const ZeroBound: TimestampedBound = {
    limitTokens: 0,
    releaseTokensPerS: 0,
    burstTokens: 0,
    sequence: 0,
    createdAtMs: 0,
};

/**
 * Account of one team at this host: tokens allowed by the ledger and the record, reserved by running requests, settled by
 * finished ones, and lent to or borrowed from other hosts.
 */
export class TeamAccount {
    readonly name: string;
    readonly waiting: WaitingReservation[] = [];
    /**
     * Whether the records of this host allow a burst. One host for each team suffices, as other hosts ask all lenders; bursts at
     * every lender would put several large requests at risk with a kill of all.
     */
    canBurst = true;
    readonly #demand: DemandAverage;
    readonly #urgentReserve = new UrgentReserve();
    #openedMs: number;
    /** Grant in the ledger, and grants of writes that may or may not take effect, by sequence number. */
    #acknowledgedGrant = 0;
    readonly #proposedGrants = new Map<number, number>();
    /** Bound of the latest acknowledged write, and bounds of later writes that may or may not take effect. */
    #acknowledgedBound = ZeroBound;
    readonly #proposedBounds = new Map<number, TimestampedBound>();
    #meanCostTokens = InitialCostTokens;
    /** Cost of the team's larger requests, kept apart as teams mix chats with prompts that cost ten times as much. */
    #largeCostTokens = 0;
    #reservedTokens = 0;
    #settledTokens = 0;
    /** Lent tokens that borrowers have reported neither as spent nor as returned, and lent tokens that they have spent. */
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

    /** @returns Total tokens granted to this incarnation; the minimum over the ledger and the writes that may take effect. */
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

    /** @returns Borrowed tokens that are not reserved. */
    get borrowedTokens(): number {
        return this.#borrowedTokens;
    }

    /** @returns Borrowed tokens that finished requests have cost; cumulative. */
    get borrowedSpentTokens(): number {
        return this.#borrowedSpentTokens;
    }

    /** @returns Total cost of the waiting reservations, in tokens. */
    get waitingTokens(): number {
        return this.waiting.reduce((sum, { costTokens }) => sum + costTokens, 0);
    }

    /** @returns Tokens of the own record that may be reserved now; negative when more are used than is allowed. */
    availableTokens(nowMs: number): number {
        const { grantedTokens } = this;
        const bounds = [this.#acknowledgedBound, ...this.#proposedBounds.values()];
        const allowed = bounds.map(bound => allowedTokens(bound, grantedTokens, nowMs - bound.createdAtMs));
        return Math.min(...allowed) - this.usedTokens;
    }

    /** @returns As {@link availableTokens}, without those that a request of a rank leaves to more urgent ones. */
    availableTokensFor(rank: number, nowMs: number): number {
        const available = this.availableTokens(nowMs);
        if (rank === 0) {
            return available;
        }
        const recordAgeMs = nowMs - this.#acknowledgedBound.createdAtMs;
        const horizonMs = Math.max(MinReserveHorizonMs, ReleaseAfterMs - recordAgeMs);
        const expectedTokens = this.#urgentReserve.tokensAbove(rank, horizonMs, nowMs);
        return Math.floor(available - Math.min(expectedTokens, this.#headroomTokens(nowMs) * MaxReserveFraction));
    }

    /** @returns Total cost of the waiting reservations that go before or with a new one of a rank, in tokens. */
    waitingTokensUpTo(rank: number): number {
        return this.waiting.reduce((sum, item) => sum + (item.rank <= rank ? item.costTokens : 0), 0);
    }

    /** @returns Whether a new record should be written now, so that the next requests need not wait for one. */
    needsNewRecord(nowMs: number): boolean {
        const headroomTokens = this.#headroomTokens(nowMs);
        const available = this.availableTokens(nowMs);
        return headroomTokens >= this.#meanCostTokens && available < headroomTokens / 3 &&
            available < this.grantedTokens - this.usedTokens;
    }

    /** @returns Whether the waiting reservations need a larger grant. */
    get needsLargerGrant(): boolean {
        return this.waiting.length > 0 &&
            this.waitingTokens - this.#borrowedTokens > this.grantedTokens - this.usedTokens;
    }

    /**
     * @param tokens Number of tokens needed.
     * @param withinMs How far to search ahead, in milliseconds.
     * @param rank Urgency of the request that needs them; 0 goes first.
     * @returns Time until that many tokens are available without a new record, in milliseconds; `undefined` when it is longer
     * than `withinMs`.
     */
    releaseWaitMs(tokens: number, nowMs: number, withinMs: number, rank = 0): number | undefined {
        for (let waitMs = 0; waitMs <= withinMs; waitMs += ReleaseStepMs) {
            if (this.#borrowedTokens + Math.max(0, this.availableTokensFor(rank, nowMs + waitMs)) >= tokens) {
                return waitMs;
            }
        }
        return undefined;
    }

    /** Records a request for tokens in the averages of demand and cost. */
    recordDemand(costTokens: number, nowMs: number, rank = 0): void {
        this.#demand.add(costTokens, nowMs);
        this.#urgentReserve.recordDemand(rank, costTokens, nowMs);
        this.#meanCostTokens += MeanCostWeight * (costTokens - this.#meanCostTokens);
        const difference = costTokens - this.#largeCostTokens;
        this.#largeCostTokens += difference > 0 ? difference : difference * LargeCostDecay;
    }

    /** Starts the demand average from the demand of the previous process of this host. */
    inheritDemand(tokensPerS: number, nowMs: number): void {
        this.#demand.add(tokensPerS * DemandWindowMs / 1_000, nowMs);
        this.#openedMs = Number.NEGATIVE_INFINITY;
    }

    /** @returns The reservation, for which borrowed tokens are used first; `undefined` when too few are available. */
    tryReserve(costTokens: number, nowMs: number, rank = 0): Reservation | undefined {
        const borrowedTokens = Math.min(costTokens, this.#borrowedTokens);
        const ownTokens = costTokens - borrowedTokens;
        if (ownTokens > Math.max(0, this.availableTokensFor(rank, nowMs))) {
            return undefined;
        }
        this.#reservedTokens += ownTokens;
        this.#borrowedTokens -= borrowedTokens;
        return { ownTokens, borrowedTokens };
    }

    /** Replaces a reservation with the actual cost of the request; borrowed tokens are spent first. */
    settle({ ownTokens, borrowedTokens }: Reservation, costTokens: number): void {
        const costBorrowed = Math.min(costTokens, borrowedTokens);
        this.#borrowedTokens += borrowedTokens - costBorrowed;
        this.#borrowedSpentTokens += costBorrowed;
        this.#reservedTokens -= ownTokens;
        this.#settledTokens += Math.min(costTokens - costBorrowed, ownTokens);
    }

    /** Adds tokens that were borrowed from another host. */
    addBorrowedTokens(tokens: number): void {
        this.#borrowedTokens += tokens;
    }

    /**
     * Removes borrowed tokens that are to be returned to their lender.
     * @param maxTokens Maximum number of tokens to remove.
     * @returns Number of tokens removed; only those that are not reserved can be.
     */
    returnBorrowedTokens(maxTokens: number): number {
        const tokens = Math.min(maxTokens, this.#borrowedTokens);
        this.#borrowedTokens -= tokens;
        return tokens;
    }

    /** Turns a reservation of own tokens into a loan; they count as used until the borrower reports them as returned. */
    lendReservedTokens(ownTokens: number): void {
        this.#reservedTokens -= ownTokens;
        this.#lentTokens += ownTokens;
    }

    /** Settles lent tokens that a borrower has reported as spent or returned. */
    settleLoan(spentTokens: number, returnedTokens: number): void {
        this.#lentTokens -= spentTokens + returnedTokens;
        this.#lentSpentTokens += spentTokens;
    }

    /**
     * Serves waiting reservations from the available tokens, the most urgent first and then in order of arrival; a smaller one may
     * overtake a larger one.
     */
    serveWaiting(nowMs: number): void {
        for (const item of this.waiting.toSorted((left, right) => left.rank - right.rank)) {
            const reservation = this.tryReserve(item.costTokens, nowMs, item.rank);
            if (reservation !== undefined) {
                item.resolve(reservation);
            }
        }
    }

    /** @returns Tokens per second that requests need, corrected for an average that is younger than its time constant. */
    demandTokensPerS(nowMs: number): number {
        const ageMs = Math.max(MinDemandAgeMs, nowMs - this.#openedMs);
        return Math.round(this.#demand.tokensPerS(nowMs) / (1 - Math.exp(-ageMs / DemandWindowMs)));
    }

    /** @returns The bound to write together with a grant. */
    planBound(grantedTokens: number, nowMs: number): RecordedBound {
        const neededTokens = this.usedTokens + this.waitingTokens + this.#headroomTokens(nowMs);
        const demand = this.demandTokensPerS(nowMs);
        const isExpected = demand * ExpectedRequestWindowMs / 1_000 >= this.#largeCostTokens;
        return {
            limitTokens: Math.min(grantedTokens, Math.ceil(neededTokens)),
            releaseTokensPerS: Math.ceil(
                Math.max(demand * ReleaseFactor, this.#meanCostTokens * 1_000 / FirstRequestReleaseMs),
            ),
            burstTokens: this.canBurst && isExpected ? Math.ceil(this.#largeCostTokens) : 0,
            settledTokens: this.settledTokens,
        };
    }

    /**
     * Adds a write that is about to be sent. From now on it may take effect, so its bound and grant limit spending too.
     * @param grantedTokens The grant that the write proposes, if any.
     */
    addProposal(bound: TimestampedBound, grantedTokens?: number): void {
        this.#proposedBounds.set(bound.sequence, bound);
        if (grantedTokens !== undefined) {
            this.#proposedGrants.set(bound.sequence, grantedTokens);
        }
    }

    /** Removes a write that has not taken effect and no longer can. */
    discardProposal(sequence: number): void {
        this.#proposedBounds.delete(sequence);
        this.#proposedGrants.delete(sequence);
    }

    /** Applies a bound that the store holds. Older ones no longer apply, whether their writes took effect or not. */
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

    /** Applies the grant that the ledger holds. */
    acknowledgeGrant(grantedTokens: number): void {
        this.#acknowledgedGrant = grantedTokens;
    }

    #headroomTokens(nowMs: number): number {
        return this.demandTokensPerS(nowMs) * LimitHorizonMs / 1_000;
    }
}
