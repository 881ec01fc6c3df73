/** Issues tickets, and asks the issuer of a ticket that arrives at another host whether it was used. */
import { match } from "ts-pattern";
import type { ControllerContext } from "../../kernel/controller.js";
import type { EffectResultEvent, PeerRequestReceived } from "../../kernel/effectResults.js";
import type { ForwardTicketRequest, PeerOutcome } from "../../peer/peerMessages.js";
import { AbsentVersion } from "../../platform/platformStore.js";
import { splitHostKey } from "../journal/journalTypes.js";
import { createOutcomeOfFinishedClaim, createRefusal, RunningRetryAfterMs } from "./claimOutcomes.js";
import {
    claimKey,
    type ClaimOutcome,
    ClaimSchema,
    type IdempotencyEvent,
    type IdempotencySettings,
} from "./idempotencyTypes.js";
import { createLocalClaim, type LocalClaim } from "./localClaim.js";
import { parseTicket, type Ticket, TicketRegistry } from "./tickets.js";

type ClaimRequested = Extract<IdempotencyEvent, { type: "claimRequested"; }>;
type TicketRequested = Extract<IdempotencyEvent, { type: "ticketRequested"; }>;
type PeerCallDone = Extract<EffectResultEvent, { type: "peerCallDone"; }>;
type StoreGetDone = Extract<EffectResultEvent, { type: "storeGetDone"; }>;

/** Access of the {@link TicketManager} to the claims of the idempotency controller. */
export interface ClaimTable {
    /** @returns The claim of this host with this id, if there is one. */
    findClaim(claimId: string): LocalClaim | undefined;
    /** Adds a claim that needs no acknowledgement by the store, and lets its request run. */
    addHeldClaim(claim: LocalClaim): void;
    /** Reports the outcome of a claim request for which no claim was added. */
    reportOutcome(claimId: string, requestId: string, outcome: ClaimOutcome): void;
}

/** A request whose ticket this host cannot decide from memory: another host issued it, or it was used here before. */
interface PendingTicket {
    readonly request: ClaimRequested;
    readonly ticket: Ticket;
}

/** Issues the tickets of this host and decides the requests whose idempotency key is a ticket. */
export class TicketManager {
    readonly #context: ControllerContext;
    readonly #settings: IdempotencySettings;
    readonly #claimTable: ClaimTable;
    readonly #registry: TicketRegistry;
    /** Tickets whose claim object is being read or whose issuer is being asked, by request id. */
    readonly #pendingTickets = new Map<string, PendingTicket>();

    constructor(context: ControllerContext, settings: IdempotencySettings, table: ClaimTable) {
        this.#context = context;
        this.#settings = settings;
        this.#claimTable = table;
        this.#registry = new TicketRegistry(context.random.hex(64));
    }

    /** @returns Number of tickets issued in this incarnation. */
    get issuedCount(): number {
        return this.#registry.issuedCount;
    }

    /** Handles the events that concern tickets only. */
    handle(event: TicketRequested | PeerRequestReceived | PeerCallDone): void {
        match(event)
            .with({ type: "ticketRequested" }, ({ requestId }) => this.#issueTicket(requestId))
            .with({ type: "peerRequestReceived", request: { method: "ForwardTicket" } }, ({ exchangeId, request }) => {
                const body = this.#handleForwardTicket(request.body);
                const reply = { method: "ForwardTicket" as const, body };
                this.#context.emit({ type: "peerReply", exchangeId, reply });
            })
            .with({ type: "peerCallDone", owner: "idempotency" }, done => this.#handlePeerCallResult(done))
            .otherwise(() => undefined);
    }

    /** Raises the ticket limit that the host record declares, so that it stays ahead of the tickets issued. */
    raiseTicketLimit(): void {
        const { board } = this.#context;
        this.#registry.setIncarnation(board.journal.hostKey);
        const neededLimit = this.#registry.issuedCount + this.#settings.ticketReserve;
        // Raised only when less than half of the reserve is left, so that not every ticket changes the host record.
        if (board.idempotency.wantedTicketLimit - this.#registry.issuedCount < this.#settings.ticketReserve / 2) {
            board.idempotency.wantedTicketLimit = neededLimit;
        }
    }

    /**
     * Handles a claim request if its key is a ticket.
     * @returns Whether the key is a ticket. If it is, the outcome is reported through the {@link ClaimTable}.
     */
    tryHandleClaim(request: ClaimRequested): boolean {
        const ticket = parseTicket(request.idempotencyKey);
        if (ticket === undefined) {
            return false;
        }
        if (this.#registry.wasIssuedHere(ticket)) {
            this.#useOwnTicket(request, ticket);
        }
        else {
            this.#readClaim(request, ticket);
        }
        return true;
    }

    /** Makes a ticket usable again. Call it only when the request of the ticket definitely did not run. */
    markUnused(ticket: Ticket): void {
        this.#registry.markUnused(ticket);
    }

    /** Handles the read of a ticket's claim object: decides by a finished claim, otherwise asks the issuer. */
    handleClaimRead(done: StoreGetDone): void {
        const pending = this.#pendingTickets.get(done.callId);
        if (pending === undefined) {
            return;
        }
        const stored = done.outcome.status === "found" ? ClaimSchema.safeParse(done.outcome.object.value) : undefined;
        if (stored?.success === true && stored.data.state === "done") {
            const isSameBody = stored.data.bodyHash === pending.request.bodyHash;
            this.#finishPendingTicket(
                pending,
                isSameBody ? createOutcomeOfFinishedClaim(stored.data) : createRefusal("KeyReused"),
            );
            return;
        }
        this.#askIssuer(pending);
    }

    #issueTicket(requestId: string): void {
        this.#registry.setIncarnation(this.#context.board.journal.hostKey);
        const ticket = this.#registry.issue(this.#context.board.journal.ticketLimit);
        this.#context.counters.add(ticket === undefined ? "idempotency.ticketsRefused" : "idempotency.ticketsIssued");
        this.#context.emit({ type: "notify", notification: { type: "ticketIssued", requestId, ticket } });
    }

