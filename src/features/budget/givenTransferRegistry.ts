/** Record of the tokens given to other hosts. Each transfer is debited once, before the reply is sent. */
import type { Counters } from "../../base/counters.js";
import type { TransferRequest } from "../../peer/peerMessages.js";
import type { BudgetEntry } from "./budgetBoard.js";

interface GivenTransfer {
    readonly giver: string;
    readonly entry: BudgetEntry | undefined;
    givenTokens: number;
}

/** Remembers given transfers by id, so that repeated requests get the same reply and a cancel takes effect once. */
export class GivenTransferRegistry {
    readonly #transfers = new Map<string, GivenTransfer>();
    readonly #rememberedCount: number;
    readonly #counters: Counters;

    /** @param rememberedCount Number of transfers to remember; beyond it, the oldest one is forgotten. */
    constructor(rememberedCount: number, counters: Counters) {
        this.#rememberedCount = rememberedCount;
        this.#counters = counters;
    }

    /** @returns Tokens given by an earlier request with this id; `undefined` for a new id. */
    findGivenTokens(transferId: string): number | undefined {
        return this.#transfers.get(transferId)?.givenTokens;
    }

    /** Debits a transfer at the entry of its budget and remembers it. A transfer of 0 tokens is not remembered. */
    debit(request: TransferRequest, entry: BudgetEntry, givenTokens: number): void {
        if (givenTokens > 0) {
            entry.sentTokens += givenTokens;
            this.#counters.add("budget.transfer.given");
            this.#counters.add("budget.transfer.given.tokens", givenTokens);
            this.#remember(request.transferId, { giver: request.giver, entry, givenTokens });
        }
    }

    /**
     * Cancels a transfer and takes its tokens back. The id stays known, so that a request that arrives after its cancel
     * gets no tokens.
     * @param mayTakeBack Whether the entry of the giving incarnation may still change.
     * @returns Tokens taken back; 0 when the transfer is unknown or its tokens cannot be taken back.
     */
    cancel(transferId: string, giver: string, mayTakeBack: boolean): number {
        const transfer = this.#transfers.get(transferId);
        if (transfer === undefined) {
            this.#remember(transferId, { giver, entry: undefined, givenTokens: 0 });
            return 0;
        }
        const tokens = transfer.givenTokens;
        transfer.givenTokens = 0;
        if (tokens === 0 || transfer.entry === undefined || !mayTakeBack) {
            this.#counters.add("budget.transfer.lost.tokens", tokens);
            return 0;
        }
        transfer.entry.sentTokens -= tokens;
        this.#counters.add("budget.transfer.takenBack");
        return tokens;
    }

    #remember(transferId: string, transfer: GivenTransfer): void {
        this.#transfers.set(transferId, transfer);
        if (this.#transfers.size > this.#rememberedCount) {
            this.#transfers.delete(this.#transfers.keys().next().value!);
        }
    }
}
