/** Extracts the digest of a peer from events of different types. */
import type { RouterEvent } from "../../kernel/events.js";
import type { Digest } from "./membershipTypes.js";

/** @returns The digest that an event carries: a received one, an exchange request or an exchange reply; else `undefined`. */
export function extractDigest(event: RouterEvent): Digest | undefined {
    if (event.type === "digestReceived") {
        return event.digest;
    }
    if (event.type === "peerRequestReceived" && event.request.method === "Exchange") {
        return event.request.body;
    }
    if (
        event.type === "peerCallDone" && event.outcome.status === "replied" &&
        event.outcome.reply.method === "Exchange"
    ) {
        return event.outcome.reply.body;
    }
    return undefined;
}
