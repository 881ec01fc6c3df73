/** Settles what a request holds when it has ended: its reservations and the claim of its idempotency key. */
import type { StoredResponse } from "../features/idempotency/idempotencyTypes.js";
import type { ControllerClient } from "../kernel/controllerClient.js";
import { createGrantBill, createRequestBill, type FinishedRequest } from "./billing.js";

/** What a request holds. */
export interface RequestHoldings {
    readonly areTokensReserved: boolean;
    /** Id of the reservation of a use of a priority grant; `undefined` if none is reserved. */
    readonly grantReservationId: string | undefined;
    readonly isClaimHeld: boolean;
}

/**
 * Bills what was delivered and completes the claim; releases reservations and claim if the request did not run.
 * @param storedResponse Response to store for the caller's retry; `undefined` if it cannot be stored.
 */
export function settleRequest(
    controllerClient: ControllerClient,
    finishedRequest: FinishedRequest,
    { areTokensReserved, grantReservationId, isClaimHeld }: RequestHoldings,
    storedResponse: StoredResponse | undefined,
): void {
    const { request: { requestId }, claimId, outcome, ran } = finishedRequest;
    const notRun = ran === "no";
    if (areTokensReserved && notRun) {
        controllerClient.releaseReservation(requestId);
    }
    else if (areTokensReserved) {
        controllerClient.settleReservation(requestId, createRequestBill(finishedRequest));
    }
    if (grantReservationId !== undefined && notRun) {
        controllerClient.releaseReservation(grantReservationId);
    }
    else if (grantReservationId !== undefined) {
        controllerClient.settleReservation(grantReservationId, createGrantBill(finishedRequest));
    }
    if (isClaimHeld && claimId !== undefined && notRun) {
        controllerClient.releaseClaim(claimId, requestId);
    }
    else if (isClaimHeld && claimId !== undefined) {
        const complete = outcome === "complete";
        controllerClient.completeClaim(claimId, requestId, complete ? storedResponse : undefined, !complete);
    }
}
