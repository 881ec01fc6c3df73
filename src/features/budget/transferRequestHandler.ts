/** Answers peers that ask for tokens or cancel a transfer. */
import { match } from "ts-pattern";
import type { ControllerContext } from "../../kernel/controller.js";
import type { PeerRequestReceived } from "../../kernel/effectResults.js";
import type { PeerReply, TransferReply, TransferRequest } from "../../peer/peerMessages.js";
import type { AccountRegistry } from "./accountRegistry.js";
import type { BudgetAccount } from "./budgetAccount.js";
import { usedTokens } from "./budgetBoard.js";
import { computeTransferSize } from "./budgetMath.js";
import { GivenTransferRegistry } from "./givenTransferRegistry.js";

/** The giving side of transfers. */
export class TransferRequestHandler {
    readonly #context: ControllerContext;
    readonly #giver: GivenTransferRegistry;
    readonly #activate: (account: BudgetAccount) => void;

    /**
     * @param rememberedCount Transfers that are remembered, for repeated requests and cancels.
     * @param activate Called with each account whose numbers or needs have changed.
     */
    constructor(context: ControllerContext, rememberedCount: number, activate: (account: BudgetAccount) => void) {
        this.#context = context;
        this.#giver = new GivenTransferRegistry(rememberedCount, context.counters);
        this.#activate = activate;
    }

    /** Answers a request if it concerns transfers. */
    handle(requested: PeerRequestReceived, accounts: AccountRegistry): void {
        const { request } = requested;
        const reply: PeerReply | undefined = match(request)
            .with({ method: "TransferTokens" }, ({ body }) => ({
                method: "TransferTokens" as const,
                body: this.#give(body, accounts),
            }))
            .with({ method: "CancelTransfer" }, ({ body }) => {
                const { budget, journal } = this.#context.board;
                const isCurrent = body.giver === journal.hostKey && !journal.closing;
                this.#giver.cancel(body.transferId, body.giver, isCurrent || budget.sealedEntries.has(body.giver));
                return { method: "CancelTransfer" as const, body: { transferId: body.transferId } };
            })
            .otherwise(() => undefined);
        if (reply !== undefined) {
            this.#context.emit({ type: "peerAnswer", exchangeId: requested.exchangeId, reply });
        }
    }

    #give(request: TransferRequest, accounts: AccountRegistry): TransferReply {
        const { transferId } = request;
        const { journal } = this.#context.board;
        const repeated = this.#giver.findGivenTokens(transferId);
        const account = accounts.find(request.budget);
        if (repeated !== undefined) {
            return { transferId, givenTokens: repeated };
        }
        if (request.giver !== journal.hostKey || journal.closing || account === undefined) {
            this.#context.counters.add("budget.transfer.refused");
            return { transferId, givenTokens: 0, laterTokens: 0 };
        }
        const spareTokens = account.availableTokens(journal.limits.get(request.budget) ?? 0);
        const givenTokens = account.canGive(request.receiver, request.giver) ?
            computeTransferSize(spareTokens, request.wantedTokens, request.minimumTokens) :
            0;
        this.#giver.debit(request, account.entry, givenTokens);
        const { entry } = account;
        const laterTokens = Math.max(0, entry.grantedTokens - usedTokens(entry) + entry.reservedTokens) +
            account.writer.pendingDrawTokens;
        if (givenTokens < request.wantedTokens && laterTokens > 0) {
            account.recordPeerNeed(request.wantedTokens - givenTokens, this.#context.clock.monotonicMs());
        }
        this.#activate(account);
        return { transferId, givenTokens, laterTokens };
    }
}
