/** Calculates the cost of a finished request to its team. */
import type { TokenCounts } from "../edgeTypes.js";

/** Events that may be in flight when a stream is stopped: sent by the upstream, but not yet received. */
const EventsInFlight = 8;

/** Output that a request delivered, and how it ended. */
export interface Delivery {
    /** Output tokens per event; `undefined` when the service is not a model engine. */
    readonly tokensPerEvent: number | undefined;
    /** Events relayed in all attempts. */
    readonly eventCount: number;
    /** Whether the caller got a complete successful response. */
    readonly isComplete: boolean;
    /** Whether the edge cancelled a running attempt. */
    readonly isCancelled: boolean;
}

/** Values on which the cost of a request depends. */
export interface CostInput extends Delivery {
    readonly tokens: TokenCounts;
    readonly reservedTokens: number;
}

/**
 * Calculates the cost of a request: its prompt once, plus the delivered output. A request that failed before its first
 * output costs nothing. If output was delivered that cannot be counted, the whole reservation is charged, as a team
 * must not get more than it paid for.
 * @returns Tokens to charge.
 */
export function costOfRequest(input: CostInput): number {
    const { tokens, reservedTokens, tokensPerEvent, eventCount } = input;
    if (eventCount === 0) {
        return input.isComplete ? reservedTokens : 0;
    }
    if (tokensPerEvent === undefined) {
        return reservedTokens;
    }
    const countedEvents = eventCount + (input.isCancelled ? EventsInFlight : 0);
    return Math.min(reservedTokens, tokens.promptTokens + countedEvents * tokensPerEvent);
}
