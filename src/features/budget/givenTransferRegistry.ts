/** The giving side of transfers between hosts: each transfer is debited once, before it is answered. */
import type { Counters } from "../../base/counters.js";
import type { TransferRequest } from "../../peer/peerMessages.js";
import type { BudgetEntry } from "./budgetBoard.js";

interface GivenTransfer {
    readonly giver: string;
    readonly entry: BudgetEntry | undefined;
    givenTokens: number;
}

/** Remembers transfers by id, so that repeated requests get the same answer and cancels take effect once. */
export class GivenTransferRegistry {
    readonly #transfers = new Map<string, GivenTransfer>();
    readonly #rememberedCount: number;
    readonly #counters: Counters;

    constructor(rememberedCount: number, counters: Counters) {
        this.#rememberedCount = rememberedCount;
        this.#counters = counters;
    }

    /** @returns Tokens given by an earlier request with this id; `undefined` for a new id. */
    findGivenTokens(transferId: string): number | undefined {
        return this.#transfers.get(transferId)?.givenTokens;
    }

    /** Debits a transfer. A transfer of 0 is not remembered. */
    debit(request: TransferRequest, entry: BudgetEntry, givenTokens: number): void {
        if (givenTokens > 0) {
            entry.sentTokens += givenTokens;
            this.#counters.add("budget.transfer.given");
            this.#counters.add("budget.transfer.given.tokens", givenTokens);
            this.#remember(request.transferId, { giver: request.giver, entry, givenTokens });
        }
    }

    /**
     * Takes a transfer back. The id stays known, so that the request is refused if it arrives after its cancel.
     * @param mayTakeBack Whether the giving incarnation is still accounted for.
     * @returns Tokens taken back.
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
