/** Collects histograms and counts by phase and class, and formats them as tables. */
import { build, type Histogram } from "hdr-histogram-js";
import type { LoadRecord } from "./loadRecord.js";

/** Maximum value of a histogram, whose unit is microseconds; longer durations are counted as this. */
const MaxMicroseconds = 600_000_000;
const MicrosecondsPerMs = 1_000;

/** Summary of a histogram, in milliseconds. */
export interface LatencySummary {
    readonly count: number;
    readonly p50Ms: number;
    readonly p90Ms: number;
    readonly p99Ms: number;
    readonly maxMs: number;
}

/** Figures of one class in one phase. */
export interface ClassSummary {
    readonly phase: string;
    readonly requestClass: string;
    /** Number of requests that were sent and have ended. */
    readonly sent: number;
    readonly complete: number;
    readonly cut: number;
    readonly failed: number;
    /** Number of requests that are not complete, by result code. */
    readonly codes: Readonly<Record<string, number>>;
    /** Number of requests that are not complete, by the `ran` field of their error. */
    readonly ran: Readonly<Record<string, number>>;
    readonly outputTokens: number;
    /** Time from sending to the first output token. */
    readonly firstToken?: LatencySummary;
    /** Time between output tokens. */
    readonly interToken?: LatencySummary;
    /** Time from sending to the end of complete requests. */
    readonly total?: LatencySummary;
}

/** A histogram of durations with a resolution of 3 significant digits. */
export class DurationHistogram {
    readonly #histogram: Histogram = build({
        highestTrackableValue: MaxMicroseconds,
        numberOfSignificantValueDigits: 3,
    });

    /** Adds a duration, in milliseconds. */
    add(durationMs: number): void {
        const microseconds = Math.round(durationMs * MicrosecondsPerMs);
        this.#histogram.recordValue(Math.min(MaxMicroseconds, Math.max(1, microseconds)));
    }

    /** @returns The summary, or `undefined` when the histogram is empty. */
    summary(): LatencySummary | undefined {
        const histogram = this.#histogram;
        if (histogram.totalCount === 0) {
            return undefined;
        }
        const at = (percentile: number) => histogram.getValueAtPercentile(percentile) / MicrosecondsPerMs;
        return {
            count: histogram.totalCount,
            p50Ms: at(50),
            p90Ms: at(90),
            p99Ms: at(99),
            maxMs: histogram.maxValue / MicrosecondsPerMs,
        };
    }
}

/** Figures of one class in one phase while they are collected. */
interface ClassFigures {
    readonly phase: string;
    readonly requestClass: string;
    sent: number;
    complete: number;
    cut: number;
    failed: number;
    readonly codes: Record<string, number>;
    readonly ran: Record<string, number>;
    outputTokens: number;
    readonly firstToken: DurationHistogram;
    readonly interToken: DurationHistogram;
    readonly total: DurationHistogram;
}

/** Collects the figures of a run by phase and class. */
export class LoadStatistics {
    readonly #figures = new Map<string, ClassFigures>();

    /** Adds the time between two output tokens, in milliseconds. */
    addGap(phase: string, requestClass: string, gapMs: number): void {
        this.#figuresOf(phase, requestClass).interToken.add(gapMs);
    }

    /** Adds a finished request. */
    add(record: LoadRecord): void {
        const figures = this.#figuresOf(record.phase, record.requestClass);
        figures.sent++;
        if (record.outcome === "complete") {
            figures.complete++;
            figures.total.add(record.endedAtMs - record.sentAtMs);
            figures.firstToken.add(record.firstTokenMs ?? record.endedAtMs - record.sentAtMs);
        }
        else {
            figures.cut += record.outcome === "cut" ? 1 : 0;
            figures.failed += record.outcome === "failed" ? 1 : 0;
            figures.codes[record.code] = (figures.codes[record.code] ?? 0) + 1;
            figures.ran[record.ran] = (figures.ran[record.ran] ?? 0) + 1;
        }
        figures.outputTokens += record.outputTokens;
    }

    /** @returns Figures by phase and class, in the order in which they appeared. */
    summaries(): ClassSummary[] {
        return [...this.#figures.values()].map(({ firstToken, interToken, total, ...counts }) => ({
            ...counts,
            ...optionalField("firstToken", firstToken.summary()),
            ...optionalField("interToken", interToken.summary()),
            ...optionalField("total", total.summary()),
        }));
    }

    #figuresOf(phase: string, requestClass: string): ClassFigures {
        const key = `${phase}\n${requestClass}`;
        let figures = this.#figures.get(key);
        if (figures === undefined) {
            figures = {
                phase,
                requestClass,
                sent: 0,
                complete: 0,
                cut: 0,
                failed: 0,
                codes: {},
                ran: {},
                outputTokens: 0,
                firstToken: new DurationHistogram(),
                interToken: new DurationHistogram(),
                total: new DurationHistogram(),
            };
            this.#figures.set(key, figures);
        }
        return figures;
    }
}

function optionalField(name: string, summary: LatencySummary | undefined): Record<string, LatencySummary> {
    return summary === undefined ? {} : { [name]: summary };
}

/** @returns The figures as a table with one line per phase and class; durations in milliseconds. */
export function formatSummaries(summaries: readonly ClassSummary[]): string {
    const header = ["phase", "class", "sent", "ok", "first p50", "first p99", "gap p99", "total p99", "codes"];
    const number = (value: number | undefined) => value === undefined ? "-" : value.toFixed(1);
    const rows = summaries.map(one => [
        one.phase,
        one.requestClass,
        String(one.sent),
        String(one.complete),
        number(one.firstToken?.p50Ms),
        number(one.firstToken?.p99Ms),
        number(one.interToken?.p99Ms),
        number(one.total?.p99Ms),
        Object.entries(one.codes).map(([code, count]) => `${code}:${count}`).join(" "),
    ]);
    return formatTable(header, rows);
}

/** @returns Table whose columns are aligned by spaces: the first two and the last one to the left, the others to the right. */
export function formatTable(header: readonly string[], rows: readonly (readonly string[])[]): string {
    const widths = header.map((title, column) => Math.max(title.length, ...rows.map(row => row[column]!.length)));
    const format = (row: readonly string[]) =>
        row.map((cell, column) =>
            column < 2 || column === row.length - 1 ? cell.padEnd(widths[column]!) : cell.padStart(widths[column]!)
        ).join("  ").trimEnd();
    return [header, ...rows].map(format).join("\n");
}
