/** Claims idempotency keys, so that work that may not be repeated runs at most once in the whole fleet of hosts. */
import { match, P } from "ts-pattern";
import { Controller, type ControllerContext } from "../../kernel/controller.js";
import type { EffectResultEvent } from "../../kernel/effectResults.js";
import type { RouterEvent } from "../../kernel/events.js";
import { AbsentVersion, type StoredObject, type WriteOutcome } from "../../platform/platformStore.js";
import type { BillDraft } from "../budget/budgetTypes.js";
import { hostRecordKey } from "../journal/journalTypes.js";
import {
    createOutcomeOfFinishedClaim,
    createOutcomeOfLocalClaim,
    createRefusal,
    isRecordSealed,
    isRecordSealedOrClosed,
    RunningRetryAfterMs,
} from "./claimOutcomes.js";
import {
    type Claim,
    claimKey,
    type ClaimOutcome,
    type IdempotencyEvent,
    type IdempotencySettings,
} from "./idempotencyTypes.js";
import { claimValue, classifyStoredClaim, createLocalClaim, type LocalClaim } from "./localClaim.js";
import { TicketManager } from "./ticketManager.js";

type ClaimRequested = Extract<IdempotencyEvent, { type: "claimRequested"; }>;
type ClaimCompleted = Extract<IdempotencyEvent, { type: "claimCompleted"; }>;

/** Claims idempotency keys in the store, stores responses for replay, and handles tickets through {@link TicketManager}. */
export class IdempotencyController extends Controller {
    override readonly name = "idempotency";
    override readonly handledEventTypes: ReadonlySet<RouterEvent["type"]> = new Set<RouterEvent["type"]>([
        "tick",
        "claimRequested",
        "claimCompleted",
        "claimReleased",
        "reservationSettled",
        "ticketRequested",
        "peerRequestReceived",
        "peerCallDone",
        "storeGetDone",
        "storePutDone",
    ]);
    readonly #settings: IdempotencySettings;
    /** All claims in memory, by claim id. */
    readonly #claims = new Map<string, LocalClaim>();
    /** Claims that may still be written. Settled claims are left out, since they are many and only wait for their removal. */
    readonly #activeClaims = new Set<LocalClaim>();
    /** Settled claims in the order of their removal. */
    readonly #settledClaims: LocalClaim[] = [];
    /** Claims that wait for the read of the record of the host that holds their key, by call id. */
    readonly #holderChecks = new Map<string, LocalClaim>();
    readonly #ticketManager: TicketManager;

