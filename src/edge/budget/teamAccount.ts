/** One team's tokens on this host. */
import { DemandAverage, drawSize, shareTarget, WindowMaximum } from "../../features/budget/budgetMath.js";
import { type HostShare, type TeamLedger, unheldTokens } from "./ledger.js";

/** Time constant of the demand average, in milliseconds; a swing of demand lasts some seconds. */
const DemandWindowMs = 5_000;

/** Window of the largest request, in milliseconds. */
const LargestWindowMs = 30_000;

/** Demand that a share should cover, in milliseconds: the longest store outage on the platform's pages and a margin. */
export const ShareHorizonMs = 12_000;

/** A share is returned in part when it exceeds the target by this factor. */
const ReturnFactor = 2;

/** Smallest draw without a waiting request, as a part of a host's even share of the prepaid tokens. */
const SmallestDrawParts = 20;

/** A reservation that waits for tokens. */
export interface WaitingReservation {
    readonly costTokens: number;
    settle(granted: boolean): void;
}

/** Numbers of one team: granted by the ledger, reserved by running requests, settled by finished ones. */
export class TeamAccount {
    readonly name: string;
    readonly waiting: WaitingReservation[] = [];
    readonly #demand: DemandAverage;
    readonly #largest: WindowMaximum;
    #grantedTokens = 0;
    #reservedTokens = 0;
    #settledTokens = 0;

    constructor(name: string, nowMs: number) {
        this.name = name;
        this.#demand = new DemandAverage(DemandWindowMs, nowMs);
        this.#largest = new WindowMaximum(LargestWindowMs, nowMs);
    }

    /** @returns Tokens that this incarnation may spend in all. */
    get grantedTokens(): number {
        return this.#grantedTokens;
    }

    /** Takes over the granted amount that the ledger shows; a lower one applies before it is written. */
    set grantedTokens(tokens: number) {
        this.#grantedTokens = tokens;
    }

    /** @returns Tokens spent or reserved. */
    get usedTokens(): number {
        return this.#settledTokens + this.#reservedTokens;
    }

    /** @returns Tokens that finished requests have cost. */
    get settledTokens(): number {
        return this.#settledTokens;
    }

    /** @returns Tokens that may be reserved now. */
    get spareTokens(): number {
        return this.#grantedTokens - this.usedTokens;
    }

    /** @returns Sum of the waiting reservations. */
    get waitingTokens(): number {
        return this.waiting.reduce((sum, { costTokens }) => sum + costTokens, 0);
    }

    /** Records a request for tokens. */
    noteDemand(costTokens: number, nowMs: number): void {
        this.#demand.add(costTokens, nowMs);
        this.#largest.add(costTokens, nowMs);
    }

    /** @returns Whether the tokens were reserved. */
    tryReserve(costTokens: number): boolean {
        if (costTokens > this.spareTokens) {
            return false;
        }
        this.#reservedTokens += costTokens;
        return true;
    }

    /** Replaces a reservation by what the request cost. */
    settle(reservedTokens: number, costTokens: number): void {
        this.#reservedTokens -= reservedTokens;
        this.#settledTokens += Math.min(costTokens, reservedTokens);
    }

    /** Lets waiting reservations have what is spare, in order; a smaller one may pass a larger one. */
    serveWaiting(): void {
        for (const item of [...this.waiting]) {
            if (this.tryReserve(item.costTokens)) {
                this.waiting.splice(this.waiting.indexOf(item), 1);
                item.settle(true);
            }
        }
    }

    /**
     * Decides the share to write.
     * @param isClosing Whether the host gives everything back.
     */
    planShare(team: TeamLedger, prepaidTokens: number, hostCount: number, nowMs: number, isClosing: boolean): HostShare {
        const settledTokens = this.#settledTokens;
        if (isClosing) {
            return { grantedTokens: this.usedTokens, settledTokens };
        }
        const input = {
            demandTokensPerS: this.#demand.tokensPerS(nowMs),
            horizonMs: ShareHorizonMs,
            largestCostTokens: this.#largest.maximum(nowMs),
            standingTokens: Math.floor(prepaidTokens / SmallestDrawParts / hostCount),
            minimumTokens: Math.floor(prepaidTokens / SmallestDrawParts / hostCount),
            unusedTokens: this.#grantedTokens - this.usedTokens,
            freeTokens: Math.max(0, unheldTokens(team, prepaidTokens)),
            liveHostCount: hostCount,
            neededTokens: Math.max(0, this.waitingTokens - this.spareTokens),
        };
        const draw = drawSize(input);
        if (draw > 0) {
            return { grantedTokens: this.#grantedTokens + Math.floor(draw), settledTokens };
        }
        const kept = this.usedTokens + Math.ceil(ReturnFactor * shareTarget(input));
        return { grantedTokens: Math.max(this.usedTokens, Math.min(this.#grantedTokens, kept)), settledTokens };
    }
}
