/**
 * Tokens that less urgent requests leave to more urgent ones while a team's tokens are scarce. In an outage of the store a team's tokens
 * are released slowly; in the order of arrival, one long prompt of low urgency would take the tokens of several short ones.
 */
import { DemandAverage } from "../features/budget/budgetMath.js";

/** Time constant of the demand averages, in milliseconds; long enough for a team with a request every few seconds. */
const DemandWindowMs = 20_000;

/** Largest rank that is told apart; less urgent requests count as this. */
const MaxRank = 9;

const MsPerS = 1_000;

/** The expected demand of one team by rank; 0 is the most urgent. */
export class UrgentReserve {
    readonly #demands = new Map<number, DemandAverage>();

    /** Records a request for tokens at a monotonic time in milliseconds. */
    recordDemand(rank: number, tokens: number, nowMs: number): void {
        const known = Math.min(rank, MaxRank);
        let demand = this.#demands.get(known);
        if (demand === undefined) {
            demand = new DemandAverage(DemandWindowMs, nowMs);
            this.#demands.set(known, demand);
        }
        demand.add(tokens, nowMs);
    }

    /**
     * @param horizonMs Time for which the demand of more urgent requests is expected, in milliseconds.
     * @returns Tokens that a request of a rank leaves to more urgent ones; 0 for the most urgent rank.
     */
    tokensAbove(rank: number, horizonMs: number, nowMs: number): number {
        let tokensPerS = 0;
        for (const [other, demand] of this.#demands) {
            tokensPerS += other < rank ? demand.tokensPerS(nowMs) : 0;
        }
        return tokensPerS * horizonMs / MsPerS;
    }
}
