/** Writes the host record, and the bill segments that grow out of it. */
import { match } from "ts-pattern";
import { Controller, type ControllerContext } from "../../kernel/controller.js";
import type { RouterEvent } from "../../kernel/events.js";
import { AbsentVersion, type WriteOutcome } from "../../platform/platformStore.js";
import { type BudgetEntry, usedTokens } from "../budget/budgetBoard.js";
import { BillLineBuffer } from "./billLineBuffer.js";
import type { JournalSettings } from "./journalSettings.js";
import { billSegmentKey, hostKeyOf, type HostRecord, hostRecordKey, type RecordEntry } from "./journalTypes.js";
import { LateBillWriter } from "./lateBillWriter.js";
import { RecordWriter } from "./recordWriter.js";

/** Hexadecimal digits of an incarnation that a sealed process opens. */
const IncarnationDigits = 12;

type CallTarget = { readonly kind: "record" | "segment"; } | { readonly kind: "late"; readonly late: LateBillWriter; };

/** Controller of the host record. */
export class JournalController extends Controller {
    override readonly name = "journal";
    readonly #settings: JournalSettings;
    readonly #calls = new Map<string, CallTarget>();
    readonly #late = new Map<string, LateBillWriter>();
    #writer: RecordWriter;
    #book = new BillLineBuffer();
    #lastCallId = 0;
    #startedMs = Number.NEGATIVE_INFINITY;
    #intervalMs = 0;
    #segmentNotBeforeMs = Number.NEGATIVE_INFINITY;
    #segmentInFlight = false;
    #closingSinceMs: number | undefined;

    constructor(context: ControllerContext, settings: JournalSettings) {
        super(context);
        this.#settings = settings;
        this.#writer = this.#createWriter();
    }

    override handle(event: RouterEvent): void {
        const { hostKey } = this.context.board.journal;
        this.#takeBills();
        match(event)
            .with({ type: "storePutDone", owner: "journal" }, done => this.#callDone(done.callId, done.outcome))
            .otherwise(() => undefined);
        // After a seal the budget section still shows the old incarnation until the budget controller has run.
        const isSameIncarnation = hostKey === this.context.board.journal.hostKey;
        if (isSameIncarnation && (event.type === "tick" || this.context.board.budget.flushWanted)) {
            this.#advance();
        }
    }

    override dumpState(): unknown {
        return { lateIncarnations: [...this.#late.keys()], recordPending: this.#writer.hasPendingWrite };
    }

    get #nowMs(): number {
        return this.context.clock.monotonicMs();
    }

    get #isClosingPhase(): boolean {
        const { phase } = this.context.board.lifecycle;
        return phase === "closing" || phase === "closed";
    }

    #takeBills(): void {
        const { budget, journal } = this.context.board;
        for (const bill of budget.bills) {
            if (bill.ordinal > journal.takenBillOrdinal) {
                const book = bill.hostKey === journal.hostKey ? this.#book : this.#late.get(bill.hostKey)?.billLines;
                book?.add(bill.draft, this.context.clock.wallMs());
                journal.takenBillOrdinal = bill.ordinal;
            }
        }
    }

