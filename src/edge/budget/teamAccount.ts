/** One team's tokens on this host. */
import { DemandAverage } from "../../features/budget/budgetMath.js";

/** Time constant of the demand average, in milliseconds: long enough for a team with a request every few seconds. */
const DemandWindowMs = 20_000;

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
    #grantedTokens = 0;
    #reservedTokens = 0;
    #settledTokens = 0;

    constructor(name: string, nowMs: number) {
        this.name = name;
        this.#demand = new DemandAverage(DemandWindowMs, nowMs);
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

    /** @returns Tokens per second that requests ask for. */
    demandTokensPerS(nowMs: number): number {
        return Math.round(this.#demand.tokensPerS(nowMs));
    }
}
