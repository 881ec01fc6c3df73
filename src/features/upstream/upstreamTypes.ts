/** Load and health of upstreams: observations and reports. */
import { z } from "zod";

/** Load as an engine reports it, at `GET /load`. Reports lag. */
export const LoadReportSchema = z.object({
    running: z.number().int().nonnegative(),
    waiting: z.number().int().nonnegative(),
    /** Age of the figures at the time of the answer. */
    ageMs: z.number().nonnegative(),
    leaving: z.boolean().default(false),
});
export type LoadReport = z.infer<typeof LoadReportSchema>;

/** How a dispatch ended, as the gateway saw it. */
export const DispatchResultSchema = z.enum([
    "complete",
    /** The upstream definitely refused the request. */
    "refused",
    /** As `refused`, and the upstream says that it is leaving. */
    "leaving",
    /** No connection was made; nothing was sent. */
    "unreachable",
    /** The answer broke off or was invalid. */
    "failed",
    /** No progress within the timeout. */
    "timeout",
    /** The caller went away or another attempt won. */
    "cancelled",
]);
export type DispatchResult = z.infer<typeof DispatchResultSchema>;

/** Events of the upstream feature. */
export type UpstreamEvent =
    | {
        readonly type: "dispatchStarted";
        readonly requestId: string;
        readonly upstream: string;
        readonly long: boolean;
        /** Whether the answer is streamed, so that a first token can be seen; absent means yes. */
        readonly streaming?: boolean;
    }
    | {
        readonly type: "firstTokenSeen";
        readonly requestId: string;
        readonly upstream: string;
        readonly latencyMs: number;
    }
    | {
        readonly type: "dispatchEnded";
        readonly requestId: string;
        readonly upstream: string;
        readonly result: DispatchResult;
        readonly durationMs: number;
        readonly outputTokens: number;
    }
    | { readonly type: "loadReported"; readonly upstream: string; readonly report: LoadReport; };
