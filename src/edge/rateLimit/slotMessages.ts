/** Messages about limits of upstreams. Names are short, as traffic between zones is billed by the byte. */
import { z } from "zod";
import { BroadcastFields } from "../peers/broadcastMessages.js";

const CountSchema = z.number().int().nonnegative();

/** Limits that upstreams state, as one host knows them. Ages take the place of times, as clocks of hosts cannot be compared. */
export const LimitStatementsSchema = z.object({
    k: z.literal("v"),
    ...BroadcastFields,
    /** Id and start time of the upstream, requests per second, and time since the response with the limit, in milliseconds. */
    l: z.array(z.tuple([z.string(), z.number(), z.number().nonnegative(), CountSchema])),
    /** Upstreams without a limit: id, start time, and time since the request was written, in milliseconds. */
    e: z.array(z.tuple([z.string(), z.number(), CountSchema])),
    /** Cold upstreams: id, start time, remaining cold time in milliseconds, and the store's number of the entry's change that tells it. */
    c: z.array(z.tuple([z.string(), z.number(), CountSchema, z.number()])).optional(),
});
export type LimitStatementsMessage = z.infer<typeof LimitStatementsSchema>;

/** Asks the owner of a slot whether the sender may send one request in its place. */
export const SlotRequestSchema = z.object({
    k: z.literal("sq"),
    /** Incarnation of the sender, and number of the request within it. */
    i: z.string(),
    n: CountSchema,
    /** Id and start time of the upstream. */
    u: z.string(),
    b: z.number(),
    /** Rank of the request by its priority; 0 is the most urgent. */
    p: CountSchema,
});

/** Answers a {@link SlotRequestSchema | request for a slot}. */
export const SlotReplySchema = z.object({
    k: z.literal("sr"),
    /** Incarnation and number of the request. */
    i: z.string(),
    n: CountSchema,
    /** Whether the sender of the request may send one request. */
    g: z.boolean(),
});
