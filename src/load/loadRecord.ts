/** What the load generator keeps of each request. */
import { z } from "zod";

/** How a request ended. */
export const LoadOutcomeSchema = z.enum(["complete", "refused", "cut", "failed"]);

/** One request. Times count from the start of the run. */
export const LoadRecordSchema = z.object({
    phase: z.string(),
    requestClass: z.string(),
    requestId: z.string(),
    router: z.string(),
    /** When the request was due. */
    dueAtMs: z.number(),
    /**
     * When it was sent; latencies count from here. The sender never waits for answers or connections, so that it is late
     * only when its own process gets no processor time.
     */
    sentAtMs: z.number(),
    endedAtMs: z.number(),
    firstTokenMs: z.number().optional(),
    outcome: LoadOutcomeSchema,
    /** Name of the result code, or of the local failure; empty when complete. */
    code: z.string(),
    ran: z.string(),
    retryAfterS: z.number().optional(),
    promptTokens: z.number(),
    outputTokens: z.number(),
    promptBytes: z.number(),
    maxTokens: z.number().optional(),
});
export type LoadRecord = z.infer<typeof LoadRecordSchema>;

/** File that holds the records of a run. */
export const LoadRecordsSchema = z.object({
    /** Wall-clock time of the start of the run. */
    startedAtMs: z.number(),
    /** Output tokens that arrived, by interval since the start of the run. */
    tokensByInterval: z.array(z.number()),
    records: z.array(LoadRecordSchema),
});
export type LoadRecords = z.infer<typeof LoadRecordsSchema>;

/** Length of the intervals in which arriving tokens are counted. */
export const TokenIntervalMs = 100;
