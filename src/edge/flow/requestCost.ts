/** What a finished request costs its team. */
import type { TokenCounts } from "../edgeTypes.js";

/** Events that an upstream may have sent after the last one that arrived before its stream was stopped. */
const EventsInFlight = 8;

/** What the cost depends on. */
export interface CostInput {
    readonly tokens: TokenCounts;
    readonly reservedTokens: number;
    /** Output tokens of one event; `undefined` when the service is no engine. */
    readonly tokensPerEvent: number | undefined;
    /** Events that were relayed, over all attempts. */
    readonly eventCount: number;
    /** Whether an upstream may have begun to work on the request. */
    readonly hasRun: boolean;
    /** Whether an attempt broke off, so that its output is not known. */
    readonly isInterrupted: boolean;
    /** Whether the edge stopped a running attempt. */
    readonly isAbandoned: boolean;
}

/**
 * The prompt counts once, the output as it was delivered. Where the output is not known, the whole reservation counts: a
 * team must not get more than it paid for.
 * @returns Tokens to charge.
 */
export function costOfRequest(input: CostInput): number {
    const { tokens, reservedTokens, tokensPerEvent, eventCount } = input;
    if (!input.hasRun) {
        return 0;
    }
    const isUnknown = input.isInterrupted || (input.isAbandoned && eventCount === 0) ||
        (tokensPerEvent === undefined && eventCount > 0);
    if (isUnknown) {
        return reservedTokens;
    }
    const countedEvents = eventCount + (input.isAbandoned ? EventsInFlight : 0);
    return Math.min(reservedTokens, tokens.promptTokens + countedEvents * (tokensPerEvent ?? 0));
}
