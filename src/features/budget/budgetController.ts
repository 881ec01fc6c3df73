/** Manages the tokens that this host may spend: reservations, shares and transfers. */
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

/** Interval at which all accounts are reviewed, including those without waiting reservations; in milliseconds. */
const ReviewIntervalMs = 1_000;

/** Maximum number of store calls at once that no waiting request needs; available in full at the start of the process. */
const ProactiveCallBurst = 128;
/** Number of further such calls that become available per second. */
const ProactiveCallsPerS = 1;

/** Delay, per home budget, before a budget without an object is read again although no request needs it. */
const AbsentReadMsPerHomeBudget = 10_000;
/** Minimum of that delay, in milliseconds. */
const MinAbsentReadMs = 60_000;

/** Time that a draw gets before peers are asked for tokens, and that home hosts get before another host draws. */
const DrawHeadStartMs = 100;

/** Time that the acknowledgement of the host record gets before peers are asked for tokens that they have declared. */
const RecordHeadStartMs = 200;

/** Controller of budgets and grants: decides reservations, and draws, returns and transfers tokens. */
export class BudgetController extends Controller {
    override readonly name = "budget";
    override readonly handledEventTypes: ReadonlySet<RouterEvent["type"]> = new Set<RouterEvent["type"]>([
        "tick",
        "reservationRequested",
        "reservationSettled",
        "reservationReleased",
        "billReversed",
        "peerRequestReceived",
        "peerCallDone",
        "storeGetDone",
        "storePutDone",
    ]);
    readonly #settings: BudgetSettings;
    readonly #accounts: AccountRegistry;
    readonly #activeAccounts = new Set<BudgetAccount>();
    readonly #reservations: ReservationTracker;
    readonly #transferRequestHandler: TransferRequestHandler;
    readonly #transferRequester: TransferRequester;
    readonly #homeAssignment: HomeBudgetAssignment;
    #hostKey: string;
    #lastTransferId = 0;
    #wasEstablished = false;
    #reviewedAtMs = Number.NEGATIVE_INFINITY;
    #availableProactiveCalls = ProactiveCallBurst;

