/** Settings of the gateway, with their defaults. */
import { z } from "zod";

/** Settings of the caller listener and of the connections to upstreams. */
export const GatewaySettingsSchema = z.strictObject({
    /** Maximum size of a caller's request body. */
    maxBodyBytes: z.number().int().positive().default(10_000_000),
    /** Maximum time from the head of a caller's request to the end of its body. */
    bodyTimeoutMs: z.number().int().positive().default(30_000),
    /**
     * Maximum memory that callers make the process hold: open and waiting requests, their bodies and unsent responses; by
     * default a quarter of the memory, or half of the heap if that is less.
     */
    callerMemoryBytes: z.number().int().positive().optional(),
    /**
     * Maximum number of connections of callers; by default half of the descriptors above 200, as each request also needs
     * one to its upstream. The connection that has sent least is closed for a new one.
     */
    maxConnections: z.number().int().positive().optional(),
    /**
     * Maximum number of requests of one connection that are processed at the same time. Later ones are not read, or wait
     * without being refused.
     */
    maxOpenRequestsPerConnection: z.number().int().min(2).default(32),
    /**
     * Maximum time without progress of a body or a response while callers hold more than three quarters of
     * `callerMemoryBytes`; the request is then refused, or the connection closed.
     */
    scarceMemoryStallMs: z.number().int().positive().default(5_000),
    /** Bytes in a row that belong to no request, such as line ends, from which a connection is closed; more than a request head. */
    maxStrayBytes: z.number().int().positive().default(32_768),
    /** Processor time for parsing one request from which it is expensive. */
    expensiveParseMs: z.number().positive().default(50),
    /** Time for which several expensive requests may compete for the processor before the latest of them are refused. */
    maxParseContentionMs: z.number().positive().default(3_000),
    connectTimeoutMs: z.number().int().positive().default(1_000),
    /** Maximum wait for the first byte of a streamed response. */
    firstByteTimeoutMs: z.number().int().positive().default(15_000),
    /** Maximum wait for a response that is not streamed; its first byte arrives only when it is complete. */
    answerTimeoutMs: z.number().int().positive().default(30_000),
    /** Added to `answerTimeoutMs` for each output token that the request allows. */
    answerTimeoutPerTokenMs: z.number().int().nonnegative().default(250),
    /** Maximum pause between two chunks of a response. */
    progressTimeoutMs: z.number().int().positive().default(10_000),
    /** Multiplies the timeouts of background work, which engines pause while more urgent work needs its slot. */
    backgroundTimeoutFactor: z.number().min(1).default(6),
    /** Maximum time for which a caller may stop reading its response; its connection is then destroyed. */
    callerStallMs: z.number().int().positive().default(30_000),
    keepAliveMs: z.number().int().positive().default(4_000),
    /** Maximum wait for budget tokens. */
    budgetWaitMs: z.number().int().nonnegative().default(1_500),
    /** Maximum wait for a use of a priority grant; covers two calls to a peer, 100 ms apart, while it declares more uses. */
    grantWaitMs: z.number().int().nonnegative().default(200),
    /** Maximum number of upstreams tried for one request, not counting hedges. */
    maxAttempts: z.number().int().positive().default(3),
    /** Repeatable work without a first byte after this time requests a hedge; 0 disables hedging. */
    hedgeAfterMs: z.number().int().nonnegative().default(500),
    /** Interval at which each upstream's load report is read. */
    loadPollMs: z.number().int().positive().default(1_000),
});
/** Validated gateway settings, with defaults filled in. */
export type GatewaySettings = z.infer<typeof GatewaySettingsSchema>;
