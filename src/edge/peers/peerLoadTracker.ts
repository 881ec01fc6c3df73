/** Load of other hosts at upstreams, as they last reported it. */
import { z } from "zod";
import { EventTimesSchema } from "./loadSums.js";

/** Maximum age of a report that is used, in milliseconds; an older one does not reflect the current load. */
const ReportMaxAgeMs = 1_000;

/** Number of open requests, and of prompt tokens that the engine has not read yet, of one host at one upstream. */
export const UpstreamLoadSchema = z.tuple([z.number().int().nonnegative(), z.number().int().nonnegative()]);

/** A host's load report. Field names are short because traffic between zones is charged by the byte. */
export const LoadReportSchema = z.object({
    k: z.literal("l"),
    /** Id of the host. */
    h: z.string(),
    /** Incarnation of the host's process. */
    i: z.string(),
    /** Number of the report within the incarnation; a report that arrives after a later one is dropped. */
    n: z.number().int(),
    /** Load by id of the upstream; idle upstreams are omitted. */
    l: z.record(z.string(), UpstreamLoadSchema),
    /** Event times of some upstreams, by the samples of this host. */
    s: EventTimesSchema.optional(),
});
export type LoadReport = z.infer<typeof LoadReportSchema>;

/** Total load of the other hosts at an upstream: open requests, and prompt tokens that are not read yet. */
export interface PeerLoad {
    readonly openRequestCount: number;
    readonly waitingPrefillTokens: number;
}

interface ReceivedReport {
    readonly report: LoadReport;
    readonly receivedMs: number;
}

/** Keeps the latest report of each host. */
export class PeerLoadTracker {
    readonly #reports = new Map<string, ReceivedReport>();

    /**
     * Records a report unless a later one of the same process is known.
     * @param nowMs Monotonic time, in milliseconds.
     */
    recordReport(report: LoadReport, nowMs: number): void {
        const known = this.#reports.get(report.h)?.report;
        if (known === undefined || known.i !== report.i || known.n < report.n) {
            this.#reports.set(report.h, { report, receivedMs: nowMs });
        }
    }

    /**
     * @param isIncluded Returns whether the reports of a host count.
     * @returns Total load of other hosts at an upstream, by reports that are not older than {@link ReportMaxAgeMs}.
     */
    loadAt(upstream: string, nowMs: number, isIncluded: (hostId: string) => boolean = () => true): PeerLoad {
        let openRequestCount = 0;
        let waitingPrefillTokens = 0;
        for (const loads of this.recentReports(nowMs, isIncluded)) {
            const load = loads[upstream];
            if (load !== undefined) {
                openRequestCount += load[0];
                waitingPrefillTokens += load[1];
            }
        }
        return { openRequestCount, waitingPrefillTokens };
    }

    /** @returns Loads of the reports that are not older than {@link ReportMaxAgeMs}. */
    *recentReports(nowMs: number, isIncluded: (hostId: string) => boolean): Generator<LoadReport["l"]> {
        for (const { report, receivedMs } of this.#reports.values()) {
            if (nowMs - receivedMs <= ReportMaxAgeMs && isIncluded(report.h)) {
                yield report.l;
            }
        }
    }
}
