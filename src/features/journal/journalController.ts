/** Writes the host record, and moves its durable bill lines to segments. */
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

/** Number of hexadecimal digits of the incarnation that a process starts after it was sealed. */
const IncarnationDigits = 12;

/** The purpose of a store call, by which its result is handled. */
type CallTarget = { readonly kind: "record" | "segment"; } | {
    readonly kind: "late";
    readonly writer: LateBillWriter;
};

/**
 * Writes the host record at intervals and publishes the acknowledged limits. When another host has sealed the record, starts a
 * new incarnation and settles the sealed one.
 */
export class JournalController extends Controller {
    override readonly name = "journal";
    readonly #settings: JournalSettings;
    readonly #calls = new Map<string, CallTarget>();
    /** Writers of the sealed incarnations of this process that are not settled, by host key. */
    readonly #lateBillWriters = new Map<string, LateBillWriter>();
    #recordWriter: RecordWriter;
    #billLines = new BillLineBuffer();
    #lastCallId = 0;
    /** Monotonic time in milliseconds at which the last write of a record started. */
    #lastWriteMs = Number.NEGATIVE_INFINITY;
    #writeIntervalMs = 0;
    #segmentNotBeforeMs = Number.NEGATIVE_INFINITY;
    #segmentInFlight = false;
    #closingSinceMs: number | undefined;

    constructor(context: ControllerContext, settings: JournalSettings) {
        super(context);
        this.#settings = settings;
        this.#recordWriter = this.#createWriter();
    }

    override handle(event: RouterEvent): void {
        const { hostKey } = this.context.board.journal;
        this.#takeBills();
        match(event)
            .with({ type: "storePutDone", owner: "journal" }, done => this.#handleCallResult(done.callId, done.outcome))
            .otherwise(() => undefined);
        // After a seal, the budget section still shows the old incarnation until the budget controller has run.
        const isSameIncarnation = hostKey === this.context.board.journal.hostKey;
        if (isSameIncarnation && (event.type === "tick" || this.context.board.budget.flushWanted)) {
            this.#performDueWork();
        }
    }

    override dumpState(): unknown {
        return {
            lateIncarnations: [...this.#lateBillWriters.keys()],
            recordPending: this.#recordWriter.hasPendingWrite,
        };
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
                const buffer = bill.hostKey === journal.hostKey ?
                    this.#billLines :
                    this.#lateBillWriters.get(bill.hostKey)?.billLines;
                buffer?.add(bill.draft, this.context.clock.wallMs());
                journal.takenBillOrdinal = bill.ordinal;
            }
        }
    }

