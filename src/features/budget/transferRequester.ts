/** The requesting side of transfers: asks peers for idle tokens and cancels what it will not credit. */
import type { Counters } from "../../base/counters.js";
import type { PeerOutcome, PeerRequest } from "../../peer/peerMessages.js";
import { hostKeyOf } from "../journal/journalTypes.js";
import type { MembershipBoard } from "../membership/membershipBoard.js";
import type { BudgetSettings } from "./budgetSettings.js";

interface Ask {
    readonly budget: string;
    readonly receiver: string;
    readonly giverHostId: string;
    readonly giver: string;
    readonly address: string;
}

interface Cancel extends Ask {
    nextMs: number;
    attempts: number;
    inFlight: boolean;
}

/** How far a budget's waiting requests have come with one peer. */
interface PeerState {
    /** The peer is not asked before this time; infinite when it has nothing to give. */
    nextMs: number;
    failed: boolean;
}

/** What the requester asks of its controller. */
export interface TransferRequesterDependencies {
    readonly callPeer: (callId: string, address: string, request: PeerRequest) => void;
    readonly createTransferId: () => string;
    /** Credits a transfer once. */
    readonly creditTokens: (budget: string, tokens: number) => void;
}

/** Peers asked per budget at most, so that a refusal in a large fleet stays cheap. */
const MaxAskedPeers = 8;

/** Cancels are given up after this many attempts; the tokens stay debited at the giver and show in the audit. */
const MaxCancelAttempts = 300;

/** Longest delay between two cancels. */
const MaxCancelDelayMs = 10_000;

/** Delay before a peer with reserved tokens is asked again. */
const AskAgainMs = 100;

/** Asks and cancels of one process. */
export class TransferRequester {
    readonly #settings: BudgetSettings;
    readonly #calls: TransferRequesterDependencies;
    readonly #counters: Counters;
    readonly #asks = new Map<string, Ask>();
    readonly #cancels = new Map<string, Cancel>();
    readonly #peers = new Map<string, Map<string, PeerState>>();

    constructor(settings: BudgetSettings, calls: TransferRequesterDependencies, counters: Counters) {
        this.#settings = settings;
        this.#calls = calls;
        this.#counters = counters;
    }

    /** @returns Number of transfers that are neither answered nor cancelled. */
    get openTransferCount(): number {
        return this.#asks.size + this.#cancels.size;
    }

    /** Forgets what peers answered for a budget; called when nothing waits any more. */
    forgetPeerReplies(budget: string): void {
        this.#peers.delete(budget);
    }

    /** Gives up all asks of an incarnation that was sealed. */
    cancelAll(nowMs: number): void {
        for (const [transferId, ask] of this.#asks) {
            this.#startCancel(transferId, ask, nowMs);
        }
        this.#asks.clear();
        this.#peers.clear();
    }

