/** Records that the load generator writes for each request. */
import { z } from "zod";

/** How a request ended. */
export const LoadOutcomeSchema = z.enum(["complete", "refused", "cut", "failed"]);

/** One request. Times are milliseconds since the start of the run. */
export const LoadRecordSchema = z.object({
    phase: z.string(),
    requestClass: z.string(),
    requestId: z.string(),
    router: z.string(),
    /** When the request was due according to the scenario. */
    dueAtMs: z.number(),
    /**
     * When the request was sent; latencies are measured from here. The sender never waits for responses or connections, so it
     * is late only when its own process gets no processor time.
     */
    sentAtMs: z.number(),
    endedAtMs: z.number(),
    /** Time from sending to the first output token. */
    firstTokenMs: z.number().optional(),
    outcome: LoadOutcomeSchema,
    /** Name of the result code, or of the local failure; empty when complete. */
    code: z.string(),
    /** Whether the request ran, as the error states: `yes`, `no` or `unknown`. */
    ran: z.string(),
    retryAfterS: z.number().optional(),
    promptTokens: z.number(),
    outputTokens: z.number(),
    promptBytes: z.number(),
    maxTokens: z.number().optional(),
});
/** One request and its result. */
export type LoadRecord = z.infer<typeof LoadRecordSchema>;

/** File with the records of a run. */
export const LoadRecordsSchema = z.object({
    /** Wall-clock time of the start of the run, in milliseconds since the epoch. */
    startedAtMs: z.number(),
    /** Number of output tokens that arrived in each interval of {@link TokenIntervalMs} since the start of the run. */
    tokensByInterval: z.array(z.number()),
    records: z.array(LoadRecordSchema),
});
/** Records of a run. */
export type LoadRecords = z.infer<typeof LoadRecordsSchema>;

/** Length of the intervals in which arriving tokens are counted, in milliseconds. */
export const TokenIntervalMs = 100;
