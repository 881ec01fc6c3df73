/** Holds this host's authority to spend: reservations, shares and transfers. */
import { match } from "ts-pattern";
import { Controller, type ControllerContext } from "../../kernel/controller.js";
import type { RouterEvent } from "../../kernel/events.js";
import { AccountRegistry } from "./accountRegistry.js";
import type { BudgetAccount, HostView } from "./budgetAccount.js";
import { DemandPolicy, type SharePolicy } from "./budgetMath.js";
import type { BudgetSettings } from "./budgetSettings.js";
import { type ReservationOutcome, unallocatedTokens } from "./budgetTypes.js";
import { HomeBudgetAssignment } from "./homeBudgetAssignment.js";
import { determineRefusal } from "./refusal.js";
import { ReservationTracker } from "./reservationTracker.js";
import { TransferRequester } from "./transferRequester.js";
import { TransferRequestHandler } from "./transferRequestHandler.js";

/** Interval of the review of accounts that nothing waits for. */
const ReviewIntervalMs = 1_000;

/** Store calls without a waiting request: a burst at the start, then a steady rate. */
const ProactiveBurst = 128;
const ProactiveCallsPerS = 1;

/** Wait before a budget without an object is read again although no request needs it: per home budget, and at least. */
const AbsentReadMsPerHome = 10_000;
const ShortestAbsentReadMs = 60_000;

/** Time that a draw gets before peers are asked, and that home hosts get before another host draws. */
const FirstChoiceMs = 100;

/** Wait for the host record's acknowledgement before peers are asked for tokens that they have declared. */
const RecordChoiceMs = 200;

/** Controller of budgets and grants. */
export class BudgetController extends Controller {
    override readonly name = "budget";
    override readonly handledEventTypes: ReadonlySet<RouterEvent["type"]> = new Set<RouterEvent["type"]>([
        "tick",
        "reservationRequested",
        "reservationSettled",
        "reservationReleased",
        "billReversed",
        "peerRequested",
        "peerCallDone",
        "storeGetDone",
        "storePutDone",
    ]);
    readonly #settings: BudgetSettings;
    readonly #accounts: AccountRegistry;
    readonly #active = new Set<BudgetAccount>();
    readonly #ledger: ReservationTracker;
    readonly #transfers: TransferRequestHandler;
    readonly #requester: TransferRequester;
    readonly #placement: HomeBudgetAssignment;
    #hostKey: string;
    #lastTransferId = 0;
    #wasEstablished = false;
    #reviewedMs = Number.NEGATIVE_INFINITY;
    #proactiveCalls = ProactiveBurst;