    /**
     * Asks the next peers for tokens.
     * @param shares Tokens held by host key, as far as known; the largest holder is asked first.
     * @param isHomeHost Whether a host is home of the budget; such hosts come first while no shares are known.
     * @returns Whether every peer has answered that it has nothing, now or later.
     */
    requestTokens(
        budget: string,
        receiver: string,
        wantedTokens: number,
        shares: ReadonlyMap<string, number>,
        isHomeHost: (hostId: string) => boolean,
        membership: MembershipBoard,
        nowMs: number,
    ): boolean {
        const states = this.#peers.get(budget) ?? new Map<string, PeerState>();
        this.#peers.set(budget, states);
        const candidates = candidatesOf(membership, shares, isHomeHost);
        let open = [...this.#asks.values()].filter(ask => ask.budget === budget).length;
        for (const candidate of candidates) {
            const state = states.get(candidate.giver);
            if (open >= this.#settings.transferConcurrency) {
                break;
            }
            if (state === undefined || nowMs >= state.nextMs) {
                states.set(candidate.giver, { nextMs: Number.POSITIVE_INFINITY, failed: false });
                this.#send({ budget, receiver, ...candidate }, wantedTokens);
                open++;
            }
        }
        return open === 0 && candidates.every(candidate => {
            const state = states.get(candidate.giver);
            return state !== undefined && !state.failed && state.nextMs === Number.POSITIVE_INFINITY;
        });
    }

    /** @returns Whether the call belonged to the requester. */
    handleCallResult(callId: string, outcome: PeerOutcome, hostKey: string, nowMs: number): boolean {
        const ask = this.#asks.get(callId);
        if (ask !== undefined) {
            this.#asks.delete(callId);
            this.#answered(callId, ask, outcome, hostKey, nowMs);
            return true;
        }
        // Only a cancel's own answer confirms it: the answer to an abandoned ask may still arrive, and is not one.
        const separator = callId.indexOf(":");
        const transferId = callId.slice(separator + 1);
        const cancel = separator < 0 ? undefined : this.#cancels.get(transferId);
        if (cancel === undefined) {
            return false;
        }
        cancel.inFlight = false;
        if (outcome.status === "replied") {
            this.#cancels.delete(transferId);
            this.#counters.add("budget.transfer.cancelled");
        }
        return true;
    }

    /** Repeats cancels until the giver confirms them or is replaced. */
    tick(membership: MembershipBoard, nowMs: number): void {
        for (const [transferId, cancel] of this.#cancels) {
            const member = membership.members.get(cancel.giverHostId);
            const replaced = member !== undefined && hostKeyOf(member.hostId, member.incarnation) !== cancel.giver;
            if (cancel.attempts >= MaxCancelAttempts || replaced) {
                this.#cancels.delete(transferId);
                this.#counters.add("budget.transfer.cancelAbandoned");
            }
            else if (!cancel.inFlight && nowMs >= cancel.nextMs) {
                cancel.attempts++;
                cancel.inFlight = true;
                cancel.nextMs = nowMs +
                    Math.min(MaxCancelDelayMs, this.#settings.cancelRetryMs * cancel.attempts);
                this.#calls.callPeer(`c${cancel.attempts}:${transferId}`, cancel.address, {
                    method: "CancelTransfer",
                    body: { transferId, giver: cancel.giver },
                });
            }
        }
    }

    #send(ask: Ask, wantedTokens: number): void {
        const transferId = this.#calls.createTransferId();
        this.#asks.set(transferId, ask);
        this.#counters.add("budget.transfer.asked");
        this.#calls.callPeer(transferId, ask.address, {
            method: "TransferTokens",
            body: {
                transferId,
                budget: ask.budget,
                receiver: ask.receiver,
                giver: ask.giver,
                wantedTokens,
                minimumTokens: 1,
            },
        });
    }

    #answered(transferId: string, ask: Ask, outcome: PeerOutcome, hostKey: string, nowMs: number): void {
        const state = this.#peers.get(ask.budget)?.get(ask.giver);
        if (outcome.status !== "replied" || outcome.reply.method !== "TransferTokens") {
            this.#startCancel(transferId, ask, nowMs);
            if (state !== undefined) {
                state.failed = true;
                state.nextMs = nowMs + this.#settings.transferTimeoutMs;
            }
            return;
        }
        const { givenTokens, laterTokens } = outcome.reply.body;
        if (state !== undefined && (givenTokens > 0 || (laterTokens ?? 0) > 0)) {
            state.nextMs = nowMs + AskAgainMs;
        }
        if (givenTokens === 0) {
            return;
        }
        if (ask.receiver === hostKey) {
            this.#counters.add("budget.transfer.received.tokens", givenTokens);
            this.#calls.creditTokens(ask.budget, givenTokens);
        }
        else {
            this.#startCancel(transferId, ask, nowMs);
        }
    }

    #startCancel(transferId: string, ask: Ask, nowMs: number): void {
        this.#cancels.set(transferId, { ...ask, nextMs: nowMs, attempts: 0, inFlight: false });
    }
}

interface Candidate {
    readonly giverHostId: string;
    readonly giver: string;
    readonly address: string;
}

function candidatesOf(
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
