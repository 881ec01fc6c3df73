/** Settings of the forwarding edge. */
import { z } from "zod";

const AddressSchema = z.string().regex(/^.+:[0-9]+$/, "must be IP:port");

/** Settings with their defaults. Durations are in the unit of their suffix. */
export const EdgeSettingsSchema = z.strictObject({
    hostId: z.string().min(1).describe("identity of the host; a restarted process keeps it"),
    zone: z.string().default("").describe("availability zone of the host"),
    zoneCount: z.number().int().positive().default(1).describe("availability zones of the deployment"),
    zones: z.array(z.string()).default([]).describe("names of the availability zones of the deployment"),
    evacuateMs: z.number().positive().optional().describe(
        "time within which the evacuation of an availability zone is in force on every host; without it there are no evacuations",
    ),
    peerAddress: AddressSchema.describe("address for load reports of other hosts, over UDP"),
    listen: z.strictObject({
        caller: AddressSchema.describe("address for callers"),
        readiness: AddressSchema.describe("address of the balancer's readiness check"),
        metrics: AddressSchema.optional().describe("address of counters and histograms"),
    }),
    linkMbps: z.number().positive().optional().describe("capacity of the host's link in each direction, in Mbit/s"),
    memoryMb: z.number().positive().optional().describe("memory that the process may use, in MB"),
    maxDescriptors: z.number().int().positive().optional().describe(
        "descriptors that the process may open, with files",
    ),
    callerLimits: z.strictObject({
        memoryFraction: z.number().positive().max(1).default(0.25).describe(
            "part of the memory for bodies, unread responses and pipelined requests together",
        ),
        connectionMemoryFraction: z.number().positive().max(1).default(0.1).describe(
            "part of the memory for the connections of each listener, which bounds their number",
        ),
        maxPipelinedRequests: z.number().int().min(1).default(32).describe(
            "open requests of one connection from which it is not read",
        ),
        unreadTimeoutMs: z.number().positive().default(3_000).describe(
            "time without progress of a body, or of unread responses, while memory or open requests are short",
        ),
        bodyTimeoutMs: z.number().positive().default(60_000).describe("time without progress of a body at any load"),
        maxStrayBytes: z.number().int().positive().default(32_768).describe(
            "bytes in a row that belong to no request, such as line ends, from which a connection is closed; at least twice maxHeaderBytes",
        ),
        expensiveParseMs: z.number().positive().default(50).describe(
            "processor time for parsing one request from which it is expensive",
        ),
        maxParseContentionMs: z.number().positive().default(3_000).describe(
            "time for which several expensive requests may compete for the processor before the latest of them are refused",
        ),
    }).prefault({}),
    storeAddress: AddressSchema.describe("address of the platform's store"),
    graceMs: z.number().positive().default(8_000).describe("time between the termination signal and the kill"),
    drainNoticeMs: z.number().nonnegative().default(3_000)
        .describe("time that the balancer needs to stop sending connections"),
    retryRatio: z.number().nonnegative().default(0.1).describe(
        "maximum repeated sends as a fraction of a service's requests",
    ),
    retryWindowMs: z.number().positive().default(10_000).describe("window of the retry budget"),
    retrySlackCount: z.number().nonnegative().default(20)
        .describe("repeated sends per service and window allowed at any rate, over all hosts"),
    maxHeaderBytes: z.number().int().positive().default(16_384).describe("maximum size of a request head, in bytes"),
});
export type EdgeSettings = z.infer<typeof EdgeSettingsSchema>;