    #advance(): void {
        this.#settleLate();
        this.#writer.retry(this.#nowMs);
        this.#writeSegment();
        if (this.#isClosingPhase) {
            this.#close();
        }
        else {
            this.#writeIfDue();
        }
    }

    #writeIfDue(): void {
        const { budget } = this.context.board;
        const nowMs = this.#nowMs;
        const backlog = this.#book.lineCount > this.#settings.linesPerWrite;
        const intervalMs = budget.flushWanted || backlog ? this.#settings.urgentIntervalMs : this.#intervalMs;
        if (this.#writer.canWrite(nowMs) && nowMs - this.#startedMs >= intervalMs) {
            this.#write(this.context.board.lifecycle.phase === "draining" ? "leaving" : "live");
        }
    }

    #write(state: "live" | "leaving" | "closed"): void {
        const { board, counters } = this.context;
        const record = this.#buildRecord(state);
        const bytes = JSON.stringify(record).length;
        this.#startedMs = this.#nowMs;
        this.#intervalMs = this.#intervalFor(bytes);
        board.journal.sentSequence = record.sequence;
        counters.add("journal.writes");
        counters.add("journal.bytes", bytes);
        this.#writer.write(record);
        this.#publishLimits();
    }

    #intervalFor(recordBytes: number): number {
        const { writeIntervalMs, longestIntervalMs, recordBytesPerS, fleetWritesPerS } = this.#settings;
        const hostCount = this.context.board.membership.members.size + 1;
        const wantedMs = Math.max(
            writeIntervalMs,
            recordBytes * 1_000 / recordBytesPerS,
            hostCount * 1_000 / fleetWritesPerS,
        );
        return Math.min(longestIntervalMs, wantedMs);
    }

    #buildRecord(state: "live" | "leaving" | "closed"): HostRecord {
        const { board } = this.context;
        const { lines, excludedTokens } = this.#book.selectLines(this.#settings.linesPerWrite);
        const entries: Record<string, RecordEntry> = {};
        for (const [budget, entry] of board.budget.entries) {
            const declared = declare(entry, excludedTokens.get(budget) ?? 0, state === "closed");
            if (Object.values(declared).some(tokens => tokens !== 0)) {
                entries[budget] = declared;
            }
        }
        return {
            hostId: board.journal.hostId,
            incarnation: board.journal.incarnation,
            zone: board.membership.ownDigest?.self.zone ?? "",
            state,
            sequence: board.journal.sentSequence + 1,
            configVersion: board.config.version,
            entries,
            bills: [...lines],
            billSegments: this.#book.segmentCount,
            ticketLimit: board.idempotency.wantedTicketLimit,
        };
    }

    #callDone(callId: string, outcome: WriteOutcome): void {
        const target = this.#calls.get(callId);
        this.#calls.delete(callId);
        if (target === undefined) {
            return;
        }
        this.context.counters.add(`journal.${target.kind}.${outcome.status}`);
        match(target)
            .with({ kind: "record" }, () => this.#recordDone(outcome))
            .with({ kind: "segment" }, () => this.#segmentDone(outcome))
            .with({ kind: "late" }, ({ late }) => {
                late.handleWriteResult(outcome, this.#settings.retryMs, this.#nowMs);
                this.#settleLate();
            })
            .exhaustive();
    }

    #recordDone(outcome: WriteOutcome): void {
        const { journal } = this.context.board;
        const result = this.#writer.handleWriteResult(outcome, this.#nowMs);
        if (result.status === "acknowledged") {
            const { record } = result;
            this.#book.markDurable(record.bills);
            journal.established = true;
            journal.acknowledgedSequence = record.sequence;
            journal.lastAcknowledgedMs = this.#nowMs;
            journal.ticketLimit = record.ticketLimit;
            journal.closed = record.state === "closed";
        }
        else if (result.status === "sealed") {
            this.#openIncarnation(result.record);
        }
        this.#publishLimits();
    }

    #publishLimits(): void {
        const { journal } = this.context.board;
        journal.limits = this.#writer.getLowestLimits();
        journal.highestLimits = this.#writer.getHighestLimits();
    }

    /** Continues as a new incarnation without limits. The sealed one keeps its entries until its requests are settled. */
    #openIncarnation(sealedRecord: HostRecord | undefined): void {
        const { board, counters, random } = this.context;
        const { journal } = board;
        const sealed = sealedRecord ??
            { ...this.#buildRecord("live"), state: "sealed" as const, entries: {}, bills: [] };
        this.#late.set(journal.hostKey, new LateBillWriter(journal.hostKey, this.#book, sealed));
        counters.add("journal.sealed");
        for (const [callId, target] of this.#calls) {
            if (target.kind !== "late") {
                this.#calls.delete(callId);
            }
        }
        this.#writer = this.#createWriter();
        this.#book = new BillLineBuffer();
        this.#segmentInFlight = false;
        this.#startedMs = Number.NEGATIVE_INFINITY;
        journal.incarnation = random.hex(IncarnationDigits);
        journal.hostKey = hostKeyOf(journal.hostId, journal.incarnation);
        journal.sealedCount++;
        journal.established = false;
        journal.closing = false;
        journal.sentSequence = 0;
        journal.acknowledgedSequence = 0;
        journal.ticketLimit = 0;
    }

    #settleLate(): void {
        const { budget, journal } = this.context.board;
        for (const [hostKey, late] of this.#late) {
            const entries = budget.sealedEntries.get(hostKey);
            if (entries === undefined || (budget.openReservations.get(hostKey) ?? 0) > 0) {
                continue;
            }
            late.writeNextChunk(
                this.#settings.linesPerWrite,
                (key, lines) => this.#put({ kind: "late", late }, key, lines),
                this.#nowMs,
            );
            if (late.areAllLinesStored) {
                this.#late.delete(hostKey);
                this.context.counters.add("journal.lateSettled");
                journal.settledIncarnations.set(hostKey, {
                    sealedRecord: late.sealedRecord,
                    netTokens: new Map([...entries].map(([name, entry]) => [name, usedTokens(entry)])),
                });
            }
        }
    }

    #writeSegment(): void {
        const nowMs = this.#nowMs;
        if (this.#segmentInFlight || nowMs < this.#segmentNotBeforeMs) {
            return;
        }
        const lines = this.#book.getOrOpenSegment(this.#settings.segmentBytes);
        if (lines !== undefined) {
            this.#segmentInFlight = true;
            const key = billSegmentKey(this.context.board.journal.hostKey, this.#book.segmentCount);
            this.#put({ kind: "segment" }, key, lines);
        }
    }

    /** Only this process writes its segments, so a conflict shows an earlier attempt with the same lines. */
    #segmentDone(outcome: WriteOutcome): void {
        this.#segmentInFlight = false;
        if (outcome.status === "applied" || outcome.status === "conflict") {
            this.#book.removeStoredSegment();
        }
        else {
            this.#segmentNotBeforeMs = this.#nowMs + this.#settings.retryMs;
        }
    }

    #close(): void {
        const { budget, journal } = this.context.board;
        const nowMs = this.#nowMs;
        this.#closingSinceMs ??= nowMs;
        const returnable = budget.unreturnableCount === 0 ||
            nowMs - this.#closingSinceMs >= this.#settings.closingWaitMs;
        // The closing record ends the process, and with it the bill lines of a sealed incarnation that are not stored yet.
        const prepared = this.#late.size === 0 && returnable;
        const open = [...budget.openReservations.values()].some(count => count > 0);
        if (journal.closed || open || !prepared || !this.#writer.canWrite(nowMs)) {
            return;
        }
        if (this.#book.lineCount > this.#settings.linesPerWrite) {
            this.#write("leaving");
            return;
        }
        journal.closing = true;
        this.#write("closed");
    }

    #put(target: CallTarget, key: string, value: unknown, expectedVersion = AbsentVersion): void {
        const callId = `j${++this.#lastCallId}`;
        this.#calls.set(callId, target);
        this.context.emit({ type: "storePut", owner: "journal", callId, key, value, expectedVersion });
    }

    #createWriter(): RecordWriter {
        return new RecordWriter(
            (record, expectedVersion) =>
                this.#put(
                    { kind: "record" },
                    hostRecordKey(hostKeyOf(record.hostId, record.incarnation)),
                    record,
                    expectedVersion,
                ),
            this.#settings.retryMs,
        );
    }
}

/** @returns The numbers to declare. A closed incarnation declares exactly what it consumed. */
function declare(entry: BudgetEntry, excludedTokens: number, closed: boolean): RecordEntry {
    const limitTokens = closed ?
        Math.max(0, entry.settledTokens + entry.sentTokens - entry.receivedTokens) :
        Math.min(entry.wantedLimitTokens, entry.grantedTokens);
    return {
        limitTokens: Math.max(0, limitTokens),
        settledTokens: entry.settledTokens - excludedTokens,
        sentTokens: entry.sentTokens,
        receivedTokens: entry.receivedTokens,
    };
}
