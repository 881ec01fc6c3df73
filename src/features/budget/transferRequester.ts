/** Requesting side of transfers: requests tokens from peers and cancels transfers that it will not credit. */
import type { Counters } from "../../base/counters.js";
import type { PeerOutcome, PeerRequest } from "../../peer/peerMessages.js";
import { hostKeyOf } from "../journal/journalTypes.js";
import type { MembershipBoard } from "../membership/membershipBoard.js";
import type { BudgetSettings } from "./budgetSettings.js";

/** A transfer request whose reply has not arrived. */
interface OpenRequest {
    readonly budget: string;
    readonly receiver: string;
    readonly giverHostId: string;
    readonly giver: string;
    readonly address: string;
}

/** A cancel that the giver has not confirmed. */
interface PendingCancel extends OpenRequest {
    nextAttemptAtMs: number;
    attemptCount: number;
    isInFlight: boolean;
}

/** State of one budget's transfer requests to one peer. */
interface PeerState {
    /** The peer is not asked again before this time; infinite while a request is open or when the peer has no tokens to give. */
    askAgainAtMs: number;
    /** Whether the last request failed, so that it is unknown whether the peer has tokens. */
    hasFailed: boolean;
}

/** Functions of the controller that a {@link TransferRequester} uses. */
export interface TransferRequesterDependencies {
    readonly callPeer: (callId: string, address: string, request: PeerRequest) => void;
    readonly createTransferId: () => string;
    /** Adds received tokens to a budget; called once per transfer. */
    readonly creditTokens: (budget: string, tokens: number) => void;
}

/** Maximum number of peers asked per budget, so that a refusal in a large fleet stays cheap. */
const MaxAskedPeers = 8;

/** A cancel is given up after this many attempts; its tokens stay debited at the giver and show up in the audit. */
const MaxCancelAttempts = 300;

/** Maximum delay between two attempts of the same cancel. */
const MaxCancelDelayMs = 10_000;

/** Delay before a peer that gave tokens, or may have some later, is asked again. */
const AskAgainDelayMs = 100;

/** Sends transfer requests and cancels of one process and tracks their outcomes. */
export class TransferRequester {
    readonly #settings: BudgetSettings;
    readonly #dependencies: TransferRequesterDependencies;
    readonly #counters: Counters;
    readonly #openRequests = new Map<string, OpenRequest>();
    readonly #pendingCancels = new Map<string, PendingCancel>();
    readonly #peerStates = new Map<string, Map<string, PeerState>>();

    constructor(settings: BudgetSettings, dependencies: TransferRequesterDependencies, counters: Counters) {
        this.#settings = settings;
        this.#dependencies = dependencies;
        this.#counters = counters;
    }

    /** @returns Number of transfers without a reply, including those whose cancel is not confirmed. */
    get openTransferCount(): number {
        return this.#openRequests.size + this.#pendingCancels.size;
    }

    /** Forgets the replies of peers for a budget; called when no reservation waits for it any more. */
    forgetPeerReplies(budget: string): void {
        this.#peerStates.delete(budget);
    }

    /** Cancels all open requests, after the host incarnation was sealed. */
    cancelAll(nowMs: number): void {
        for (const [transferId, openRequest] of this.#openRequests) {
            this.#startCancel(transferId, openRequest, nowMs);
        }
        this.#openRequests.clear();
        this.#peerStates.clear();
    }

