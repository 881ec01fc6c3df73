/** Load reports, dispatch results and events of the upstream feature. */
import { z } from "zod";

/** Load as an engine reports it at `GET /load`. The figures may be old; `ageMs` is their age. */
export const LoadReportSchema = z.object({
    running: z.number().int().nonnegative(),
    waiting: z.number().int().nonnegative(),
    /** Age of the figures at the time of the response. */
    ageMs: z.number().nonnegative(),
    leaving: z.boolean().default(false),
});
/** Load as an engine reports it. */
export type LoadReport = z.infer<typeof LoadReportSchema>;

/** Result of a dispatch, as seen by the gateway. */
export const DispatchResultSchema = z.enum([
    "complete",
    /** The upstream refused the request and did not run it. */
    "refused",
    /** As `refused`, and the upstream reported that it is leaving. */
    "leaving",
    /** No connection could be opened; nothing was sent. */
    "unreachable",
    /** The response was cut off or invalid. */
    "failed",
    /** No progress within the timeout. */
    "timeout",
    /** The caller disconnected, or another attempt responded first. */
    "cancelled",
]);
/** Result of a dispatch. */
export type DispatchResult = z.infer<typeof DispatchResultSchema>;

/** Events of the upstream feature. */
export type UpstreamEvent =
    | {
        readonly type: "dispatchStarted";
        readonly requestId: string;
        readonly upstream: string;
        readonly long: boolean;
        /** Whether the response is streamed, so that its first token can be observed; absent means yes. */
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
