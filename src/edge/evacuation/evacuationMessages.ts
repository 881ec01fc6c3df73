/** Messages about evacuated availability zones. Names are short, as traffic between zones is billed by the byte. */
import { z } from "zod";
import { BroadcastFields } from "../peers/broadcastMessages.js";

const CountSchema = z.number().int().nonnegative();

/** Maximum length of the name of an evacuated zone, in bytes. */
export const MaxZoneNameBytes = 64;

/** A set of evacuated zones. */
const SetFields = {
    /** Version of the store of which the set is. */
    v: CountSchema,
    /** Names of the zones. */
    z: z.array(z.string()),
    /** Time since the store last confirmed the set, as far as the sender knows, in milliseconds. */
    a: CountSchema,
} as const;

/** The set that one host knows, for all others. */
export const EvacuationsSchema = z.object({ k: z.literal("ze"), ...BroadcastFields, ...SetFields });
export type EvacuationsMessage = z.infer<typeof EvacuationsSchema>;

/** The set of a collector, for a host that has not confirmed it; the host answers with what is in force there. */
export const EvacuationStatementSchema = z.object({ k: z.literal("zs"), ...SetFields });

/** The set that is in force on one host, for a collector. */
export const EvacuationConfirmationSchema = z.object({
    k: z.literal("zc"),
    /** Id of the host. */
    h: z.string(),
    v: CountSchema,
    z: z.array(z.string()),
});

/** Asks another host for its set. */
export const EvacuationQuerySchema = z.object({
    k: z.literal("zq"),
    /** Incarnation of the sender, and number of the query within it. */
    i: z.string(),
    n: CountSchema,
});

/** Answers an {@link EvacuationQuerySchema | query}. */
export const EvacuationReplySchema = z.object({
    k: z.literal("zr"),
    /** Incarnation and number of the query. */
    i: z.string(),
    n: CountSchema,
    ...SetFields,
});