    /**
     * Requests tokens from the next peers, within the concurrency limit.
     * @param receiver Host key of this incarnation.
     * @param shares Known tokens of each holder, by host key; the largest holder is asked first.
     * @param isHomeHost Whether a host is home of the budget; such hosts are asked first while no shares are known.
     * @returns Whether every peer has replied that it has no tokens now and will have none later.
     */
    requestTokens(
        budget: string,
        receiver: string,
        requestedTokens: number,
        shares: ReadonlyMap<string, number>,
        isHomeHost: (hostId: string) => boolean,
        membership: MembershipBoard,
        nowMs: number,
    ): boolean {
        const states = this.#peerStates.get(budget) ?? new Map<string, PeerState>();
        this.#peerStates.set(budget, states);
        const candidates = selectCandidates(membership, shares, isHomeHost);
        let openCount = [...this.#openRequests.values()].filter(openRequest => openRequest.budget === budget).length;
        for (const candidate of candidates) {
            const state = states.get(candidate.giver);
            if (openCount >= this.#settings.transferConcurrency) {
                break;
            }
            if (state === undefined || nowMs >= state.askAgainAtMs) {
                states.set(candidate.giver, { askAgainAtMs: Number.POSITIVE_INFINITY, hasFailed: false });
                this.#send({ budget, receiver, ...candidate }, requestedTokens);
                openCount++;
            }
        }
        return openCount === 0 && candidates.every(candidate => {
            const state = states.get(candidate.giver);
            return state !== undefined && !state.hasFailed && state.askAgainAtMs === Number.POSITIVE_INFINITY;
        });
    }

    /** Handles the result of a peer call. @returns Whether the call was made by this requester. */
    handleCallResult(callId: string, outcome: PeerOutcome, hostKey: string, nowMs: number): boolean {
        const openRequest = this.#openRequests.get(callId);
        if (openRequest !== undefined) {
            this.#openRequests.delete(callId);
            this.#handleReply(callId, openRequest, outcome, hostKey, nowMs);
            return true;
        }
        // Only the reply to the cancel confirms it: a late reply to the request that was given up does not.
        const separator = callId.indexOf(":");
        const transferId = callId.slice(separator + 1);
        const cancel = separator < 0 ? undefined : this.#pendingCancels.get(transferId);
        if (cancel === undefined) {
            return false;
        }
        cancel.isInFlight = false;
        if (outcome.status === "replied") {
            this.#pendingCancels.delete(transferId);
            this.#counters.add("budget.transfer.cancelled");
        }
        return true;
    }

    /** Sends due cancels until the giver confirms them or is replaced by a newer incarnation, or the attempts are used up. */
    tick(membership: MembershipBoard, nowMs: number): void {
        for (const [transferId, cancel] of this.#pendingCancels) {
            const member = membership.members.get(cancel.giverHostId);
            const isReplaced = member !== undefined && hostKeyOf(member.hostId, member.incarnation) !== cancel.giver;
            if (cancel.attemptCount >= MaxCancelAttempts || isReplaced) {
                this.#pendingCancels.delete(transferId);
                this.#counters.add("budget.transfer.cancelAbandoned");
            }
            else if (!cancel.isInFlight && nowMs >= cancel.nextAttemptAtMs) {
                cancel.attemptCount++;
                cancel.isInFlight = true;
                cancel.nextAttemptAtMs = nowMs +
                    Math.min(MaxCancelDelayMs, this.#settings.cancelRetryMs * cancel.attemptCount);
                this.#dependencies.callPeer(`c${cancel.attemptCount}:${transferId}`, cancel.address, {
                    method: "CancelTransfer",
                    body: { transferId, giver: cancel.giver },
                });
            }
        }
    }

    #send(openRequest: OpenRequest, requestedTokens: number): void {
        const transferId = this.#dependencies.createTransferId();
        this.#openRequests.set(transferId, openRequest);
        this.#counters.add("budget.transfer.asked");
        this.#dependencies.callPeer(transferId, openRequest.address, {
            method: "TransferTokens",
            body: {
                transferId,
                budget: openRequest.budget,
                receiver: openRequest.receiver,
                giver: openRequest.giver,
                wantedTokens: requestedTokens,
                minimumTokens: 1,
            },
        });
    }

    #handleReply(
        transferId: string,
        openRequest: OpenRequest,
        outcome: PeerOutcome,
        hostKey: string,
        nowMs: number,
    ): void {
        const state = this.#peerStates.get(openRequest.budget)?.get(openRequest.giver);
        if (outcome.status !== "replied" || outcome.reply.method !== "TransferTokens") {
            this.#startCancel(transferId, openRequest, nowMs);
            if (state !== undefined) {
                state.hasFailed = true;
                state.askAgainAtMs = nowMs + this.#settings.transferTimeoutMs;
            }
            return;
        }
        const { givenTokens, laterTokens } = outcome.reply.body;
        if (state !== undefined && (givenTokens > 0 || (laterTokens ?? 0) > 0)) {
            state.askAgainAtMs = nowMs + AskAgainDelayMs;
        }
        if (givenTokens === 0) {
            return;
        }
        if (openRequest.receiver === hostKey) {
            this.#counters.add("budget.transfer.received.tokens", givenTokens);
            this.#dependencies.creditTokens(openRequest.budget, givenTokens);
        }
        else {
            this.#startCancel(transferId, openRequest, nowMs);
        }
    }

    #startCancel(transferId: string, openRequest: OpenRequest, nowMs: number): void {
        this.#pendingCancels.set(transferId, {
            ...openRequest,
            nextAttemptAtMs: nowMs,
            attemptCount: 0,
            isInFlight: false,
        });
    }
}

/** A peer that may be asked for tokens. */
interface Candidate {
    readonly giverHostId: string;
    readonly giver: string;
    readonly address: string;
}

function selectCandidates(
    membership: MembershipBoard,
    shares: ReadonlyMap<string, number>,
    isHomeHost: (hostId: string) => boolean,
): Candidate[] {
    const rank = (hostId: string, giver: string): number => (shares.get(giver) ?? 0) + (isHomeHost(hostId) ? 1 : 0);
    return [...membership.members.values()]
        .filter(member => (member.state === "live" || member.state === "leaving") && member.peerAddress !== "")
        .map(({ hostId, incarnation, peerAddress }) => {
            const giver = hostKeyOf(hostId, incarnation);
            return { giverHostId: hostId, giver, address: peerAddress, rank: rank(hostId, giver) };
        })
        .sort((a, b) => b.rank - a.rank || (a.giver < b.giver ? -1 : 1))
        .slice(0, MaxAskedPeers);
}
