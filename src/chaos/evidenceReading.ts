/** Functions on the evidence that several checks use. */
import { SaleTokens } from "./chaosResources.js";
import type { CallRecord } from "./chaosTypes.js";

/** @returns Tokens that a call with a complete response must be billed. */
export function responseTokens(call: CallRecord): number {
    return call.echo === undefined ? (call.promptTokens ?? 0) + (call.outputTokens ?? 0) : SaleTokens;
}