    #useOwnTicket(request: ClaimRequested, ticket: Ticket): void {
        if (this.#registry.tryUse(ticket)) {
            this.#claimTable.addHeldClaim(this.#createClaim(request, ticket));
            return;
        }
        // The ticket was used before: its response is no longer in memory, or the ticket was handed over to another host.
        this.#readClaim(request, ticket);
    }

    #createClaim(request: ClaimRequested, ticket: Ticket): LocalClaim {
        return createLocalClaim(request, {
            hostKey: this.#context.board.journal.hostKey,
            deadlineMs: Number.POSITIVE_INFINITY,
            expectedVersion: AbsentVersion,
            retryMs: this.#settings.firstRetryMs,
            ticket,
        });
    }

    /** Reads the claim object of a ticket; {@link handleClaimRead} handles the result. */
    #readClaim(request: ClaimRequested, ticket: Ticket): void {
        this.#pendingTickets.set(request.requestId, { request, ticket });
        this.#context.emit({
            type: "storeGet",
            owner: "idempotency",
            callId: request.requestId,
            key: claimKey(request.claimId),
        });
    }

    #askIssuer(pending: PendingTicket): void {
        const { request, ticket } = pending;
        const address = this.#findIssuerAddress(ticket);
        if (address === undefined || this.#registry.wasIssuedHere(ticket)) {
            this.#finishPendingTicket(pending, createRefusal("OutcomeUnknown", RunningRetryAfterMs));
            return;
        }
        const body: ForwardTicketRequest = {
            claimId: request.claimId,
            ticket: request.idempotencyKey,
            bodyHash: request.bodyHash,
        };
        this.#context.emit({
            type: "peerCall",
            owner: "idempotency",
            callId: request.requestId,
            address,
            request: { method: "ForwardTicket", body },
            timeoutMs: this.#settings.peerTimeoutMs,
        });
    }

    #findIssuerAddress(ticket: Ticket): string | undefined {
        const { hostId, incarnation } = splitHostKey(ticket.hostKey);
        const member = this.#context.board.membership.members.get(hostId);
        return member?.state === "live" && member.incarnation === incarnation ? member.peerAddress : undefined;
    }

    /** Decides a ticket that another host forwards. An unused ticket is handed over: this host never dispatches it afterwards. */
    #handleForwardTicket(request: ForwardTicketRequest): {
        state: "unused" | "running" | "done" | "unknown";
        answer?: NonNullable<LocalClaim["completion"]>["answer"];
    } {
        const ticket = parseTicket(request.ticket);
        if (ticket === undefined || !this.#registry.wasIssuedHere(ticket)) {
            return { state: "unknown" };
        }
        const claim = this.#claimTable.findClaim(request.claimId);
        if (claim !== undefined) {
            if (claim.bodyHash !== request.bodyHash) {
                return { state: "unknown" };
            }
            if (claim.completion === undefined) {
                return { state: "running" };
            }
            // A request that ended without a stored response has no outcome that could be repeated.
            const { answer } = claim.completion;
            return answer === undefined ? { state: "unknown" } : { state: "done", answer };
        }
        return { state: this.#registry.tryUse(ticket) ? "unused" : "unknown" };
    }

    #handlePeerCallResult(done: PeerCallDone): void {
        const pending = this.#pendingTickets.get(done.callId);
        if (pending === undefined) {
            return;
        }
        const { outcome } = done;
        if (outcome.status === "replied" && isHandedOver(outcome)) {
            this.#pendingTickets.delete(done.callId);
            this.#claimTable.addHeldClaim(this.#createClaim(pending.request, pending.ticket));
            return;
        }
        this.#finishPendingTicket(pending, createOutcomeOfReply(outcome));
    }

    #finishPendingTicket(pending: PendingTicket, outcome: ClaimOutcome): void {
        const { claimId, requestId } = pending.request;
        this.#pendingTickets.delete(requestId);
        this.#claimTable.reportOutcome(claimId, requestId, outcome);
    }
}

function isHandedOver(outcome: PeerOutcome): boolean {
    return outcome.status === "replied" && outcome.reply.method === "ForwardTicket" &&
        outcome.reply.body.state === "unused";
}

function createOutcomeOfReply(outcome: PeerOutcome): ClaimOutcome {
    if (outcome.status !== "replied" || outcome.reply.method !== "ForwardTicket") {
        return createRefusal("OutcomeUnknown", RunningRetryAfterMs);
    }
    const { state, answer } = outcome.reply.body;
    if (state === "done" && answer !== undefined) {
        return { status: "replay", answer };
    }
    if (state === "running") {
        return createRefusal("RequestRunning", RunningRetryAfterMs);
    }
    return createRefusal("OutcomeUnknown", RunningRetryAfterMs);
}