    #performDueWork(): void {
        this.#settleLateIncarnations();
        this.#recordWriter.retry(this.#nowMs);
        this.#writeSegment();
        if (this.#isClosingPhase) {
            this.#closeIfReady();
        }
        else {
            this.#writeIfDue();
        }
    }

    #writeIfDue(): void {
        const { budget } = this.context.board;
        const nowMs = this.#nowMs;
        const hasBacklog = this.#billLines.lineCount > this.#settings.linesPerWrite;
        const intervalMs = budget.flushWanted || hasBacklog ? this.#settings.urgentIntervalMs : this.#writeIntervalMs;
        if (this.#recordWriter.canWrite(nowMs) && nowMs - this.#lastWriteMs >= intervalMs) {
            this.#writeRecord(this.context.board.lifecycle.phase === "draining" ? "leaving" : "live");
        }
    }

    #writeRecord(state: "live" | "leaving" | "closed"): void {
        const { board, counters } = this.context;
        const record = this.#buildRecord(state);
        const bytes = JSON.stringify(record).length;
        this.#lastWriteMs = this.#nowMs;
        this.#writeIntervalMs = this.#computeIntervalMs(bytes);
        board.journal.sentSequence = record.sequence;
        counters.add("journal.writes");
        counters.add("journal.bytes", bytes);
        this.#recordWriter.write(record);
        this.#publishLimits();
    }

    #computeIntervalMs(recordBytes: number): number {
        const { writeIntervalMs, longestIntervalMs, recordBytesPerS, fleetWritesPerS } = this.#settings;
        const hostCount = this.context.board.membership.members.size + 1;
        const neededMs = Math.max(
            writeIntervalMs,
            recordBytes * 1_000 / recordBytesPerS,
            hostCount * 1_000 / fleetWritesPerS,
        );
        return Math.min(longestIntervalMs, neededMs);
    }

    #buildRecord(state: "live" | "leaving" | "closed"): HostRecord {
        const { board } = this.context;
        const { lines, excludedTokens } = this.#billLines.selectLines(this.#settings.linesPerWrite);
        const entries: Record<string, RecordEntry> = {};
        for (const [budget, entry] of board.budget.entries) {
            const declared = createRecordEntry(entry, excludedTokens.get(budget) ?? 0, state === "closed");
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
            billSegments: this.#billLines.segmentCount,
            ticketLimit: board.idempotency.wantedTicketLimit,
        };
    }

    #handleCallResult(callId: string, outcome: WriteOutcome): void {
        const target = this.#calls.get(callId);
        this.#calls.delete(callId);
        if (target === undefined) {
            return;
        }
        this.context.counters.add(`journal.${target.kind}.${outcome.status}`);
        match(target)
            .with({ kind: "record" }, () => this.#handleRecordResult(outcome))
            .with({ kind: "segment" }, () => this.#handleSegmentResult(outcome))
            .with({ kind: "late" }, ({ writer }) => {
                writer.handleWriteResult(outcome, this.#settings.retryMs, this.#nowMs);
                this.#settleLateIncarnations();
            })
            .exhaustive();
    }

    #handleRecordResult(outcome: WriteOutcome): void {
        const { journal } = this.context.board;
        const result = this.#recordWriter.handleWriteResult(outcome, this.#nowMs);
        if (result.status === "acknowledged") {
            const { record } = result;
            this.#billLines.markDurable(record.bills);
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
        journal.limits = this.#recordWriter.getLowestLimits();
        journal.highestLimits = this.#recordWriter.getHighestLimits();
    }

    /** Starts a new incarnation without limits. The sealed one keeps its entries until its requests are settled. */
    #openIncarnation(sealedRecord: HostRecord | undefined): void {
        const { board, counters, random } = this.context;
        const { journal } = board;
        const sealed = sealedRecord ??
            { ...this.#buildRecord("live"), state: "sealed" as const, entries: {}, bills: [] };
        this.#lateBillWriters.set(journal.hostKey, new LateBillWriter(journal.hostKey, this.#billLines, sealed));
        counters.add("journal.sealed");
        for (const [callId, target] of this.#calls) {
            if (target.kind !== "late") {
                this.#calls.delete(callId);
            }
        }
        this.#recordWriter = this.#createWriter();
        this.#billLines = new BillLineBuffer();
        this.#segmentInFlight = false;
        this.#lastWriteMs = Number.NEGATIVE_INFINITY;
        journal.incarnation = random.hex(IncarnationDigits);
        journal.hostKey = hostKeyOf(journal.hostId, journal.incarnation);
        journal.sealedCount++;
        journal.established = false;
        journal.closing = false;
        journal.sentSequence = 0;
        journal.acknowledgedSequence = 0;
        journal.ticketLimit = 0;
    }

    #settleLateIncarnations(): void {
        const { budget, journal } = this.context.board;
        for (const [hostKey, writer] of this.#lateBillWriters) {
            const entries = budget.sealedEntries.get(hostKey);
            if (entries === undefined || (budget.openReservations.get(hostKey) ?? 0) > 0) {
                continue;
            }
            writer.writeNextChunk(
                this.#settings.linesPerWrite,
                (key, lines) => this.#put({ kind: "late", writer }, key, lines),
                this.#nowMs,
            );
            if (writer.areAllLinesStored) {
                this.#lateBillWriters.delete(hostKey);
                this.context.counters.add("journal.lateSettled");
                journal.settledIncarnations.set(hostKey, {
                    sealedRecord: writer.sealedRecord,
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
        const lines = this.#billLines.getOrOpenSegment(this.#settings.segmentBytes);
        if (lines !== undefined) {
            this.#segmentInFlight = true;
            const key = billSegmentKey(this.context.board.journal.hostKey, this.#billLines.segmentCount);
            this.#put({ kind: "segment" }, key, lines);
        }
    }

    /** Handles the result of a segment write. Only this process writes it, so a conflict shows an earlier identical write. */
    #handleSegmentResult(outcome: WriteOutcome): void {
        this.#segmentInFlight = false;
        if (outcome.status === "applied" || outcome.status === "conflict") {
            this.#billLines.removeStoredSegment();
        }
        else {
            this.#segmentNotBeforeMs = this.#nowMs + this.#settings.retryMs;
        }
    }

    #closeIfReady(): void {
        const { budget, journal } = this.context.board;
        const nowMs = this.#nowMs;
        this.#closingSinceMs ??= nowMs;
        const hasWaitedForTokens = budget.unreturnableCount === 0 ||
            nowMs - this.#closingSinceMs >= this.#settings.closingWaitMs;
        // The process ends after the closing record, so bill lines of a sealed incarnation must be stored before.
        const isPrepared = this.#lateBillWriters.size === 0 && hasWaitedForTokens;
        const hasOpenReservations = [...budget.openReservations.values()].some(count => count > 0);
        if (journal.closed || hasOpenReservations || !isPrepared || !this.#recordWriter.canWrite(nowMs)) {
            return;
        }
        if (this.#billLines.lineCount > this.#settings.linesPerWrite) {
            this.#writeRecord("leaving");
            return;
        }
        journal.closing = true;
        this.#writeRecord("closed");
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

/**
 * @param excludedTokens Tokens of settled bill lines that the record does not contain.
 * @param isClosed Whether the record closes the incarnation, which then declares exactly what it consumed.
 * @returns The tokens to declare for a budget.
 */
function createRecordEntry(entry: BudgetEntry, excludedTokens: number, isClosed: boolean): RecordEntry {
    const limitTokens = isClosed ?
        Math.max(0, entry.settledTokens + entry.sentTokens - entry.receivedTokens) :
        Math.min(entry.wantedLimitTokens, entry.grantedTokens);
    return {
        limitTokens: Math.max(0, limitTokens),
        settledTokens: entry.settledTokens - excludedTokens,
        sentTokens: entry.sentTokens,
        receivedTokens: entry.receivedTokens,
    };
}
