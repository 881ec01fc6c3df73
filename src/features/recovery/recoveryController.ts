/** Seals the records of dead hosts and folds the shares of closed and sealed incarnations into the budgets. */
import { rendezvousOrder } from "../../base/hashing.js";
import { Controller, type ControllerContext } from "../../kernel/controller.js";
import type { RouterEvent } from "../../kernel/events.js";
import type { StoredObject } from "../../platform/platformStore.js";
import { budgetKey, BudgetObjectSchema, BudgetPrefix, grantBudgetName } from "../budget/budgetTypes.js";
import { ClaimPrefix, ClaimSchema } from "../idempotency/idempotencyTypes.js";
import { hostKeyOf, type HostRecord, hostRecordKey, splitHostKey } from "../journal/journalTypes.js";
import { liveHostIds } from "../membership/membershipBoard.js";
import { FoldQueue } from "./foldQueue.js";
import { foldShareByExactConsumption, foldShareByRecord } from "./foldShare.js";
import { HostRecordMonitor } from "./hostRecordMonitor.js";
import type { RecoverySettings } from "./recoverySettings.js";

/** Milliseconds between reviews of the suspects. Choosing the sealers after a zone failed hashes every pair of hosts. */
const ReviewIntervalMs = 1_000;

/** The purpose of a store call, by which its result is handled. */
type CallTarget =
    | { readonly kind: "fold"; readonly budget: string; }
    | { readonly kind: "watch"; readonly monitor: HostRecordMonitor; readonly sealed: HostRecord | undefined; };

/** An incarnation that is watched until its record is closed or sealed, and its shares are folded. */
interface WatchedHost {
    readonly monitor: HostRecordMonitor;
    /** Whether this host searches for all shares of the dead host; otherwise it folds only the shares that it has seen. */
    readonly isSealer: boolean;
    /** Monotonic time of the next search in milliseconds; infinite after the second search. */
    nextSearchMs: number;
    /** Monotonic time in milliseconds at which the incarnation was last suspected, or a share or claim of it seen. */
    lastSeenMs: number;
}

/** Watches suspected incarnations, seals them, and folds their shares; also returns the shares of this host at shutdown. */
export class RecoveryController extends Controller {
    override readonly name = "recovery";
    override readonly handledEventTypes: ReadonlySet<RouterEvent["type"]> = new Set<RouterEvent["type"]>([
        "tick",
        "storeGetDone",
        "storePutDone",
    ]);
    readonly #settings: RecoverySettings;
    readonly #watchedHosts = new Map<string, WatchedHost>();
    readonly #calls = new Map<string, CallTarget>();
    readonly #foldQueue: FoldQueue;
    /** Settled incarnations of this process whose folds are queued or done, by host key. */
    readonly #foldedIncarnations = new Set<string>();
    /** Host keys of all incarnations of this process. */
    readonly #ownHostKeys = new Set<string>();
    /** Newest known incarnation by host id. */
    readonly #newestIncarnations = new Map<string, string>();
    #lastReviewMs = Number.NEGATIVE_INFINITY;
    #lastCallId = 0;
    #ownFoldsQueued = false;

