/** Calls to the platform's store that a host makes for another one, as JSON over HTTP. */
import { z } from "zod";
import { StoredObjectSchema } from "../../platform/platformStore.js";

/** Path of the endpoint. Earlier releases, whose versions have no history, serve another one. */
export const StoreProxyPath = "/v2/store";

/** Status of a response by a host that cannot reach the store either; it has not sent the call. */
export const StoreUnreachableStatus = 503;

const CountSchema = z.number().int().nonnegative();

/** A call to the store. */
export const StoreCallSchema = z.discriminatedUnion("call", [
    z.object({ call: z.literal("get"), key: z.string() }),
    z.object({ call: z.literal("put"), key: z.string(), value: z.unknown(), expectedVersion: CountSchema }),
    z.object({ call: z.literal("delete"), key: z.string(), expectedVersion: CountSchema }),
    z.object({ call: z.literal("list"), prefix: z.string(), afterKey: z.string(), limit: CountSchema }),
    z.object({ call: z.literal("watch"), prefix: z.string(), afterRevision: CountSchema, waitMs: CountSchema }),
]);
export type StoreCall = z.infer<typeof StoreCallSchema>;

/** Outcome of a call that the other host sent to the store. */
export const StoreCallOutcomeSchema = z.discriminatedUnion("status", [
    z.object({ status: z.literal("found"), object: StoredObjectSchema }),
    z.object({ status: z.literal("absent") }),
    z.object({ status: z.literal("unavailable"), reason: z.string() }),
    z.object({ status: z.literal("applied"), version: CountSchema }),
    z.object({ status: z.literal("conflict"), current: StoredObjectSchema.optional() }),
    z.object({ status: z.literal("refused"), reason: z.string() }),
    z.object({ status: z.literal("unknown"), reason: z.string() }),
    z.object({
        status: z.literal("listed"),
        objects: z.array(StoredObjectSchema),
        more: z.boolean(),
        revision: CountSchema.optional(),
    }),
    z.object({
        status: z.literal("changed"),
        changes: z.array(z.object({ key: z.string(), object: StoredObjectSchema.optional() })),
        revision: CountSchema,
        ageMs: z.number().nonnegative().optional(),
    }),
    z.object({ status: z.literal("tooOld"), revision: CountSchema }),
]);
export type StoreCallOutcome = z.infer<typeof StoreCallOutcomeSchema>;
