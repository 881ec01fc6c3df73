/** Small readings of the evidence that the checks share. */
import { SaleTokens } from "./chaosResources.js";
import type { CallRecord } from "./chaosTypes.js";

/** @returns Tokens of a complete answer. */
export function answerTokens(call: CallRecord): number {
    return call.echo === undefined ? (call.promptTokens ?? 0) + (call.outputTokens ?? 0) : SaleTokens;
}
