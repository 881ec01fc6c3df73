/** What a finished request costs its team. */
import type { TokenCounts } from "../edgeTypes.js";

/** Events that an upstream may have sent after the last one that arrived before its stream was stopped. */
const EventsInFlight = 8;

/** What a request delivered. */
export interface Delivery {
    /** Output tokens of one event; `undefined` when the service is no engine. */
    readonly tokensPerEvent: number | undefined;
    /** Events that were relayed, over all attempts. */
    readonly eventCount: number;
    /** Whether the caller got a whole successful answer. */
    readonly isComplete: boolean;
    /** Whether the edge stopped a running attempt. */
    readonly isCancelled: boolean;
}

/** What the cost depends on. */
export interface CostInput extends Delivery {
    readonly tokens: TokenCounts;
    readonly reservedTokens: number;
}

/**
 * The prompt counts once and the output as it was delivered, so a request that failed before its first output costs
 * nothing. Where output was delivered that cannot be counted, the whole reservation is charged: a team must not get
 * more than it paid for.
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