    constructor(context: ControllerContext, settings: BudgetSettings, policy: SharePolicy = DemandPolicy) {
        super(context);
        this.#settings = settings;
        this.#accounts = new AccountRegistry(context, settings, policy);
        this.#hostKey = context.board.journal.hostKey;
        this.#ledger = new ReservationTracker(context.board.budget, context.counters);
        this.#transfers = new TransferRequestHandler(
            context,
            settings.rememberedTransferCount,
            account => this.#active.add(account),
        );
        this.#placement = new HomeBudgetAssignment(context.board, settings);
        this.#requester = new TransferRequester(settings, {
            callPeer: (callId, address, request) =>
                context.emit({
                    type: "peerCall",
                    owner: "budget",
                    callId,
                    address,
                    request,
                    timeoutMs: settings.transferTimeoutMs,
                }),
            createTransferId: () => `${this.#hostKey}#${++this.#lastTransferId}`,
            creditTokens: (budget, tokens) => {
                const account = this.#accounts.getOrCreate(budget);
                account.entry.receivedTokens += tokens;
                this.#active.add(account);
            },
        }, context.counters);
    }

    override handle(event: RouterEvent): void {
        this.#followIncarnation();
        match(event)
            .with({ type: "tick" }, () => this.#tick())
            .with(
                { type: "reservationRequested" },
                request => this.#reserve(request.reservationId, request.budget, request.costTokens, request.waitMs),
            )
            .with(
                { type: "reservationSettled" },
                settled => this.#activate(this.#ledger.settle(settled.reservationId, settled.bill)),
            )
            .with(
                { type: "reservationReleased" },
                released => this.#activate(this.#ledger.release(released.reservationId)),
            )
            .with({ type: "billReversed" }, ({ bill }) => {
                const account = this.#accounts.getOrCreate(bill.budget);
                this.#ledger.reverseBill(bill, account.entry, this.#hostKey);
                this.#active.add(account);
            })
            .with({ type: "peerRequested" }, requested => this.#transfers.handle(requested, this.#accounts))
            .with({ type: "peerCallDone", owner: "budget" }, done => {
                this.#requester.handleCallResult(done.callId, done.outcome, this.#hostKey, this.#nowMs);
            })
            .with({ type: "storeGetDone", owner: "budget" }, done => {
                this.#storeAccount(done.callId)?.writer.handleReadResult(done.outcome, this.#nowMs);
            })
            .with({ type: "storePutDone", owner: "budget" }, done => {
                const { sentSequence } = this.context.board.journal;
                this.#storeAccount(done.callId)?.writer.handleWriteResult(done.outcome, sentSequence, this.#nowMs);
            })
            .otherwise(() => undefined);
        this.#pumpActive();
    }

    override dumpState(): unknown {
        return {
            waiting: Object.fromEntries(
                this.#accounts.values().map(account => [account.name, account.waiting.length]),
            ),
            openTransfers: this.#requester.openTransferCount,
            homes: this.#placement.homeBudgets.size,
        };
    }

    get #nowMs(): number {
        return this.context.clock.monotonicMs();
    }

    /** After a seal, the old entries only settle; waiting requests move to the new incarnation. */
    #followIncarnation(): void {
        const { board } = this.context;
        this.#ledger.removeTakenBills(board.journal.takenBillOrdinal);
        for (const hostKey of board.journal.settledIncarnations.keys()) {
            board.budget.sealedEntries.delete(hostKey);
            board.budget.openReservations.delete(hostKey);
        }
        if (board.journal.hostKey === this.#hostKey) {
            return;
        }
        const old = this.#accounts.values();
        board.budget.sealedEntries.set(this.#hostKey, new Map(old.map(account => [account.name, account.entry])));
        this.#accounts.clear();
        this.#active.clear();
        this.#hostKey = board.journal.hostKey;
        this.#requester.cancelAll(this.#nowMs);
        for (const account of old) {
            this.#accounts.getOrCreate(account.name).waiting.push(...account.waiting);
        }
    }

    #tick(): void {
        const nowMs = this.#nowMs;
        this.#requester.tick(this.context.board.membership, nowMs);
        const { established } = this.context.board.journal;
        if (nowMs - this.#reviewedMs < ReviewIntervalMs && established === this.#wasEstablished) {
            return;
        }
        this.#wasEstablished = established;
        const elapsedMs = Math.min(nowMs - this.#reviewedMs, ProactiveBurst * 1_000);
        this.#proactiveCalls = Math.min(ProactiveBurst, this.#proactiveCalls + elapsedMs * ProactiveCallsPerS / 1_000);
        this.#reviewedMs = nowMs;
        this.#placement.update();
        for (const budget of this.#placement.homeBudgets) {
            this.#accounts.getOrCreate(budget);
        }
        for (const account of this.#accounts.values()) {
            this.#active.add(account);
        }
    }

    #reserve(reservationId: string, budget: string, costTokens: number, waitMs: number): void {
        const nowMs = this.#nowMs;
        const { phase } = this.context.board.lifecycle;
        if (this.#ledger.isOpen(reservationId)) {
            this.context.counters.add("budget.reservation.repeated");
            return;
        }
        if (phase === "closing" || phase === "closed" || this.context.board.journal.closing) {
            this.#decide(reservationId, { status: "refused", code: "ShuttingDown", retryAfterMs: 0 });
            return;
        }
        const account = this.#accounts.getOrCreate(budget);
        account.recordDemand(costTokens, nowMs);
        if (account.wasRecentlyExhausted(costTokens, nowMs)) {
            this.#decide(reservationId, { status: "refused", code: "BudgetExhausted", retryAfterMs: undefined });
            return;
        }
        if (account.waiting.length >= this.#settings.maxWaitingCount) {
            const { retryAfterMs } = this.#settings;
            this.#decide(reservationId, { status: "refused", code: "BudgetUnavailable", retryAfterMs });
            return;
        }
        const deadlineAtMs = nowMs + Math.min(waitMs, this.#settings.maxWaitMs);
        account.waiting.push({ reservationId, costTokens, enqueuedAtMs: nowMs, deadlineAtMs });
        this.#active.add(account);
    }

    #pumpActive(): void {
        let flushWanted = false;
        let unreturnableCount = 0;
        for (const account of this.#active) {
            this.#pump(account);
            const limitTokens = this.#highestLimit(account.name);
            const busy = account.waiting.length > 0 || account.hasPeerNeed(this.#nowMs);
            const isHigher = account.entry.wantedLimitTokens > limitTokens;
            flushWanted ||= account.writer.needsSealCheck || ((busy || limitTokens === 0) && isHigher);
            unreturnableCount += account.hasUnreturnableTokens ? 1 : 0;
            if (
                !busy && !isHigher && !account.hasUnreturnableTokens && !account.writer.hasPendingWrite &&
                !account.writer.needsSealCheck
            ) {
                this.#active.delete(account);
            }
        }
        this.context.board.budget.flushWanted = flushWanted;
        this.context.board.budget.unreturnableCount = unreturnableCount;
    }

    #pump(account: BudgetAccount): void {
        const { board } = this.context;
        const host = this.#hostView(account.name);
        this.#grantWaiting(account, host);
        account.updateEntry(host);
        if (board.journal.closing) {
            return;
        }
        const spent = board.journal.established && this.#obtain(account, host);
        this.#refuseWaiting(account, host, spent);
        if (account.waiting.length === 0) {
            this.#requester.forgetPeerReplies(account.name);
        }
    }

    #grantWaiting(account: BudgetAccount, host: HostView): void {
        if (this.context.board.journal.closing) {
            return;
        }
        // A smaller request may pass a larger one: the larger one's wait is bounded by its deadline.
        let index = 0;
        while (index < account.waiting.length) {
            const item = account.waiting[index]!;
            if (item.costTokens <= account.availableTokens(host.limitTokens)) {
                account.waiting.splice(index, 1);
                this.#ledger.open(item.reservationId, account.name, account.entry, item.costTokens, this.#hostKey);
                this.context.counters.add("budget.reservation.granted");
                this.#decide(item.reservationId, { status: "granted" });
            }
            else {
                index++;
            }
        }
    }

    /**
     * Draws, returns and asks peers.
     * @returns Whether the waiting requests need more than anybody has, now or later.
     */
    #obtain(account: BudgetAccount, host: HostView): boolean {
        const { nowMs } = host;
        const { writer } = account;
        const first = account.waiting[0];
        const waitedMs = first === undefined ? 0 : nowMs - first.enqueuedAtMs;
        const mayDraw = host.isHome || waitedMs >= FirstChoiceMs;
        if (first !== undefined || this.#proactiveCalls >= 1) {
            const before = writer.hasPendingWrite;
            writer.writeIfNeeded(
                object => account.planShare(object, host, mayDraw),
                this.context.board.journal,
                nowMs,
            );
            const reads = writer.latestObject === undefined &&
                (first !== undefined || this.#mayReadAhead(account, host));
            // A return that has just started lowers G, and with it the limit that the next record may declare.
            account.updateEntry(host);
            this.#proactiveCalls -= first === undefined && ((writer.hasPendingWrite && !before) || reads) ? 1 : 0;
            if (reads) {
                writer.refresh(Number.NEGATIVE_INFINITY, nowMs);
            }
        }
        const missing = account.computeMissingTokens();
        if (first === undefined) {
            return false;
        }
        if (missing === 0) {
            this.#askForUndeclared(account, host, waitedMs);
            return false;
        }
        if (!writer.hasPendingWrite) {
            writer.refresh(first.enqueuedAtMs, nowMs);
        }
        const fresh = writer.latestObject !== undefined && writer.latestObject.readMs >= first.enqueuedAtMs;
        const free = writer.latestObject === undefined ? 0 : unallocatedTokens(writer.latestObject.object);
        const shortage = fresh && free < missing;
        if (host.isHome && !shortage && !writer.lastCallFailed && waitedMs < FirstChoiceMs) {
            return false;
        }
        const emptyPeers = this.#askPeers(account, missing, nowMs);
        return emptyPeers && shortage && !writer.hasPendingWrite && !writer.lastCallFailed &&
            account.entry.reservedTokens === 0;
    }

    /** Budgets that were never paid in have no object. Reading them again and again was most of an idle host's store calls. */
    #mayReadAhead(account: BudgetAccount, host: HostView): boolean {
        const { lastAbsentAtMs } = account.writer;
        const waitMs = Math.max(ShortestAbsentReadMs, this.#placement.homeBudgets.size * AbsentReadMsPerHome);
        return account.needsDraw(host) && (lastAbsentAtMs === undefined || host.nowMs - lastAbsentAtMs >= waitMs);
    }

    /** The own share suffices, but the record that declares it is not acknowledged: peers may have declared tokens. */
    #askForUndeclared(account: BudgetAccount, host: HostView, waitedMs: number): void {
        const undeclaredTokens = account.waitingTokens - account.availableTokens(host.limitTokens);
        if (waitedMs >= RecordChoiceMs && undeclaredTokens > 0) {
            this.#askPeers(account, undeclaredTokens, host.nowMs);
        }
    }

    #askPeers(account: BudgetAccount, wantedTokens: number, nowMs: number): boolean {
        const shares = Object.entries(account.writer.latestObject?.object.shares ?? {});
        return this.#requester.requestTokens(
            account.name,
            this.#hostKey,
            wantedTokens,
            new Map(shares.map(([hostKey, share]) => [hostKey, share.grantedTokens])),
            hostId => this.#placement.isHostHomeOf(account.name, hostId),
            this.context.board.membership,
            nowMs,
        );
    }

    #refuseWaiting(account: BudgetAccount, host: HostView, isExhausted: boolean): void {
        for (const item of [...account.waiting]) {
            const outcome = determineRefusal(account, item, {
                nowMs: host.nowMs,
                isExhausted,
                retryAfterMs: this.#settings.retryAfterMs,
            });
            if (outcome === undefined) {
                continue;
            }
            if (outcome.retryAfterMs === undefined && outcome.code === "BudgetExhausted") {
                account.recordExhaustion(item.costTokens, host.nowMs);
            }
            account.waiting.splice(account.waiting.indexOf(item), 1);
            this.#decide(item.reservationId, outcome);
        }
    }

    #storeAccount(callId: string): BudgetAccount | undefined {
        return this.#activate(this.#accounts.completeCall(callId)?.name);
    }

    #activate(budget: string | undefined): BudgetAccount | undefined {
        const account = budget === undefined ? undefined : this.#accounts.find(budget);
        if (account !== undefined) {
            this.#active.add(account);
        }
        return account;
    }

    #hostView(budget: string): HostView {
        const { limits } = this.context.board.journal;
        return {
            nowMs: this.#nowMs,
            liveHostCount: this.#placement.liveHostCount,
            isHome: this.#placement.isHomeOf(budget),
            limitTokens: limits.get(budget) ?? 0,
            highestLimitTokens: this.#highestLimit(budget),
        };
    }

    #highestLimit(budget: string): number {
        return this.context.board.journal.highestLimits.get(budget) ?? 0;
    }

    #decide(reservationId: string, outcome: ReservationOutcome): void {
        if (outcome.status === "refused") {
            this.context.counters.add(`budget.reservation.refused.${outcome.code}`);
        }
        this.context.emit({
            type: "notify",
            notification: { type: "reservationDecided", reservationId, outcome },
        });
    }
}
