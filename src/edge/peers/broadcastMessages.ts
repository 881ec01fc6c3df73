/** Fields of messages that one host sends to all others; see {@link FleetBroadcast}. */
import { z } from "zod";

/** Stages on the way of a message through a large fleet; a message is passed on with a higher one. */
export const BroadcastStage = {
    /** From a host to the gatherers of its zone. */
    toGatherers: 0,
    /** From a gatherer to those of other zones. */
    betweenZones: 1,
    /** To hosts that do not pass it on. */
    final: 2,
} as const;

const CountSchema = z.number().int().nonnegative();

/** Fields that each broadcast message has besides its kind and its payload. Names are short, as traffic between zones is billed by the byte. */
export const BroadcastFields = {
    /** Host and incarnation that the message comes from, and number of the message within the incarnation. */
    h: z.string(),
    i: z.string(),
    n: CountSchema,
    /** Stage; see {@link BroadcastStage}. */
    s: CountSchema,
    /** Number of the repetition; absent in messages about a change. */
    r: CountSchema.optional(),
} as const;

/** The fields of {@link BroadcastFields}. */
export interface BroadcastEnvelope {
    readonly h: string;
    readonly i: string;
    readonly n: number;
    readonly s: number;
    readonly r?: number | undefined;
}

/** Part of a datagram that is reserved for the fields around the payload, in bytes. */
export const BroadcastEnvelopeBytes = 200;
