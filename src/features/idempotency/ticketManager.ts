/** Issues tickets, and settles with their issuer what became of a ticket that arrives at another host. */
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

/** What the desk needs from the claim table. */
export interface ClaimTable {
    findClaim(claimId: string): LocalClaim | undefined;
    addHeldClaim(claim: LocalClaim): void;
    reportOutcome(claimId: string, requestId: string, outcome: ClaimOutcome): void;
}

/** A request with a ticket of another host. */
interface ForeignTicket {
    readonly request: ClaimRequested;
    readonly ticket: Ticket;
}

/** The tickets of a host. */
export class TicketManager {
    readonly #context: ControllerContext;
    readonly #settings: IdempotencySettings;
    readonly #table: ClaimTable;
    readonly #book: TicketRegistry;
    readonly #foreign = new Map<string, ForeignTicket>();

    constructor(context: ControllerContext, settings: IdempotencySettings, table: ClaimTable) {
        this.#context = context;
        this.#settings = settings;
        this.#table = table;
        this.#book = new TicketRegistry(context.random.hex(64));
    }

    /** @returns Number of tickets issued in this incarnation. */
    get issuedCount(): number {
        return this.#book.issuedCount;
    }

    /** Handles the events that concern tickets only. */
    handle(event: TicketRequested | PeerRequestReceived | PeerCallDone): void {
        match(event)
            .with({ type: "ticketRequested" }, ({ requestId }) => this.#issue(requestId))
            .with({ type: "peerRequested", request: { method: "ForwardTicket" } }, ({ exchangeId, request }) => {
                const body = this.#answerPeer(request.body);
                const reply = { method: "ForwardTicket" as const, body };
                this.#context.emit({ type: "peerAnswer", exchangeId, reply });
            })
            .with({ type: "peerCallDone", owner: "idempotency" }, done => this.#peerAnswered(done))
            .otherwise(() => undefined);
    }

    /** Keeps the declared limit ahead of the tickets issued. */
    raiseTicketLimit(): void {
        const { board } = this.#context;
        this.#book.setIncarnation(board.journal.hostKey);
        const wanted = this.#book.issuedCount + this.#settings.ticketReserve;
        // Raised in halves of the reserve, so that not every ticket changes the host record.
        if (board.idempotency.wantedTicketLimit - this.#book.issuedCount < this.#settings.ticketReserve / 2) {
            board.idempotency.wantedTicketLimit = wanted;
        }
    }

    /** @returns Whether the key is a ticket; its request is then decided here. */
    tryHandleClaim(request: ClaimRequested): boolean {
        const ticket = parseTicket(request.idempotencyKey);
        if (ticket === undefined) {
            return false;
        }
        if (this.#book.wasIssuedHere(ticket)) {
            this.#useOwn(request, ticket);
        }
        else {
            this.#readClaim(request, ticket);
        }
        return true;
    }

    /** Makes a ticket usable again; only when its request definitely did not run. */
    markUnused(ticket: Ticket): void {
        this.#book.markUnused(ticket);
    }

    /** The claim object of a foreign ticket was read: it holds the answer, or the issuer is asked. */
    handleClaimRead(done: StoreGetDone): void {
        const foreign = this.#foreign.get(done.callId);
        if (foreign === undefined) {
            return;
        }
        const stored = done.outcome.status === "found" ? ClaimSchema.safeParse(done.outcome.object.value) : undefined;
        if (stored?.success === true && stored.data.state === "done") {
            const isSameBody = stored.data.bodyHash === foreign.request.bodyHash;
            this.#finishForeign(
                foreign,
                isSameBody ? createOutcomeOfFinishedClaim(stored.data) : createRefusal("KeyReused"),
            );
            return;
        }
        this.#askIssuer(foreign);
    }

    #issue(requestId: string): void {
        this.#book.setIncarnation(this.#context.board.journal.hostKey);
        const ticket = this.#book.issue(this.#context.board.journal.ticketLimit);
        this.#context.counters.add(ticket === undefined ? "idempotency.ticketsRefused" : "idempotency.ticketsIssued");
        this.#context.emit({ type: "notify", notification: { type: "ticketIssued", requestId, ticket } });
    }

    #useOwn(request: ClaimRequested, ticket: Ticket): void {
        if (this.#book.tryUse(ticket)) {
            this.#table.addHeldClaim(this.#createClaim(request, ticket));
            return;
        }
        // Used before, and its answer is no longer in memory or it was handed to another host.
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

    /** Reads the claim object of a ticket; {@link handleClaimRead} goes on with it. */
    #readClaim(request: ClaimRequested, ticket: Ticket): void {
        this.#foreign.set(request.requestId, { request, ticket });
        this.#context.emit({
            type: "storeGet",
            owner: "idempotency",
            callId: request.requestId,
            key: claimKey(request.claimId),
        });
    }

    #askIssuer(foreign: ForeignTicket): void {
        const { request, ticket } = foreign;
        const address = this.#issuerAddress(ticket);
        if (address === undefined || this.#book.wasIssuedHere(ticket)) {
            this.#finishForeign(foreign, createRefusal("OutcomeUnknown", RunningRetryAfterMs));
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

    #issuerAddress(ticket: Ticket): string | undefined {
        const { hostId, incarnation } = splitHostKey(ticket.hostKey);
        const member = this.#context.board.membership.members.get(hostId);
        return member?.state === "live" && member.incarnation === incarnation ? member.peerAddress : undefined;
    }

    /** Answers another host. An unused ticket is handed over: this host never dispatches it afterwards. */
    #answerPeer(request: ForwardTicketRequest): {
        state: "unused" | "running" | "done" | "unknown";
        answer?: NonNullable<LocalClaim["completion"]>["answer"];
    } {
        const ticket = parseTicket(request.ticket);
        if (ticket === undefined || !this.#book.wasIssuedHere(ticket)) {
            return { state: "unknown" };
        }
        const claim = this.#table.findClaim(request.claimId);
        if (claim !== undefined) {
            if (claim.bodyHash !== request.bodyHash) {
                return { state: "unknown" };
            }
            return claim.completion?.answer === undefined ?
                { state: "running" } :
                { state: "done", answer: claim.completion.answer };
        }
        return { state: this.#book.tryUse(ticket) ? "unused" : "unknown" };
    }

    #peerAnswered(done: PeerCallDone): void {
        const foreign = this.#foreign.get(done.callId);
        if (foreign === undefined) {
            return;
        }
        const { outcome } = done;
        if (outcome.status === "replied" && isHandedOver(outcome)) {
            this.#foreign.delete(done.callId);
            this.#table.addHeldClaim(this.#createClaim(foreign.request, foreign.ticket));
            return;
        }
        this.#finishForeign(foreign, outcomeOfReply(outcome));
    }

    #finishForeign(foreign: ForeignTicket, outcome: ClaimOutcome): void {
        const { claimId, requestId } = foreign.request;
        this.#foreign.delete(requestId);
        this.#table.reportOutcome(claimId, requestId, outcome);
    }
}

function isHandedOver(outcome: PeerOutcome): boolean {
    return outcome.status === "replied" && outcome.reply.method === "ForwardTicket" &&
        outcome.reply.body.state === "unused";
}

function outcomeOfReply(outcome: PeerOutcome): ClaimOutcome {
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
