/** Lets asynchronous gateway code ask the controllers for decisions. */
import type { AdmissionOutcome, AdmissionRequest } from "../features/admission/admissionTypes.js";
import type { BillDraft, ReservationOutcome } from "../features/budget/budgetTypes.js";
import type { ClaimOutcome, StoredResponse } from "../features/idempotency/idempotencyTypes.js";
import type { Notification } from "./effects.js";
import type { Kernel } from "./kernel.js";

/** A claim request of the gateway. */
export interface ClaimRequest {
    readonly claimId: string;
    readonly idempotencyKey: string;
    readonly requestId: string;
    readonly bodyHash: string;
    readonly repeatable: boolean;
}

/** Decisions for one request after another, as promises. Every promise is settled by a controller's notification. */
export class ControllerClient {
    readonly #kernel: Kernel;
    readonly #waiting = new Map<string, (outcome: never) => void>();

    constructor(kernel: Kernel) {
        this.#kernel = kernel;
    }

    /** Hands a notification from a controller to whoever waits for it. */
    handleNotification(notification: Notification): void {
        if (notification.type === "reservationDecided") {
            this.#settle(`reservation/${notification.reservationId}`, notification.outcome);
        }
        else if (notification.type === "claimDecided") {
            this.#settle(`claim/${notification.requestId}`, notification.outcome);
        }
        else if (notification.type === "ticketIssued") {
            this.#settle(`ticket/${notification.requestId}`, notification.ticket);
        }
        else if (notification.type === "admissionDecided") {
            this.#settle(`admission/${notification.requestId}`, notification.outcome);
        }
    }

    /** Claims an idempotency key. */
    claimIdempotencyKey(request: ClaimRequest): Promise<ClaimOutcome> {
        return this.#ask(`claim/${request.requestId}`, () => this.#kernel.post({ type: "claimRequested", ...request }));
    }

    /** @returns A new ticket; `undefined` when none may be issued at the moment. */
    requestTicket(requestId: string): Promise<string | undefined> {
        return this.#ask(`ticket/${requestId}`, () => this.#kernel.post({ type: "ticketRequested", requestId }));
    }

    /** Records the end of a claimed request. */
    completeClaim(claimId: string, requestId: string, answer: StoredResponse | undefined, interrupted: boolean): void {
        this.#kernel.post({ type: "claimCompleted", claimId, requestId, answer, interrupted });
    }

    /** Gives a claim back; only when the request definitely did not run. */
    releaseClaim(claimId: string, requestId: string): void {
        this.#kernel.post({ type: "claimReleased", claimId, requestId });
    }

    /**
     * Reserves the worst-case cost of a request.
     * @param waitMs Longest wait for tokens, in milliseconds.
     */
    reserveTokens(
        reservationId: string,
        budget: string,
        costTokens: number,
        waitMs: number,
    ): Promise<ReservationOutcome> {
        return this.#ask(
            `reservation/${reservationId}`,
            () => this.#kernel.post({ type: "reservationRequested", reservationId, budget, costTokens, waitMs }),
        );
    }

    /** Bills a reservation. */
    settleReservation(reservationId: string, bill: BillDraft): void {
        this.#kernel.post({ type: "reservationSettled", reservationId, bill });
    }

    /** Gives a reservation back; only when the request definitely did not run. */
    releaseReservation(reservationId: string): void {
        this.#kernel.post({ type: "reservationReleased", reservationId });
    }

    /** Waits for an upstream. */
    requestAdmission(request: AdmissionRequest): Promise<AdmissionOutcome> {
        return this.#ask(
            `admission/${request.requestId}`,
            () => this.#kernel.post({ type: "admissionRequested", request }),
        );
    }

    /** Asks for another upstream for a retry or a hedge of the same request. */
    requestAnotherUpstream(request: AdmissionRequest, reason: "retry" | "hedge"): Promise<AdmissionOutcome> {
        return this.#ask(
            `admission/${request.requestId}`,
            () => this.#kernel.post({ type: "retryRequested", request, reason }),
        );
    }

    /** Stops waiting for an upstream; the pending promise is settled by the controller. */
    cancelAdmission(requestId: string): void {
        this.#kernel.post({ type: "admissionCancelled", requestId });
    }

    #ask<T>(key: string, post: () => void): Promise<T> {
        return new Promise<T>(resolve => {
            this.#waiting.set(key, resolve as (outcome: never) => void);
            post();
        });
    }

    #settle(key: string, outcome: unknown): void {
        const resolve = this.#waiting.get(key);
        this.#waiting.delete(key);
        resolve?.(outcome as never);
    }
}
