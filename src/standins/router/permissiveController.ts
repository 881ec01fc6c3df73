/** Controller that grants everything, for tests and measurements of the gateway alone. */
import type { AdmissionOutcome, AdmissionRequest } from "../../features/admission/admissionTypes.js";
import type { BillDraft } from "../../features/budget/budgetTypes.js";
import type { ClaimOutcome, StoredResponse } from "../../features/idempotency/idempotencyTypes.js";
import { Controller } from "../../kernel/controller.js";
import type { Notification } from "../../kernel/effects.js";
import type { RouterEvent } from "../../kernel/events.js";

/** A claim of an idempotency key. */
interface ClaimEntry {
    readonly bodyHash: string;
    /** Response to replay, if one was stored. */
    answer: StoredResponse | undefined;
    done: boolean;
    interrupted: boolean;
}

/**
 * Decides immediately and as if every upstream were idle. Budgets are unlimited unless a test sets their tokens, and a claim
 * is held unless the same one was made before.
 */
export class PermissiveController extends Controller {
    override readonly name = "lifecycle";
    /** Available tokens by budget; a budget without an entry is unlimited. */
    readonly availableTokens = new Map<string, number>();
    /** Claims by id, until they are released. */
    readonly claims = new Map<string, ClaimEntry>();
    /** Bills of the settled reservations, in their order. */
    readonly bills: BillDraft[] = [];
    /** Events that the controller received, except ticks. */
    readonly events: RouterEvent[] = [];
    /** Number of hedges that will still be admitted. */
    remainingHedges = 0;
    /** Whether admissions wait until they are cancelled. */
    shouldHoldAdmissions = false;
    /** Whether events are added to {@link events}. */
    shouldRecordEvents = true;
    readonly #reservations = new Map<string, { readonly budget: string; readonly costTokens: number; }>();
    #selectionCount = 0;
    #fencingNumber = 0;

    /** @returns Reservations that are neither settled nor released. */
    get openReservations(): number {
        return this.#reservations.size;
    }

    override handle(event: RouterEvent): void {
        if (this.shouldRecordEvents && event.type !== "tick") {
            this.events.push(event);
        }
        switch (event.type) {
            case "reservationRequested":
                this.#reserve(event.reservationId, event.budget, event.costTokens);
                break;
            case "reservationSettled":
                this.bills.push(event.bill);
                this.#returnTokens(event.reservationId, event.bill.tokens);
                break;
            case "reservationReleased":
                this.#returnTokens(event.reservationId, 0);
                break;
            case "claimRequested":
                this.#claim(event.claimId, event.requestId, event.bodyHash);
                break;
            case "claimCompleted":
                Object.assign(this.claims.get(event.claimId) ?? {}, {
                    answer: event.answer,
                    done: true,
                    interrupted: event.interrupted,
                });
                break;
            case "claimReleased":
                this.claims.delete(event.claimId);
                break;
            default:
                this.#handleAdmission(event);
        }
    }

    #handleAdmission(event: RouterEvent): void {
        if (event.type === "admissionRequested" && !this.shouldHoldAdmissions) {
            this.#admit(event.request);
        }
        else if (event.type === "admissionCancelled") {
            this.#decide(event.requestId, { status: "refused", code: "Overloaded", retryAfterMs: undefined });
        }
        else if (event.type === "retryRequested") {
            const allowed = event.reason === "retry" || this.remainingHedges-- > 0;
            this.#admit(allowed ? event.request : { ...event.request, candidates: [] });
        }
        else if (event.type === "ticketRequested") {
            this.#notify({ type: "ticketIssued", requestId: event.requestId, ticket: `tkt.${event.requestId}` });
        }
        else if (event.type === "requestEntered") {
            this.context.board.lifecycle.requestsInFlight++;
        }
        else if (event.type === "requestLeft") {
            this.context.board.lifecycle.requestsInFlight--;
        }
    }

    #reserve(reservationId: string, budget: string, costTokens: number): void {
        const availableTokens = this.availableTokens.get(budget);
        if (availableTokens !== undefined && availableTokens < costTokens) {
            this.#notify({
                type: "reservationDecided",
                reservationId,
                outcome: { status: "refused", code: "BudgetExhausted", retryAfterMs: 2_000 },
            });
            return;
        }
        this.#reservations.set(reservationId, { budget, costTokens });
        this.#addTokens(budget, -costTokens);
        this.#notify({ type: "reservationDecided", reservationId, outcome: { status: "granted" } });
    }

    #returnTokens(reservationId: string, billedTokens: number): void {
        const reservation = this.#reservations.get(reservationId);
        this.#reservations.delete(reservationId);
        if (reservation !== undefined) {
            this.#addTokens(reservation.budget, reservation.costTokens - billedTokens);
        }
    }

    #addTokens(budget: string, tokens: number): void {
        const availableTokens = this.availableTokens.get(budget);
        if (availableTokens !== undefined) {
            this.availableTokens.set(budget, availableTokens + tokens);
        }
    }

    #claim(claimId: string, requestId: string, bodyHash: string): void {
        this.#notify({ type: "claimDecided", claimId, requestId, outcome: this.#claimOutcome(claimId, bodyHash) });
    }

    #claimOutcome(claimId: string, bodyHash: string): ClaimOutcome {
        const entry = this.claims.get(claimId);
        if (entry === undefined) {
            this.claims.set(claimId, { bodyHash, answer: undefined, done: false, interrupted: false });
            return { status: "held", fencingNumber: ++this.#fencingNumber };
        }
        if (entry.bodyHash !== bodyHash) {
            return { status: "refused", code: "KeyReused", retryAfterMs: undefined };
        }
        if (entry.answer !== undefined) {
            return { status: "replay", answer: entry.answer };
        }
        return entry.done ?
            { status: "refused", code: "OutcomeUnknown", retryAfterMs: undefined } :
            { status: "refused", code: "RequestRunning", retryAfterMs: 1_000 };
    }

    #admit(request: AdmissionRequest): void {
        const usable = [...request.candidates, ...request.fallbacks].filter(name =>
            !request.excludedUpstreams.includes(name)
        );
        const upstream = usable[this.#selectionCount++ % Math.max(1, usable.length)];
        this.#decide(
            request.requestId,
            upstream === undefined ?
                { status: "refused", code: "NoUpstream", retryAfterMs: undefined } :
                { status: "dispatch", upstream },
        );
    }

    #decide(requestId: string, outcome: AdmissionOutcome): void {
        this.#notify({ type: "admissionDecided", requestId, outcome });
    }

    #notify(notification: Notification): void {
        this.context.emit({ type: "notify", notification });
    }
}
