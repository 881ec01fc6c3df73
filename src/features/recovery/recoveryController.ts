/** Seals dead hosts and folds closed and sealed incarnations into the budgets. */
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

/** Interval of reviewing the suspects: choosing the sealers of a lost zone hashes every pair of hosts. */
const ReviewIntervalMs = 1_000;

type CallTarget =
    | { readonly kind: "fold"; readonly budget: string; }
    | { readonly kind: "watch"; readonly watch: HostRecordMonitor; readonly sealed: HostRecord | undefined; };

interface Watched {
    readonly watch: HostRecordMonitor;
    /** Whether this host looks for all shares of the dead host, not only for those that it saw. */
    readonly isSealer: boolean;
    /** When it looks for them next; infinite when it has done so twice. */
    nextSearchMs: number;
    lastSeenMs: number;
}

/** Controller of recovery. */
export class RecoveryController extends Controller {
    override readonly name = "recovery";
    override readonly handledEventTypes: ReadonlySet<RouterEvent["type"]> = new Set<RouterEvent["type"]>([
        "tick",
        "storeGetDone",
        "storePutDone",
    ]);
    readonly #settings: RecoverySettings;
    readonly #watched = new Map<string, Watched>();
    readonly #calls = new Map<string, CallTarget>();
    readonly #folds: FoldQueue;
    readonly #settled = new Set<string>();
    readonly #ownKeys = new Set<string>();
    /** Newest known incarnation by host id. */
    readonly #incarnations = new Map<string, string>();
    #reviewedMs = Number.NEGATIVE_INFINITY;
    #lastCallId = 0;
    #ownFoldsQueued = false;

