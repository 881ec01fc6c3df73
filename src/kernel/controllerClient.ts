/** Lets asynchronous gateway code request decisions from the controllers. */
import type { AdmissionOutcome, AdmissionRequest } from "../features/admission/admissionTypes.js";
import type { BillDraft, ReservationOutcome } from "../features/budget/budgetTypes.js";
import type { ClaimOutcome, StoredResponse } from "../features/idempotency/idempotencyTypes.js";
import type { Notification } from "./effects.js";
import type { Kernel } from "./kernel.js";

/** A request of the gateway to claim an idempotency key. */
export interface ClaimRequest {
    /** Id of the claim, derived from team and key. */
    readonly claimId: string;
    /** The caller's key as sent. */
    readonly idempotencyKey: string;
    readonly requestId: string;
    readonly bodyHash: string;
    /** Whether the work may be repeated, and so may run without a claim when the store is not available. */
    readonly repeatable: boolean;
}

/** Requests decisions from the controllers and returns promises, which the controllers' notifications resolve. */
export class ControllerClient {
    readonly #kernel: Kernel;
    /** Resolve functions of the pending promises, by kind and id of the request. */
    readonly #resolvers = new Map<string, (outcome: never) => void>();

    constructor(kernel: Kernel) {
        this.#kernel = kernel;
    }

    /** Resolves the promise that waits for a notification of a controller. */
    handleNotification(notification: Notification): void {
        if (notification.type === "reservationDecided") {
            this.#resolvePromise(`reservation/${notification.reservationId}`, notification.outcome);
        }
        else if (notification.type === "claimDecided") {
            this.#resolvePromise(`claim/${notification.requestId}`, notification.outcome);
        }
        else if (notification.type === "ticketIssued") {
            this.#resolvePromise(`ticket/${notification.requestId}`, notification.ticket);
        }
        else if (notification.type === "admissionDecided") {
            this.#resolvePromise(`admission/${notification.requestId}`, notification.outcome);
        }
    }

    /**
     * Claims an idempotency key.
     * @returns The outcome: the request may run, gets a stored response, or is refused.
     */
    claimIdempotencyKey(request: ClaimRequest): Promise<ClaimOutcome> {
        return this.#ask(`claim/${request.requestId}`, () => this.#kernel.post({ type: "claimRequested", ...request }));
    }

    /** @returns A new ticket; `undefined` when none may be issued now. */
    requestTicket(requestId: string): Promise<string | undefined> {
        return this.#ask(`ticket/${requestId}`, () => this.#kernel.post({ type: "ticketRequested", requestId }));
    }

    /**
     * Records that a claimed request ran to its end.
     * @param answer Response to store for replay; `undefined` when it cannot be stored.
     * @param interrupted Whether the response was interrupted.
     */
    completeClaim(claimId: string, requestId: string, answer: StoredResponse | undefined, interrupted: boolean): void {
        this.#kernel.post({ type: "claimCompleted", claimId, requestId, answer, interrupted });
    }

    /** Releases a claim. Call it only when the request definitely did not run. */
    releaseClaim(claimId: string, requestId: string): void {
        this.#kernel.post({ type: "claimReleased", claimId, requestId });
    }

    /**
     * Reserves the worst-case cost of a request.
     * @param waitMs Maximum wait for tokens, in milliseconds.
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

    /** Settles a reservation by its bill. */
    settleReservation(reservationId: string, bill: BillDraft): void {
        this.#kernel.post({ type: "reservationSettled", reservationId, bill });
    }

    /** Releases a reservation. Call it only when the request definitely did not run. */
    releaseReservation(reservationId: string): void {
        this.#kernel.post({ type: "reservationReleased", reservationId });
    }

    /** Requests admission, which chooses an upstream, possibly after a wait in the queue. */
    requestAdmission(request: AdmissionRequest): Promise<AdmissionOutcome> {
        return this.#ask(
            `admission/${request.requestId}`,
            () => this.#kernel.post({ type: "admissionRequested", request }),
        );
    }

    /** Requests another upstream for a retry or a hedge of the same request. */
    requestAnotherUpstream(request: AdmissionRequest, reason: "retry" | "hedge"): Promise<AdmissionOutcome> {
        return this.#ask(
            `admission/${request.requestId}`,
            () => this.#kernel.post({ type: "retryRequested", request, reason }),
        );
    }

    /** Cancels the wait for an upstream; the controller's notification still resolves the pending promise. */
    cancelAdmission(requestId: string): void {
        this.#kernel.post({ type: "admissionCancelled", requestId });
    }

    #ask<T>(key: string, post: () => void): Promise<T> {
        return new Promise<T>(resolve => {
            this.#resolvers.set(key, resolve as (outcome: never) => void);
            post();
        });
    }

    #resolvePromise(key: string, outcome: unknown): void {
        const resolve = this.#resolvers.get(key);
        this.#resolvers.delete(key);
        resolve?.(outcome as never);
    }
}