    constructor(context: ControllerContext, settings: BudgetSettings, policy: SharePolicy = DemandPolicy) {
        super(context);
        this.#settings = settings;
        this.#accounts = new AccountRegistry(context, settings, policy);
        this.#hostKey = context.board.journal.hostKey;
        this.#reservations = new ReservationTracker(context.board.budget, context.counters);
        this.#transferRequestHandler = new TransferRequestHandler(
            context,
            settings.rememberedTransferCount,
            account => this.#activeAccounts.add(account),
        );
        this.#homeAssignment = new HomeBudgetAssignment(context.board, settings);
        this.#transferRequester = new TransferRequester(settings, {
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
                this.#activeAccounts.add(account);
            },
        }, context.counters);
    }

    override handle(event: RouterEvent): void {
        this.#updateIncarnation();
        match(event)
            .with({ type: "tick" }, () => this.#tick())
            .with(
                { type: "reservationRequested" },
                request => this.#reserve(request.reservationId, request.budget, request.costTokens, request.waitMs),
            )
            .with(
                { type: "reservationSettled" },
                settled => this.#activate(this.#reservations.settle(settled.reservationId, settled.bill)),
            )
            .with(
                { type: "reservationReleased" },
                released => this.#activate(this.#reservations.release(released.reservationId)),
            )
            .with({ type: "billReversed" }, ({ bill }) => {
                const account = this.#accounts.getOrCreate(bill.budget);
                this.#reservations.reverseBill(bill, account.entry, this.#hostKey);
                this.#activeAccounts.add(account);
            })
            .with(
                { type: "peerRequestReceived" },
                requested => this.#transferRequestHandler.handle(requested, this.#accounts),
            )
            .with({ type: "peerCallDone", owner: "budget" }, done => {
                this.#transferRequester.handleCallResult(done.callId, done.outcome, this.#hostKey, this.#nowMs);
            })
            .with({ type: "storeGetDone", owner: "budget" }, done => {
                this.#completeStoreCall(done.callId)?.writer.handleReadResult(done.outcome, this.#nowMs);
            })
            .with({ type: "storePutDone", owner: "budget" }, done => {
                const { sentSequence } = this.context.board.journal;
                this.#completeStoreCall(done.callId)?.writer.handleWriteResult(done.outcome, sentSequence, this.#nowMs);
            })
            .otherwise(() => undefined);
        this.#processActiveAccounts();
    }

    override dumpState(): unknown {
        return {
            waiting: Object.fromEntries(
                this.#accounts.values().map(account => [account.name, account.waiting.length]),
            ),
            openTransfers: this.#transferRequester.openTransferCount,
            homes: this.#homeAssignment.homeBudgets.size,
        };
    }

    get #nowMs(): number {
        return this.context.clock.monotonicMs();
    }

    /**
     * Removes bills and entries that the journal has settled. When the host has a new incarnation, the sealed one only
     * settles its requests, and waiting reservations move to the new one.
     */
    #updateIncarnation(): void {
        const { board } = this.context;
        this.#reservations.removeTakenBills(board.journal.takenBillOrdinal);
        for (const hostKey of board.journal.settledIncarnations.keys()) {
            board.budget.sealedEntries.delete(hostKey);
            board.budget.openReservations.delete(hostKey);
        }
        if (board.journal.hostKey === this.#hostKey) {
            return;
        }
        const sealedAccounts = this.#accounts.values();
        board.budget.sealedEntries.set(
            this.#hostKey,
            new Map(sealedAccounts.map(account => [account.name, account.entry])),
        );
        this.#accounts.clear();
        this.#activeAccounts.clear();
        this.#hostKey = board.journal.hostKey;
        this.#transferRequester.cancelAll(this.#nowMs);
        for (const account of sealedAccounts) {
            this.#accounts.getOrCreate(account.name).waiting.push(...account.waiting);
        }
    }

    #tick(): void {
        const nowMs = this.#nowMs;
        this.#transferRequester.tick(this.context.board.membership, nowMs);
        const { established } = this.context.board.journal;
        if (nowMs - this.#reviewedAtMs < ReviewIntervalMs && established === this.#wasEstablished) {
            return;
        }
        this.#wasEstablished = established;
        const elapsedMs = Math.min(nowMs - this.#reviewedAtMs, ProactiveCallBurst * 1_000);
        this.#availableProactiveCalls = Math.min(
            ProactiveCallBurst,
            this.#availableProactiveCalls + elapsedMs * ProactiveCallsPerS / 1_000,
        );
        this.#reviewedAtMs = nowMs;
        this.#homeAssignment.update();
        for (const budget of this.#homeAssignment.homeBudgets) {
            this.#accounts.getOrCreate(budget);
        }
        for (const account of this.#accounts.values()) {
            this.#activeAccounts.add(account);
        }
    }

    #reserve(reservationId: string, budget: string, costTokens: number, waitMs: number): void {
        const nowMs = this.#nowMs;
        const { phase } = this.context.board.lifecycle;
        if (this.#reservations.isOpen(reservationId)) {
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
        this.#activeAccounts.add(account);
    }

    #processActiveAccounts(): void {
        let flushWanted = false;
        let unreturnableCount = 0;
        for (const account of this.#activeAccounts) {
            this.#processAccount(account);
            const limitTokens = this.#highestLimit(account.name);
            const isBusy = account.waiting.length > 0 || account.hasPeerNeed(this.#nowMs);
            const isHigher = account.entry.wantedLimitTokens > limitTokens;
            flushWanted ||= account.writer.needsSealCheck || ((isBusy || limitTokens === 0) && isHigher);
            unreturnableCount += account.hasUnreturnableTokens ? 1 : 0;
            if (
                !isBusy && !isHigher && !account.hasUnreturnableTokens && !account.writer.hasPendingWrite &&
                !account.writer.needsSealCheck
            ) {
                this.#activeAccounts.delete(account);
            }
        }
        this.context.board.budget.flushWanted = flushWanted;
        this.context.board.budget.unreturnableCount = unreturnableCount;
    }

    #processAccount(account: BudgetAccount): void {
        const { board } = this.context;
        const host = this.#hostView(account.name);
        this.#grantWaiting(account, host);
        account.updateEntry(host);
        if (board.journal.closing) {
            return;
        }
        const isExhausted = board.journal.established && this.#obtainTokens(account, host);
        this.#refuseWaiting(account, host, isExhausted);
        if (account.waiting.length === 0) {
            this.#transferRequester.forgetPeerReplies(account.name);
        }
    }

    #grantWaiting(account: BudgetAccount, host: HostView): void {
        if (this.context.board.journal.closing) {
            return;
        }
        // A smaller request may be granted before a larger one; the wait of the larger one is bounded by its deadline.
        let index = 0;
        while (index < account.waiting.length) {
            const reservation = account.waiting[index]!;
            if (reservation.costTokens <= account.availableTokens(host.limitTokens)) {
                account.waiting.splice(index, 1);
                this.#reservations.open(
                    reservation.reservationId,
                    account.name,
                    account.entry,
                    reservation.costTokens,
                    this.#hostKey,
                );
                this.context.counters.add("budget.reservation.granted");
                this.#decide(reservation.reservationId, { status: "granted" });
            }
            else {
                index++;
            }
        }
    }

    /**
     * Draws or returns tokens and requests tokens from peers.
     * @returns Whether the waiting requests need more tokens than any host has or will have.
     */
    #obtainTokens(account: BudgetAccount, host: HostView): boolean {
        const { nowMs } = host;
        const { writer } = account;
        const firstWaiting = account.waiting[0];
        const waitedMs = firstWaiting === undefined ? 0 : nowMs - firstWaiting.enqueuedAtMs;
        const mayDraw = host.isHome || waitedMs >= DrawHeadStartMs;
        if (firstWaiting !== undefined || this.#availableProactiveCalls >= 1) {
            const hadPendingWrite = writer.hasPendingWrite;
            writer.writeIfNeeded(
                object => account.planShare(object, host, mayDraw),
                this.context.board.journal,
                nowMs,
            );
            const shouldRead = writer.latestObject === undefined &&
                (firstWaiting !== undefined || this.#mayReadAhead(account, host));
            // A return that was just started lowers G and thus the limit that the next record may declare.
            account.updateEntry(host);
            this.#availableProactiveCalls -=
                firstWaiting === undefined && ((writer.hasPendingWrite && !hadPendingWrite) || shouldRead) ? 1 : 0;
            if (shouldRead) {
                writer.refresh(Number.NEGATIVE_INFINITY, nowMs);
            }
        }
        const missingTokens = account.computeMissingTokens();
        if (firstWaiting === undefined) {
            return false;
        }
        if (missingTokens === 0) {
            this.#requestUndeclaredTokens(account, host, waitedMs);
            return false;
        }
        if (!writer.hasPendingWrite) {
            writer.refresh(firstWaiting.enqueuedAtMs, nowMs);
        }
        const isFresh = writer.latestObject !== undefined && writer.latestObject.readAtMs >= firstWaiting.enqueuedAtMs;
        const unallocated = writer.latestObject === undefined ? 0 : unallocatedTokens(writer.latestObject.object);
        const hasShortage = isFresh && unallocated < missingTokens;
        if (host.isHome && !hasShortage && !writer.lastCallFailed && waitedMs < DrawHeadStartMs) {
            return false;
        }
        const peersHaveNoTokens = this.#requestFromPeers(account, missingTokens, nowMs);
        return peersHaveNoTokens && hasShortage && !writer.hasPendingWrite && !writer.lastCallFailed &&
            account.entry.reservedTokens === 0;
    }

    /**
     * Decides whether to read a budget without a waiting request. Budgets without a top-up have no object; reading them
     * repeatedly caused most store calls of an idle host.
     */
    #mayReadAhead(account: BudgetAccount, host: HostView): boolean {
        const { lastAbsentAtMs } = account.writer;
        const waitMs = Math.max(MinAbsentReadMs, this.#homeAssignment.homeBudgets.size * AbsentReadMsPerHomeBudget);
        return account.needsDraw(host) && (lastAbsentAtMs === undefined || host.nowMs - lastAbsentAtMs >= waitMs);
    }

    /** Asks peers for declared tokens when this host's share suffices but the record that declares it is not acknowledged yet. */
    #requestUndeclaredTokens(account: BudgetAccount, host: HostView, waitedMs: number): void {
        const undeclaredTokens = account.waitingTokens - account.availableTokens(host.limitTokens);
        if (waitedMs >= RecordHeadStartMs && undeclaredTokens > 0) {
            this.#requestFromPeers(account, undeclaredTokens, host.nowMs);
        }
    }

    /** @returns Whether every peer has replied that it has no tokens now and will have none later. */
    #requestFromPeers(account: BudgetAccount, requestedTokens: number, nowMs: number): boolean {
        const shares = Object.entries(account.writer.latestObject?.object.shares ?? {});
        return this.#transferRequester.requestTokens(
            account.name,
            this.#hostKey,
            requestedTokens,
            new Map(shares.map(([hostKey, share]) => [hostKey, share.grantedTokens])),
            hostId => this.#homeAssignment.isHostHomeOf(account.name, hostId),
            this.context.board.membership,
            nowMs,
        );
    }

    #refuseWaiting(account: BudgetAccount, host: HostView, isExhausted: boolean): void {
        for (const reservation of [...account.waiting]) {
            const outcome = determineRefusal(account, reservation, {
                nowMs: host.nowMs,
                isExhausted,
                retryAfterMs: this.#settings.retryAfterMs,
            });
            if (outcome === undefined) {
                continue;
            }
            if (outcome.retryAfterMs === undefined && outcome.code === "BudgetExhausted") {
                account.recordExhaustion(reservation.costTokens, host.nowMs);
            }
            account.waiting.splice(account.waiting.indexOf(reservation), 1);
            this.#decide(reservation.reservationId, outcome);
        }
    }

    #completeStoreCall(callId: string): BudgetAccount | undefined {
        return this.#activate(this.#accounts.completeCall(callId)?.name);
    }

    #activate(budget: string | undefined): BudgetAccount | undefined {
        const account = budget === undefined ? undefined : this.#accounts.find(budget);
        if (account !== undefined) {
            this.#activeAccounts.add(account);
        }
        return account;
    }

    #hostView(budget: string): HostView {
        const { limits } = this.context.board.journal;
        return {
            nowMs: this.#nowMs,
            liveHostCount: this.#homeAssignment.liveHostCount,
            isHome: this.#homeAssignment.isHomeOf(budget),
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