    constructor(context: ControllerContext, settings: RecoverySettings) {
        super(context);
        this.#settings = settings;
        this.#folds = new FoldQueue(
            {
                readBudget: budget =>
                    this.context.emit({
                        type: "storeGet",
                        ...this.#identify({ kind: "fold", budget }),
                        key: budgetKey(budget),
                    }),
                writeBudget: (budget, value, expectedVersion) =>
                    this.context.emit({
                        type: "storePut",
                        ...this.#identify({ kind: "fold", budget }),
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
        this.#ownKeys.add(this.context.board.journal.hostKey);
        if (event.type === "storeGetDone") {
            this.#seeShares(event.key, event.outcome.status === "found" ? event.outcome.object : undefined);
        }
        if (event.type === "storePutDone") {
            const current = event.outcome.status === "conflict" ? event.outcome.current : undefined;
            this.#seeShares(event.key, current);
            this.#seeClaim(event.key, current);
        }
        if ((event.type === "storeGetDone" || event.type === "storePutDone") && event.owner === "recovery") {
            this.#callDone(event);
        }
        if (event.type === "tick") {
            this.#tick();
        }
    }

    override dumpState(): unknown {
        return { watched: [...this.#watched.keys()], folds: this.#folds.size };
    }

    get #nowMs(): number {
        return this.context.clock.monotonicMs();
    }

    #tick(): void {
        const nowMs = this.#nowMs;
        if (nowMs - this.#reviewedMs >= ReviewIntervalMs) {
            this.#reviewedMs = nowMs;
            for (const hostKey of this.context.board.membership.suspects) {
                this.#watch(hostKey, undefined);
            }
            this.#watchReplaced();
        }
        for (const [hostKey, watched] of this.#watched) {
            this.#follow(hostKey, watched, nowMs);
        }
        this.#foldSettledIncarnations();
        this.#foldOwnShares();
        this.#folds.startDueFolds(this.#settings.foldConcurrency, nowMs);
    }

    /** A restarted host leaves its old incarnation behind, which no peer misses. */
    #watchReplaced(): void {
        for (const { hostId, incarnation } of this.context.board.membership.members.values()) {
            const known = this.#incarnations.get(hostId);
            if (known !== incarnation) {
                this.#incarnations.set(hostId, incarnation);
                if (known !== undefined && known !== "") {
                    this.#watch(hostKeyOf(hostId, known), undefined);
                }
            }
        }
    }

    /** Notices shares of incarnations that are not known to be alive. */
    #seeShares(key: string, stored: StoredObject | undefined): void {
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
     * Notices a claim of an incarnation that is not known to be alive. It may have died before any peer heard of it; until
     * its record is sealed, callers are told that the request is running.
     */
    #seeClaim(key: string, stored: StoredObject | undefined): void {
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
        return this.#ownKeys.has(hostKey) || (isCurrent && isRunning && !membership.suspects.has(hostKey));
    }

    #watch(hostKey: string, seenBudget: string | undefined, isHolder = false): void {
        if (this.#ownKeys.has(hostKey)) {
            return;
        }
        const nowMs = this.#nowMs;
        let watched = this.#watched.get(hostKey);
        if (watched === undefined) {
            const { board } = this.context;
            const order = rendezvousOrder(hostKey, liveHostIds(board.membership, board.journal.hostId));
            const rank = order.indexOf(board.journal.hostId);
            const isSealer = rank >= 0 && rank < this.#settings.sealerCount;
            if (!isSealer && seenBudget === undefined && !isHolder) {
                return;
            }
            const delayMs = Math.min(rank < 0 ? 0 : rank, this.#settings.sealerCount) * this.#settings.sealerDelayMs;
            const created = new HostRecordMonitor(hostKey, {
                readRecord: () =>
                    this.context.emit({
                        type: "storeGet",
                        ...this.#identify({ kind: "watch", watch: created, sealed: undefined }),
                        key: hostRecordKey(hostKey),
                    }),
                writeSealedRecord: (sealed, expectedVersion) =>
                    this.context.emit({
                        type: "storePut",
                        ...this.#identify({ kind: "watch", watch: created, sealed }),
                        key: hostRecordKey(hostKey),
                        value: sealed,
                        expectedVersion,
                    }),
                incrementCounter: name => this.context.counters.add(name),
            }, { ...this.#settings, firstReadMs: nowMs + delayMs });
            watched = { watch: created, isSealer, nextSearchMs: Number.NEGATIVE_INFINITY, lastSeenMs: nowMs };
            this.#watched.set(hostKey, watched);
            this.context.counters.add("recovery.watched");
        }
        watched.lastSeenMs = nowMs;
        if (seenBudget !== undefined) {
            watched.watch.budgetsWithShare.add(seenBudget);
        }
    }

    #follow(hostKey: string, watched: Watched, nowMs: number): void {
        const { watch } = watched;
        const record = watch.endedRecord;
        if (record === undefined) {
            if (this.#isAlive(hostKey)) {
                this.#watched.delete(hostKey);
            }
            else {
                watch.readIfDue(nowMs);
            }
            return;
        }
        const budgets = new Set(watch.budgetsWithShare);
        watch.budgetsWithShare.clear();
        if (watched.isSealer && nowMs >= watched.nextSearchMs) {
            // The first search may have read a stale object, or come before a draw that was applied late.
            const isFirst = watched.nextSearchMs === Number.NEGATIVE_INFINITY;
            watched.nextSearchMs = isFirst ? nowMs + this.#settings.searchAgainMs : Number.POSITIVE_INFINITY;
            for (const budget of [...Object.keys(record.entries), ...this.#searchedBudgets()]) {
                budgets.add(budget);
            }
        }
        for (const budget of budgets) {
            const entry = record.entries[budget];
            this.#folds.add(
                `${hostKey} ${budget}`,
                budget,
                object => foldShareByRecord(object, hostKey, entry, record.state === "sealed"),
                false,
            );
        }
        if (nowMs - watched.lastSeenMs >= this.#settings.rememberedMs) {
            this.#watched.delete(hostKey);
        }
    }

    #searchedBudgets(): string[] {
        const { budgets, grants } = this.context.board.config.resources;
        const isSmall = budgets.size + grants.size <= this.#settings.searchedBudgetCount;
        return isSmall ? [...budgets.keys(), ...[...grants.keys()].map(grantBudgetName)] : [];
    }

    #foldSettledIncarnations(): void {
        for (const [hostKey, settled] of this.context.board.journal.settledIncarnations) {
            if (this.#settled.has(hostKey)) {
                continue;
            }
            this.#settled.add(hostKey);
            for (const [budget, netTokens] of settled.netTokens) {
                const entry = settled.sealedRecord.entries[budget];
                this.#folds.add(
                    `${hostKey} ${budget} exact`,
                    budget,
                    object => foldShareByExactConsumption(object, hostKey, entry, netTokens),
                    true,
                );
            }
        }
    }

    /** After the closing record, this host returns its own shares. */
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
                this.#folds.add(
                    `${hostKey} ${budget} closed`,
                    budget,
                    object => foldShareByRecord(object, hostKey, declared, false),
                    true,
                );
            }
        }
        board.recovery.ownSharesReturned = this.#folds.size === 0;
    }

    #callDone(event: Extract<RouterEvent, { type: "storeGetDone" | "storePutDone"; }>): void {
        const nowMs = this.#nowMs;
        const target = this.#calls.get(event.callId);
        this.#calls.delete(event.callId);
        if (target === undefined) {
            return;
        }
        if (target.kind === "fold") {
            if (event.type === "storeGetDone") {
                this.#folds.handleReadResult(target.budget, event.outcome, nowMs);
            }
            else {
                this.#folds.handleWriteResult(target.budget, event.outcome, nowMs);
            }
            this.#folds.startDueFolds(this.#settings.foldConcurrency, nowMs);
        }
        else if (event.type === "storeGetDone") {
            target.watch.handleReadResult(event.outcome, nowMs);
        }
        else if (target.sealed !== undefined) {
            target.watch.handleSealResult(event.outcome, target.sealed, nowMs);
        }
    }

    #identify(target: CallTarget): { owner: "recovery"; callId: string; } {
        const callId = `v${++this.#lastCallId}`;
        this.#calls.set(callId, target);
        return { owner: "recovery", callId };
    }
}
