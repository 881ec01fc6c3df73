/** Requests with an idempotency key: claims, runs and replays, in the order of the real gateway. */
import { claimId, type ClaimOutcome } from "../../src/features/idempotency/idempotencyTypes.js";
import type { Notification } from "../../src/kernel/effects.js";
import { FakeGateway, type RequestPlan, type RequestRecord } from "./fakeGateway.js";
import type { HostProcess } from "./hostProcess.js";

const Team = "team";

/** One attempt of a caller to run the work of an idempotency key. */
export interface KeyedRequest {
    readonly key: string;
    readonly requestId: string;
    readonly process: HostProcess;
    readonly repeatable: boolean;
    readonly plan: RequestPlan;
    outcome: ClaimOutcome | undefined;
    /** Set once the claim allowed the request to run. */
    record: RequestRecord | undefined;
}

/** A {@link FakeGateway} that claims the idempotency key of a request before it runs it. */
export class KeyedGateway extends FakeGateway {
    /** Keyed requests by request id. */
    readonly keyed = new Map<string, KeyedRequest>();
    /** Tickets issued so far; each serves as a key. */
    readonly tickets: string[] = [];

    /** Sends a keyed request to a host. */
    startKeyed(process: HostProcess, key: string, repeatable: boolean, plan: RequestPlan): KeyedRequest {
        const requestId = this.nextRequestId();
        const request: KeyedRequest = {
            key,
            requestId,
            process,
            repeatable,
            plan,
            outcome: undefined,
            record: undefined,
        };
        this.keyed.set(requestId, request);
        process.post({
            type: "claimRequested",
            claimId: claimId(Team, key),
            idempotencyKey: key,
            requestId,
            bodyHash: `body of ${key}`,
            repeatable,
        });
        return request;
    }

    /** Asks a host for a ticket. */
    requestTicket(process: HostProcess): void {
        process.post({ type: "ticketRequested", requestId: this.nextRequestId() });
    }

    /** Records that a bill was cancelled. */
    recordReversal(requestId: string): void {
        const request = this.requests.get(requestId);
        if (request !== undefined) {
            request.reversed = true;
        }
    }

    /** @returns The requests that were dispatched with a key. */
    runsOf(key: string): RequestRecord[] {
        return [...this.keyed.values()].flatMap(request =>
            request.key === key && request.record !== undefined && request.record.executions > 0 ? [request.record] : []
        );
    }

    override handleNotification(notification: Notification): void {
        if (notification.type === "ticketIssued" && notification.ticket !== undefined) {
            this.tickets.push(notification.ticket);
        }
        else if (notification.type === "claimDecided") {
            this.#handleClaimDecision(this.keyed.get(notification.requestId)!, notification.outcome);
        }
        super.handleNotification(notification);
        if (notification.type === "reservationDecided" && notification.outcome.status === "refused") {
            this.#release(notification.reservationId);
        }
    }

    #handleClaimDecision(request: KeyedRequest, outcome: ClaimOutcome): void {
        request.outcome = outcome;
        if (outcome.status === "held" || outcome.status === "deferred") {
            request.record = this.start(request.process, request.plan, request.requestId);
        }
    }

    #release(requestId: string): void {
        const request = this.keyed.get(requestId);
        request?.process.post({ type: "claimReleased", claimId: claimId(Team, request.key), requestId });
    }

    protected override billIdOf(request: RequestRecord): string {
        const keyed = this.keyed.get(request.requestId);
        return keyed === undefined ? request.requestId : claimId(Team, keyed.key);
    }

    protected override settle(request: RequestRecord): void {
        super.settle(request);
        const keyed = this.keyed.get(request.requestId);
        if (keyed !== undefined) {
            const response = { httpStatus: 200, contentType: "text/plain", body: request.requestId };
            request.process.post({
                type: "claimCompleted",
                claimId: claimId(Team, keyed.key),
                requestId: request.requestId,
                answer: request.cut ? undefined : response,
                interrupted: request.cut,
            });
        }
    }
}