    constructor(context: ControllerContext, settings: RecoverySettings) {
        super(context);
        this.#settings = settings;
        this.#foldQueue = new FoldQueue(
            {
                readBudget: budget =>
                    this.context.emit({
                        type: "storeGet",
                        ...this.#registerCall({ kind: "fold", budget }),
                        key: budgetKey(budget),
                    }),
                writeBudget: (budget, value, expectedVersion) =>
                    this.context.emit({
                        type: "storePut",
                        ...this.#registerCall({ kind: "fold", budget }),
                        key: budgetKey(budget),
                        value,
                        expectedVersion,
                    }),
            },
            context.counters,
            settings.retryMs,
        );
    }

    override handle(event: RouterEvent): void {
        this.#ownHostKeys.add(this.context.board.journal.hostKey);
        if (event.type === "storeGetDone") {
            this.#watchShareHolders(event.key, event.outcome.status === "found" ? event.outcome.object : undefined);
        }
        if (event.type === "storePutDone") {
            const current = event.outcome.status === "conflict" ? event.outcome.current : undefined;
            this.#watchShareHolders(event.key, current);
            this.#watchClaimHolder(event.key, current);
        }
        if ((event.type === "storeGetDone" || event.type === "storePutDone") && event.owner === "recovery") {
            this.#handleCallResult(event);
        }
        if (event.type === "tick") {
            this.#tick();
        }
    }

    override dumpState(): unknown {
        return { watched: [...this.#watchedHosts.keys()], folds: this.#foldQueue.size };
    }

    get #nowMs(): number {
        return this.context.clock.monotonicMs();
    }

    #tick(): void {
        const nowMs = this.#nowMs;
        if (nowMs - this.#lastReviewMs >= ReviewIntervalMs) {
            this.#lastReviewMs = nowMs;
            for (const hostKey of this.context.board.membership.suspects) {
                this.#watch(hostKey, undefined);
            }
            this.#watchReplacedIncarnations();
        }
        for (const [hostKey, watched] of this.#watchedHosts) {
            this.#processWatchedHost(hostKey, watched, nowMs);
        }
        this.#foldSettledIncarnations();
        this.#foldOwnShares();
        this.#foldQueue.startDueFolds(this.#settings.foldConcurrency, nowMs);
    }

    /** Watches the old incarnations of hosts that restarted. Peers do not suspect them, since the host is live again. */
    #watchReplacedIncarnations(): void {
        for (const { hostId, incarnation } of this.context.board.membership.members.values()) {
            const knownIncarnation = this.#newestIncarnations.get(hostId);
            if (knownIncarnation !== incarnation) {
                this.#newestIncarnations.set(hostId, incarnation);
                if (knownIncarnation !== undefined && knownIncarnation !== "") {
                    this.#watch(hostKeyOf(hostId, knownIncarnation), undefined);
                }
            }
        }
    }

    /** Watches the incarnations with a share in a budget object that are not known to be alive. */
    #watchShareHolders(key: string, stored: StoredObject | undefined): void {
        const parsed = key.startsWith(BudgetPrefix) ? BudgetObjectSchema.safeParse(stored?.value) : undefined;
        if (parsed?.success !== true) {
            return;
        }
        const budget = key.slice(BudgetPrefix.length);
        for (const hostKey of Object.keys(parsed.data.shares)) {
            if (!this.#isAlive(hostKey)) {
                this.#watch(hostKey, budget);
            }
        }
    }

    /**
     * Watches the incarnation that holds a claim if it is not known to be alive. It may have died before any peer learned
     * of it. Until its record is sealed, repeated requests with the key are refused as running.
     */
    #watchClaimHolder(key: string, stored: StoredObject | undefined): void {
        const parsed = key.startsWith(ClaimPrefix) ? ClaimSchema.safeParse(stored?.value) : undefined;
        if (parsed?.success === true && parsed.data.state === "claimed" && !this.#isAlive(parsed.data.hostKey)) {
            this.#watch(parsed.data.hostKey, undefined, true);
        }
    }

    #isAlive(hostKey: string): boolean {
        const { membership } = this.context.board;
        const member = membership.members.get(splitHostKey(hostKey).hostId);
        const isCurrent = member !== undefined && hostKeyOf(member.hostId, member.incarnation) === hostKey;
        const isRunning = member?.state === "live" || member?.state === "leaving";
        return this.#ownHostKeys.has(hostKey) || (isCurrent && isRunning && !membership.suspects.has(hostKey));
    }

    #watch(hostKey: string, seenBudget: string | undefined, holdsClaim = false): void {
        if (this.#ownHostKeys.has(hostKey)) {
            return;
        }
        const nowMs = this.#nowMs;
        let watched = this.#watchedHosts.get(hostKey);
        if (watched === undefined) {
            const { board } = this.context;
            const order = rendezvousOrder(hostKey, liveHostIds(board.membership, board.journal.hostId));
            const rank = order.indexOf(board.journal.hostId);
            const isSealer = rank >= 0 && rank < this.#settings.sealerCount;
            if (!isSealer && seenBudget === undefined && !holdsClaim) {
                return;
            }
            const delayMs = Math.min(rank < 0 ? 0 : rank, this.#settings.sealerCount) * this.#settings.sealerDelayMs;
            const monitor = new HostRecordMonitor(hostKey, {
                readRecord: () =>
                    this.context.emit({
                        type: "storeGet",
                        ...this.#registerCall({ kind: "watch", monitor, sealed: undefined }),
                        key: hostRecordKey(hostKey),
                    }),
                writeSealedRecord: (sealed, expectedVersion) =>
                    this.context.emit({
                        type: "storePut",
                        ...this.#registerCall({ kind: "watch", monitor, sealed }),
                        key: hostRecordKey(hostKey),
                        value: sealed,
                        expectedVersion,
                    }),
                incrementCounter: name => this.context.counters.add(name),
            }, { ...this.#settings, firstReadMs: nowMs + delayMs });
            watched = { monitor, isSealer, nextSearchMs: Number.NEGATIVE_INFINITY, lastSeenMs: nowMs };
            this.#watchedHosts.set(hostKey, watched);
            this.context.counters.add("recovery.watched");
        }
        watched.lastSeenMs = nowMs;
        if (seenBudget !== undefined) {
            watched.monitor.budgetsWithShare.add(seenBudget);
        }
    }

    #processWatchedHost(hostKey: string, watched: WatchedHost, nowMs: number): void {
        const { monitor } = watched;
        const record = monitor.endedRecord;
        if (record === undefined) {
            if (this.#isAlive(hostKey)) {
                this.#watchedHosts.delete(hostKey);
            }
            else {
                monitor.readIfDue(nowMs);
            }
            return;
        }
        const budgets = new Set(monitor.budgetsWithShare);
        monitor.budgetsWithShare.clear();
        if (watched.isSealer && nowMs >= watched.nextSearchMs) {
            // The first search may have read a stale object, or have preceded a draw that was applied late.
            const isFirst = watched.nextSearchMs === Number.NEGATIVE_INFINITY;
            watched.nextSearchMs = isFirst ? nowMs + this.#settings.searchAgainMs : Number.POSITIVE_INFINITY;
            for (const budget of [...Object.keys(record.entries), ...this.#listSearchedBudgets()]) {
                budgets.add(budget);
            }
        }
        for (const budget of budgets) {
            const entry = record.entries[budget];
            this.#foldQueue.add(
                `${hostKey} ${budget}`,
                budget,
                object => foldShareByRecord(object, hostKey, entry, record.state === "sealed"),
                false,
            );
        }
        if (nowMs - watched.lastSeenMs >= this.#settings.rememberedMs) {
            this.#watchedHosts.delete(hostKey);
        }
    }

    #listSearchedBudgets(): string[] {
        const { budgets, grants } = this.context.board.config.resources;
        const isSmall = budgets.size + grants.size <= this.#settings.searchedBudgetCount;
        return isSmall ? [...budgets.keys(), ...[...grants.keys()].map(grantBudgetName)] : [];
    }

    #foldSettledIncarnations(): void {
        for (const [hostKey, settled] of this.context.board.journal.settledIncarnations) {
            if (this.#foldedIncarnations.has(hostKey)) {
                continue;
            }
            this.#foldedIncarnations.add(hostKey);
            for (const [budget, netTokens] of settled.netTokens) {
                const entry = settled.sealedRecord.entries[budget];
                this.#foldQueue.add(
                    `${hostKey} ${budget} exact`,
                    budget,
                    object => foldShareByExactConsumption(object, hostKey, entry, netTokens),
                    true,
                );
            }
        }
    }

    /** Returns the shares of this host once its closing record is acknowledged. */
    #foldOwnShares(): void {
        const { board } = this.context;
        if (!board.journal.closed) {
            return;
        }
        const { hostKey } = board.journal;
        if (!this.#ownFoldsQueued) {
            this.#ownFoldsQueued = true;
            for (const [budget, entry] of board.budget.entries) {
                const declared = { ...entry, limitTokens: 0 };
                this.#foldQueue.add(
                    `${hostKey} ${budget} closed`,
                    budget,
                    object => foldShareByRecord(object, hostKey, declared, false),
                    true,
                );
            }
        }
        board.recovery.ownSharesReturned = this.#foldQueue.size === 0;
    }

    #handleCallResult(event: Extract<RouterEvent, { type: "storeGetDone" | "storePutDone"; }>): void {
        const nowMs = this.#nowMs;
        const target = this.#calls.get(event.callId);
        this.#calls.delete(event.callId);
        if (target === undefined) {
            return;
        }
        if (target.kind === "fold") {
            if (event.type === "storeGetDone") {
                this.#foldQueue.handleReadResult(target.budget, event.outcome, nowMs);
            }
            else {
                this.#foldQueue.handleWriteResult(target.budget, event.outcome, nowMs);
            }
            this.#foldQueue.startDueFolds(this.#settings.foldConcurrency, nowMs);
        }
        else if (event.type === "storeGetDone") {
            target.monitor.handleReadResult(event.outcome, nowMs);
        }
        else if (target.sealed !== undefined) {
            target.monitor.handleSealResult(event.outcome, target.sealed, nowMs);
        }
    }

    #registerCall(target: CallTarget): { owner: "recovery"; callId: string; } {
        const callId = `v${++this.#lastCallId}`;
        this.#calls.set(callId, target);
        return { owner: "recovery", callId };
    }
}