    constructor(context: ControllerContext, settings: IdempotencySettings) {
        super(context);
        this.#settings = settings;
        this.#ticketManager = new TicketManager(context, settings, {
            findClaim: id => this.#claims.get(id),
            addHeldClaim: claim => this.#addHeldClaim(claim),
            reportOutcome: (claimId, requestId, outcome) => this.#notify(claimId, requestId, outcome),
        });
    }

    override handle(event: RouterEvent): void {
        match(event)
            .with({ type: "claimRequested" }, request => this.#handleClaimRequest(request))
            .with({ type: "claimCompleted" }, completion => this.#handleCompletion(completion))
            .with({ type: "claimReleased" }, ({ claimId, requestId }) => this.#handleRelease(claimId, requestId))
            .with({ type: "reservationSettled" }, ({ bill }) => this.#recordBill(bill))
            .with(
                { type: "storePutDone", owner: "idempotency" },
                done => this.#handleWriteResult(done.callId, done.outcome),
            )
            .with({ type: "storeGetDone", owner: "idempotency" }, done => this.#handleReadResult(done))
            .with({ type: "tick" }, () => this.#tick())
            .with(
                P.union({ type: "ticketRequested" }, { type: "peerRequestReceived" }, { type: "peerCallDone" }),
                other => this.#ticketManager.handle(other),
            )
            .otherwise(() => undefined);
        this.context.board.idempotency.unsettledClaims = this.#activeClaims.size;
    }

    override dumpState(): unknown {
        return { claims: this.#claims.size, ticketsIssued: this.#ticketManager.issuedCount };
    }

    #handleClaimRequest(request: ClaimRequested): void {
        const existing = this.#claims.get(request.claimId);
        if (existing !== undefined && !this.#isReleased(existing)) {
            this.#notify(request.claimId, request.requestId, createOutcomeOfLocalClaim(existing, request.bodyHash));
            return;
        }
        if (this.#ticketManager.tryHandleClaim(request)) {
            return;
        }
        const { repeatableWaitMs, exclusiveWaitMs } = this.#settings;
        const waitMs = request.repeatable ? repeatableWaitMs : exclusiveWaitMs;
        const claim = createLocalClaim(request, {
            hostKey: this.context.board.journal.hostKey,
            deadlineMs: this.context.clock.monotonicMs() + waitMs,
            // The version of an earlier claim of this host must not be used: another host may have claimed the key since.
            expectedVersion: AbsentVersion,
            retryMs: this.#settings.firstRetryMs,
        });
        this.#add(claim);
        this.#write(claim);
    }

    #add(claim: LocalClaim): void {
        this.#claims.set(claim.claimId, claim);
        this.#activeClaims.add(claim);
    }

    #remove(claim: LocalClaim): void {
        this.#activeClaims.delete(claim);
        if (this.#claims.get(claim.claimId) === claim) {
            this.#claims.delete(claim.claimId);
        }
    }

    /** @returns Whether the claim was released, so that the key can be claimed again. */
    #isReleased(claim: LocalClaim): boolean {
        return claim.stage === "settled" && claim.completion === undefined;
    }

    /** Adds the claim of a ticket, which needs no acknowledgement by the store before its request is dispatched. */
    #addHeldClaim(claim: LocalClaim): void {
        this.#add(claim);
        this.context.counters.add("idempotency.ticketsUsed");
        this.#decide(claim, { status: "held", fencingNumber: 1 });
    }

    #handleCompletion(completion: ClaimCompleted): void {
        const claim = this.#claims.get(completion.claimId);
        if (claim === undefined || claim.requestId !== completion.requestId || claim.completion !== undefined) {
            return;
        }
        claim.completion = { answer: completion.answer, interrupted: completion.interrupted };
        if (claim.stage === "held") {
            claim.stage = "finishing";
            this.#write(claim);
        }
        else if (claim.stage === "lost") {
            this.#remove(claim);
        }
    }

    #handleRelease(claimId: string, requestId: string): void {
        const claim = this.#claims.get(claimId);
        if (claim === undefined || claim.requestId !== requestId) {
            return;
        }
        if (claim.ticket !== undefined) {
            this.#ticketManager.markUnused(claim.ticket);
            this.#remove(claim);
        }
        else if (claim.stage === "held") {
            claim.stage = "releasing";
            this.#write(claim);
        }
        else if (claim.stage === "claiming") {
            claim.isAbandoned = true;
        }
        else if (claim.stage === "lost") {
            this.#remove(claim);
        }
    }

    #recordBill(bill: BillDraft): void {
        const claim = this.#claims.get(bill.billId);
        if (claim === undefined || claim.requestId !== bill.requestId) {
            return;
        }
        claim.bill = bill;
        if (claim.stage === "lost") {
            this.#reverseBill(claim);
        }
    }

    /** Cancels the bill of a request that ran although another request with the same key holds the claim. */
    #reverseBill(claim: LocalClaim): void {
        if (claim.bill === undefined) {
            return;
        }
        const bill: BillDraft = { ...claim.bill, tokens: 0 - claim.bill.tokens, outcome: "reversal" };
        claim.bill = undefined;
        this.context.counters.add("idempotency.reversals");
        this.context.emit({ type: "postEvent", event: { type: "billReversed", bill } });
    }

    #write(claim: LocalClaim): void {
        claim.isWriting = true;
        this.context.emit({
            type: "storePut",
            owner: "idempotency",
            callId: claim.claimId,
            key: claimKey(claim.claimId),
            value: claimValue(claim),
            expectedVersion: claim.expectedVersion,
        });
    }

    #handleWriteResult(claimId: string, outcome: WriteOutcome): void {
        const claim = this.#claims.get(claimId);
        if (claim === undefined) {
            return;
        }
        claim.isWriting = false;
        match(outcome)
            .with({ status: "applied" }, ({ version }) => this.#handleAppliedWrite(claim, version))
            .with({ status: "conflict" }, ({ current }) => this.#handleConflict(claim, current))
            // Both repeat the same conditional write. After `unknown`, only the repetition shows whether the first took effect.
            .with({ status: P.union("refused", "unknown") }, () => this.#retryLater(claim))
            .exhaustive();
    }

    #retryLater(claim: LocalClaim): void {
        claim.nextWriteMs = this.context.clock.monotonicMs() + claim.retryMs;
        claim.retryMs = Math.min(claim.retryMs * 2, this.#settings.longestRetryMs);
    }

    #handleAppliedWrite(claim: LocalClaim, version: number): void {
        claim.expectedVersion = version;
        claim.retryMs = this.#settings.firstRetryMs;
        if (claim.stage !== "claiming") {
            this.#settle(claim);
            return;
        }
        if (claim.isAbandoned) {
            claim.stage = "releasing";
            this.#write(claim);
            return;
        }
        claim.stage = "held";
        if (claim.completion !== undefined) {
            claim.stage = "finishing";
            this.#write(claim);
        }
        else if (!claim.isDecided) {
            this.context.counters.add("idempotency.held");
            this.#decide(claim, { status: "held", fencingNumber: version });
        }
    }

    #settle(claim: LocalClaim): void {
        claim.stage = "settled";
        this.#activeClaims.delete(claim);
        this.#settledClaims.push(claim);
        claim.expiresAtMs = this.context.clock.monotonicMs() + this.#settings.replayCacheMs;
    }

    #handleConflict(claim: LocalClaim, current: StoredObject | undefined): void {
        if (current === undefined) {
            // The claim object has been deleted since.
            claim.expectedVersion = AbsentVersion;
            this.#retryLater(claim);
            return;
        }
        const classification = classifyStoredClaim(current, claim);
        if (claim.stage !== "claiming") {
            this.#handleFinalWriteConflict(
                claim,
                classification.kind === "sameRequest" ? classification.claim : undefined,
                current.version,
            );
            return;
        }
        match(classification)
            .with({ kind: "sameRequest" }, () => this.#handleAppliedWrite(claim, current.version))
            .with({ kind: "released" }, () => {
                claim.expectedVersion = current.version;
                this.#write(claim);
            })
            .with({ kind: "differentBody" }, () => this.#loseClaim(claim, createRefusal("KeyReused")))
            .with({ kind: "unreadable" }, () => this.#loseClaim(claim, createRefusal("OutcomeUnknown")))
            .with({ kind: "done" }, done => this.#loseClaim(claim, createOutcomeOfFinishedClaim(done.claim)))
            .with({ kind: "running" }, ({ hostKey }) => this.#checkHolder(claim, hostKey))
            .exhaustive();
    }

    /**
     * Handles a version conflict of the final write: an earlier attempt of it, or the claiming write before it, took effect.
     * When another request has overwritten the claim, there is nothing left to write.
     */
    #handleFinalWriteConflict(claim: LocalClaim, stored: Claim | undefined, version: number): void {
        const finalState = claim.stage === "finishing" ? "done" : "released";
        if (stored === undefined || stored.state === finalState) {
            if (stored === undefined) {
                this.context.counters.add("idempotency.claimOverwritten");
            }
            claim.expectedVersion = version;
            this.#settle(claim);
            return;
        }
        claim.expectedVersion = version;
        this.#write(claim);
    }

    /**
     * Handles a key that belongs to another request. A request that is not decided gets this outcome; the bill of one that ran
     * without a claim is reversed.
     */
    #loseClaim(claim: LocalClaim, outcome: ClaimOutcome): void {
        if (!claim.isDecided) {
            this.#remove(claim);
            this.#decide(claim, outcome);
        }
        else if (claim.isAbandoned) {
            this.#remove(claim);
        }
        else {
            claim.stage = "lost";
            this.#activeClaims.delete(claim);
            this.#reverseBill(claim);
            if (claim.completion !== undefined) {
                this.#remove(claim);
            }
        }
    }

    /**
     * Reads the record of the host that holds the key. A request that is not decided is refused either way; a sealed record
     * only changes the result code. A request that runs without a claim keeps its bill until the holder has run the key or
     * has ended, because a holder that releases the key does not bill it.
     */
    #checkHolder(claim: LocalClaim, hostKey: string): void {
        if (claim.isAbandoned) {
            this.#loseClaim(claim, createRefusal("RequestRunning", RunningRetryAfterMs));
            return;
        }
        if (claim.isDecided) {
            claim.isWriting = true;
        }
        else {
            this.#remove(claim);
        }
        this.#holderChecks.set(claim.requestId, claim);
        this.context.emit({
            type: "storeGet",
            owner: "idempotency",
            callId: claim.requestId,
            key: hostRecordKey(hostKey),
        });
    }

    #handleReadResult(done: Extract<EffectResultEvent, { type: "storeGetDone"; }>): void {
        const claim = this.#holderChecks.get(done.callId);
        if (claim === undefined) {
            this.#ticketManager.handleClaimRead(done);
            return;
        }
        this.#holderChecks.delete(done.callId);
        if (claim.isDecided) {
            claim.isWriting = false;
            if (isRecordSealedOrClosed(done.outcome)) {
                this.#loseClaim(claim, createRefusal("OutcomeUnknown"));
            }
            else {
                this.#retryLater(claim);
            }
            return;
        }
        const outcome = isRecordSealed(done.outcome) ?
            createRefusal("OutcomeUnknown") :
            createRefusal("RequestRunning", RunningRetryAfterMs);
        this.#decide(claim, outcome);
    }

    #tick(): void {
        const nowMs = this.context.clock.monotonicMs();
        this.#removeExpiredClaims(nowMs);
        for (const claim of this.#activeClaims) {
            if (claim.stage === "claiming" && !claim.isDecided && claim.deadlineMs <= nowMs) {
                this.#handleClaimTimeout(claim);
            }
            if (claim.stage !== "held" && !claim.isWriting && claim.nextWriteMs <= nowMs) {
                this.#write(claim);
            }
        }
        this.#ticketManager.raiseTicketLimit();
    }

    #removeExpiredClaims(nowMs: number): void {
        let count = 0;
        while (count < this.#settledClaims.length && this.#settledClaims[count]!.expiresAtMs <= nowMs) {
            this.#remove(this.#settledClaims[count]!);
            count++;
        }
        this.#settledClaims.splice(0, count);
    }

    /** Decides a claim that the store did not acknowledge in time. Its write is still repeated, since it may take effect. */
    #handleClaimTimeout(claim: LocalClaim): void {
        if (claim.repeatable) {
            this.context.counters.add("idempotency.deferred");
            this.#decide(claim, { status: "deferred" });
            return;
        }
        claim.isAbandoned = true;
        this.#decide(claim, createRefusal("ClaimUnavailable", RunningRetryAfterMs));
    }

    #decide(claim: LocalClaim, outcome: ClaimOutcome): void {
        claim.isDecided = true;
        this.#notify(claim.claimId, claim.requestId, outcome);
    }

    #notify(claimId: string, requestId: string, outcome: ClaimOutcome): void {
        if (outcome.status === "replay") {
            this.context.counters.add("idempotency.replayed");
        }
        else if (outcome.status === "refused") {
            this.context.counters.add(`idempotency.refused.${outcome.code}`);
        }
        this.context.emit({ type: "notify", notification: { type: "claimDecided", claimId, requestId, outcome } });
    }
}
