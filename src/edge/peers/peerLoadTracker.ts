/** Load that other hosts put on upstreams, as they last reported it. */
import { z } from "zod";

/** Age from which a report says nothing about the present, in milliseconds. */
const ReportMaxAgeMs = 1_000;

/** Open requests and prompt tokens that wait to be read, of one host at one upstream. */
export const UpstreamLoadSchema = z.tuple([z.number().int().nonnegative(), z.number().int().nonnegative()]);

/** A host's report. Names are short, as bytes between zones are priced. */
export const LoadReportSchema = z.object({
    k: z.literal("l"),
    /** Host. */
    h: z.string(),
    /** Incarnation and number of the report: an overtaken report is dropped. */
    i: z.string(),
    n: z.number().int(),
    /** Load by upstream; idle upstreams are left out. */
    l: z.record(z.string(), UpstreamLoadSchema),
});
export type LoadReport = z.infer<typeof LoadReportSchema>;

/** Load in requests and waiting prompt tokens. */
export interface PeerLoad {
    readonly openRequestCount: number;
    readonly waitingPrefillTokens: number;
}

interface ReceivedReport {
    readonly report: LoadReport;
    readonly receivedMs: number;
}

/** Keeps the newest report of each host. */
export class PeerLoadTracker {
    readonly #reports = new Map<string, ReceivedReport>();

    /** Takes a report over unless a newer one of the same process is known. */
    recordReport(report: LoadReport, nowMs: number): void {
        const known = this.#reports.get(report.h)?.report;
        if (known === undefined || known.i !== report.i || known.n < report.n) {
            this.#reports.set(report.h, { report, receivedMs: nowMs });
        }
    }

    /** @returns Load of all other hosts at an upstream by reports that are not too old. */
    loadAt(upstream: string, nowMs: number): PeerLoad {
        let openRequestCount = 0;
        let waitingPrefillTokens = 0;
        for (const { report, receivedMs } of this.#reports.values()) {
            const load = report.l[upstream];
            if (load !== undefined && nowMs - receivedMs <= ReportMaxAgeMs) {
                openRequestCount += load[0];
                waitingPrefillTokens += load[1];
            }
        }
        return { openRequestCount, waitingPrefillTokens };
    }
}
