/** Settings of the gateway. */
import { z } from "zod";

/** Settings of the caller listener and of the connections to upstreams. */
export const GatewaySettingsSchema = z.strictObject({
    /** Limit on the body of every caller request. */
    maxBodyBytes: z.number().int().positive().default(10_000_000),
    /** Longest time from the head of a caller's request to the end of its body. */
    bodyTimeoutMs: z.number().int().positive().default(30_000),
    connectTimeoutMs: z.number().int().positive().default(1_000),
    /** Longest wait for the first byte of a streamed answer. */
    firstByteTimeoutMs: z.number().int().positive().default(15_000),
    /** Longest wait for an answer that is not streamed, whose first byte arrives when it is complete. */
    answerTimeoutMs: z.number().int().positive().default(30_000),
    /** Added to `answerTimeoutMs` for each output token that the request allows. */
    answerTimeoutPerTokenMs: z.number().int().nonnegative().default(250),
    /** Longest pause between two pieces of an answer. */
    progressTimeoutMs: z.number().int().positive().default(10_000),
    /** Multiplies the timeouts of background work, which engines pause while more urgent work needs its slot. */
    backgroundTimeoutFactor: z.number().min(1).default(6),
    /** Longest time for which a caller may leave its answer unread; its connection is destroyed then. */
    callerStallMs: z.number().int().positive().default(30_000),
    keepAliveMs: z.number().int().positive().default(4_000),
    /** Longest wait for budget tokens. */
    budgetWaitMs: z.number().int().nonnegative().default(1_500),
    /** Longest wait for a use of a priority grant: covers two calls to a peer, 100 ms apart, while it declares more. */
    grantWaitMs: z.number().int().nonnegative().default(200),
    /** Upstreams tried for one request, hedges not counted. */
    maxAttempts: z.number().int().positive().default(3),
    /** Repeatable work without a first byte after this time asks for a hedge; 0 never asks. */
    hedgeAfterMs: z.number().int().nonnegative().default(500),
    /** Interval at which each upstream's load report is read. */
    loadPollMs: z.number().int().positive().default(1_000),
});
export type GatewaySettings = z.infer<typeof GatewaySettingsSchema>;
