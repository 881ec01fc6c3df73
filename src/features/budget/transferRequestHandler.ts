/** Handles calls of peers that request tokens or cancel a transfer. */
import { match } from "ts-pattern";
import type { ControllerContext } from "../../kernel/controller.js";
import type { PeerRequestReceived } from "../../kernel/effectResults.js";
import type { PeerReply, TransferReply, TransferRequest } from "../../peer/peerMessages.js";
import type { AccountRegistry } from "./accountRegistry.js";
import type { BudgetAccount } from "./budgetAccount.js";
import { usedTokens } from "./budgetBoard.js";
import { computeTransferSize } from "./budgetMath.js";
import { GivenTransferRegistry } from "./givenTransferRegistry.js";

/** Giving side of transfers: replies to `TransferTokens` and `CancelTransfer` calls of peers. */
export class TransferRequestHandler {
    readonly #context: ControllerContext;
    readonly #givenTransfers: GivenTransferRegistry;
    readonly #activate: (account: BudgetAccount) => void;

    /**
     * @param rememberedCount Number of transfers to remember, to recognise repeated requests and cancels.
     * @param activate Called with each account that was asked for tokens, so that its limit and share are recomputed.
     */
    constructor(context: ControllerContext, rememberedCount: number, activate: (account: BudgetAccount) => void) {
        this.#context = context;
        this.#givenTransfers = new GivenTransferRegistry(rememberedCount, context.counters);
        this.#activate = activate;
    }

    /** Replies to a peer's call if it concerns transfers; ignores other calls. */
    handle(event: PeerRequestReceived, accounts: AccountRegistry): void {
        const { request } = event;
        const reply: PeerReply | undefined = match(request)
            .with({ method: "TransferTokens" }, ({ body }) => ({
                method: "TransferTokens" as const,
                body: this.#giveTokens(body, accounts),
            }))
            .with({ method: "CancelTransfer" }, ({ body }) => {
                const { budget, journal } = this.#context.board;
                const isCurrent = body.giver === journal.hostKey && !journal.closing;
                this.#givenTransfers.cancel(
                    body.transferId,
                    body.giver,
                    isCurrent || budget.sealedEntries.has(body.giver),
                );
                return { method: "CancelTransfer" as const, body: { transferId: body.transferId } };
            })
            .otherwise(() => undefined);
        if (reply !== undefined) {
            this.#context.emit({ type: "peerReply", exchangeId: event.exchangeId, reply });
        }
    }

    #giveTokens(request: TransferRequest, accounts: AccountRegistry): TransferReply {
        const { transferId } = request;
        const { journal } = this.#context.board;
        const earlierTokens = this.#givenTransfers.findGivenTokens(transferId);
        const account = accounts.find(request.budget);
        if (earlierTokens !== undefined) {
            return { transferId, givenTokens: earlierTokens };
        }
        if (request.giver !== journal.hostKey || journal.closing || account === undefined) {
            this.#context.counters.add("budget.transfer.refused");
            return { transferId, givenTokens: 0, laterTokens: 0 };
        }
        const availableTokens = account.availableTokens(journal.limits.get(request.budget) ?? 0);
        const givenTokens = account.canGive(request.receiver, request.giver) ?
            computeTransferSize(availableTokens, request.wantedTokens, request.minimumTokens) :
            0;
        this.#givenTransfers.debit(request, account.entry, givenTokens);
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
