/** Claims idempotency keys, so that work that may not be repeated runs at most once in the whole fleet. */
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

/** Controller of the idempotency feature. */
export class IdempotencyController extends Controller {
    override readonly name = "idempotency";
    override readonly handledEventTypes: ReadonlySet<RouterEvent["type"]> = new Set<RouterEvent["type"]>([
        "tick",
        "claimRequested",
        "claimCompleted",
        "claimReleased",
        "reservationSettled",
        "ticketRequested",
        "peerRequested",
        "peerCallDone",
        "storeGetDone",
        "storePutDone",
    ]);
    readonly #settings: IdempotencySettings;
    readonly #claims = new Map<string, LocalClaim>();
    /** Claims with writes to come. Settled ones are left out, since they are many and only wait for their removal. */
    readonly #active = new Set<LocalClaim>();
    /** Settled claims in the order of their removal. */
    readonly #settledInOrder: LocalClaim[] = [];
    /** Requests that wait for the record of the host that holds their key, by call id. */
    readonly #holderChecks = new Map<string, LocalClaim>();
    readonly #tickets: TicketManager;

    constructor(context: ControllerContext, settings: IdempotencySettings) {
        super(context);
        this.#settings = settings;
        this.#tickets = new TicketManager(context, settings, {
            findClaim: id => this.#claims.get(id),
            addHeldClaim: claim => this.#hold(claim),
            reportOutcome: (claimId, requestId, outcome) => this.#notify(claimId, requestId, outcome),
        });
    }

    override handle(event: RouterEvent): void {
        match(event)
            .with({ type: "claimRequested" }, request => this.#request(request))
            .with({ type: "claimCompleted" }, completion => this.#complete(completion))
            .with({ type: "claimReleased" }, ({ claimId, requestId }) => this.#release(claimId, requestId))
            .with({ type: "reservationSettled" }, ({ bill }) => this.#rememberBill(bill))
            .with({ type: "storePutDone", owner: "idempotency" }, done => this.#written(done.callId, done.outcome))
            .with({ type: "storeGetDone", owner: "idempotency" }, done => this.#read(done))
            .with({ type: "tick" }, () => this.#tick())
            .with(
                P.union({ type: "ticketRequested" }, { type: "peerRequested" }, { type: "peerCallDone" }),
                other => this.#tickets.handle(other),
            )
            .otherwise(() => undefined);
        this.context.board.idempotency.unsettledClaims = this.#active.size;
    }

    override dumpState(): unknown {
        return { claims: this.#claims.size, ticketsIssued: this.#tickets.issuedCount };
    }

    #request(request: ClaimRequested): void {
        const existing = this.#claims.get(request.claimId);
        if (existing !== undefined && !this.#isForgotten(existing)) {
            this.#notify(request.claimId, request.requestId, createOutcomeOfLocalClaim(existing, request.bodyHash));
            return;
        }
        if (this.#tickets.tryHandleClaim(request)) {
            return;
        }
        const { repeatableWaitMs, exclusiveWaitMs } = this.#settings;
        const waitMs = request.repeatable ? repeatableWaitMs : exclusiveWaitMs;
        const claim = createLocalClaim(request, {
            hostKey: this.context.board.journal.hostKey,
            deadlineMs: this.context.clock.monotonicMs() + waitMs,
            // Never a version from an earlier claim: it may be that of a claim which another host made meanwhile.
            expectedVersion: AbsentVersion,
            retryMs: this.#settings.firstRetryMs,
        });
        this.#add(claim);
        this.#write(claim);
    }

    #add(claim: LocalClaim): void {
        this.#claims.set(claim.claimId, claim);
        this.#active.add(claim);
    }

    #remove(claim: LocalClaim): void {
        this.#active.delete(claim);
        if (this.#claims.get(claim.claimId) === claim) {
            this.#claims.delete(claim.claimId);
        }
    }

    /** A released claim does not stand in the way of a new one. */
    #isForgotten(claim: LocalClaim): boolean {
        return claim.stage === "settled" && claim.completion === undefined;
    }

    /** Takes over a claim that needs no acknowledgement before its dispatch: a ticket. */
    #hold(claim: LocalClaim): void {
        this.#add(claim);
        this.context.counters.add("idempotency.ticketsUsed");
        this.#decide(claim, { status: "held", fencingNumber: 1 });
    }

    #complete(completion: ClaimCompleted): void {
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

    #release(claimId: string, requestId: string): void {
        const claim = this.#claims.get(claimId);
        if (claim === undefined || claim.requestId !== requestId) {
            return;
        }
        if (claim.ticket !== undefined) {
            this.#tickets.markUnused(claim.ticket);
            this.#remove(claim);
        }
        else if (claim.stage === "held") {
            claim.stage = "releasing";
            this.#write(claim);
        }
        else if (claim.stage === "claiming") {
            claim.abandoned = true;
        }
        else if (claim.stage === "lost") {
            this.#remove(claim);
        }
    }

    #rememberBill(bill: BillDraft): void {
        const claim = this.#claims.get(bill.billId);
        if (claim === undefined || claim.requestId !== bill.requestId) {
            return;
        }
        claim.bill = bill;
        if (claim.stage === "lost") {
            this.#reverse(claim);
        }
    }

    /** Cancels the bill of a request that ran although another request with the same key holds the claim. */
    #reverse(claim: LocalClaim): void {
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

    #written(claimId: string, outcome: WriteOutcome): void {
        const claim = this.#claims.get(claimId);
        if (claim === undefined) {
            return;
        }
        claim.isWriting = false;
        match(outcome)
            .with({ status: "applied" }, ({ version }) => this.#applied(claim, version))
            .with({ status: "conflict" }, ({ current }) => this.#conflicted(claim, current))
            // Both repeat the same conditional write. After `unknown` only its repetition can tell what happened.
            .with({ status: P.union("refused", "unknown") }, () => this.#retryLater(claim))
            .exhaustive();
    }

    #retryLater(claim: LocalClaim): void {
        claim.nextWriteMs = this.context.clock.monotonicMs() + claim.retryMs;
        claim.retryMs = Math.min(claim.retryMs * 2, this.#settings.longestRetryMs);
    }

    #applied(claim: LocalClaim, version: number): void {
        claim.expectedVersion = version;
        claim.retryMs = this.#settings.firstRetryMs;
        if (claim.stage !== "claiming") {
            this.#settle(claim);
            return;
        }
        if (claim.abandoned) {
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
        this.#active.delete(claim);
        this.#settledInOrder.push(claim);
        claim.expiresAtMs = this.context.clock.monotonicMs() + this.#settings.replayCacheMs;
    }

    #conflicted(claim: LocalClaim, current: StoredObject | undefined): void {
        if (current === undefined) {
            // The key was deleted meanwhile.
            claim.expectedVersion = AbsentVersion;
            this.#retryLater(claim);
            return;
        }
        const verdict = classifyStoredClaim(current, claim);
        if (claim.stage !== "claiming") {
            this.#conflictedAtEnd(claim, verdict.kind === "ours" ? verdict.claim : undefined, current.version);
            return;
        }
        match(verdict)
            .with({ kind: "ours" }, () => this.#applied(claim, current.version))
            .with({ kind: "free" }, () => {
                claim.expectedVersion = current.version;
                this.#write(claim);
            })
            .with({ kind: "otherRequest" }, () => this.#lose(claim, createRefusal("KeyReused")))
            .with({ kind: "unreadable" }, () => this.#lose(claim, createRefusal("OutcomeUnknown")))
            .with({ kind: "done" }, done => this.#lose(claim, createOutcomeOfFinishedClaim(done.claim)))
            .with({ kind: "running" }, ({ hostKey }) => this.#checkHolder(claim, hostKey))
            .exhaustive();
    }

    /** The final write met another version: an earlier try of it, or of the claim before it, took effect. */
    #conflictedAtEnd(claim: LocalClaim, stored: Claim | undefined, version: number): void {
        const wanted = claim.stage === "finishing" ? "done" : "released";
        if (stored === undefined || stored.state === wanted) {
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

    /** The key belongs to another request. */
    #lose(claim: LocalClaim, outcome: ClaimOutcome): void {
        if (!claim.isDecided) {
            this.#remove(claim);
            this.#decide(claim, outcome);
        }
        else if (claim.abandoned) {
            this.#remove(claim);
        }
        else {
            claim.stage = "lost";
            this.#active.delete(claim);
            this.#reverse(claim);
            if (claim.completion !== undefined) {
                this.#remove(claim);
            }
        }
    }

    /**
     * Reads the record of the host that holds the key: only a sealed one changes the answer. A request that runs
     * without a claim keeps its bill until the holder has run the key or has ended: a released key is not billed there.
     */
    #checkHolder(claim: LocalClaim, hostKey: string): void {
        if (claim.abandoned) {
            this.#lose(claim, createRefusal("RequestRunning", RunningRetryAfterMs));
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

    #read(done: Extract<EffectResultEvent, { type: "storeGetDone"; }>): void {
        const claim = this.#holderChecks.get(done.callId);
        if (claim === undefined) {
            this.#tickets.handleClaimRead(done);
            return;
        }
        this.#holderChecks.delete(done.callId);
        if (claim.isDecided) {
            claim.isWriting = false;
            if (isRecordSealedOrClosed(done.outcome)) {
                this.#lose(claim, createRefusal("OutcomeUnknown"));
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
        this.#forgetSettled(nowMs);
        for (const claim of this.#active) {
            if (claim.stage === "claiming" && !claim.isDecided && claim.deadlineMs <= nowMs) {
                this.#expire(claim);
            }
            if (claim.stage !== "held" && !claim.isWriting && claim.nextWriteMs <= nowMs) {
                this.#write(claim);
            }
        }
        this.#tickets.raiseTicketLimit();
    }

    #forgetSettled(nowMs: number): void {
        let count = 0;
        while (count < this.#settledInOrder.length && this.#settledInOrder[count]!.expiresAtMs <= nowMs) {
            this.#remove(this.#settledInOrder[count]!);
            count++;
        }
        this.#settledInOrder.splice(0, count);
    }

    /** The store did not answer in time. The write goes on, since it may still take effect. */
    #expire(claim: LocalClaim): void {
        if (claim.repeatable) {
            this.context.counters.add("idempotency.deferred");
            this.#decide(claim, { status: "deferred" });
            return;
        }
        claim.abandoned = true;
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
