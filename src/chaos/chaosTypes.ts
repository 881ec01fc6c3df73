/** Records of a chaos run, which its checks read. */
import type { ExecutionState } from "../base/resultCodes.js";
import type { BudgetObject } from "../features/budget/budgetTypes.js";
import type { BillLine } from "../features/journal/journalTypes.js";
import type { Execution } from "../standins/upstream/executionLog.js";

/** Kinds of calls in the traffic. */
export type CallKind = "chat" | "stream" | "keyedChat" | "sale" | "ticketSale";

/** A call before it is sent. */
export interface PlannedCall {
    readonly kind: CallKind;
    readonly team: string;
    readonly budget: string;
    /** `Idempotency-Key`, for keyed calls. */
    readonly key: string | undefined;
    readonly body: string;
}

/**
 * How a call ended for its caller. `cut`: the stream ended with an error event. `broken`: the connection failed or the body
 * could not be read. `unreached`: the connection was refused. `abandoned`: the timeout of the caller ended the call.
 */
export type CallOutcome = "complete" | "refused" | "cut" | "broken" | "unreached" | "abandoned";

/** A call and its result for the caller. Times are milliseconds since the start of the run. */
export interface CallRecord extends PlannedCall {
    readonly hostId: string;
    /** Number of the router process with this host id, starting at 1. */
    readonly generation: number;
    readonly startMs: number;
    readonly endMs: number;
    readonly outcome: CallOutcome;
    /** Value of `X-Request-Id`; empty when there was no response. */
    readonly requestId: string;
    readonly errorName: string | undefined;
    /** Whether the request ran, as its error states. */
    readonly ran: ExecutionState | undefined;
    /** Whether the response was replayed for the idempotency key. */
    readonly replayed: boolean;
    /** Distinct `id` fields of the response and its chunks. */
    readonly answerIds: readonly string[];
    /** Whether a stream contained `[DONE]`. */
    readonly done: boolean;
    readonly contentChunks: number;
    readonly promptTokens: number | undefined;
    readonly outputTokens: number | undefined;
    /** Body that the service received, as it returned it. */
    readonly echo: string | undefined;
    /** Number of the execution at the service. */
    readonly executionNumber: number | undefined;
}

/** An execution and the name of the upstream that ran it. */
export type UpstreamExecution = Execution & { readonly upstream: string; };

/** A bill line and the host key of the incarnation that wrote it. */
export type HostBillLine = BillLine & { readonly hostKey: string; };

/** A graceful shutdown of a router process. Times are milliseconds since the start of the run. */
export interface ShutdownRecord {
    readonly hostId: string;
    readonly generation: number;
    readonly signalledMs: number;
    /** Exit code; `undefined` when the process did not exit in time. */
    readonly exitCode: number | undefined;
}

/** Configuration version in force that a router process reported. */
export interface ConfigSample {
    readonly hostId: string;
    readonly generation: number;
    readonly version: number;
    readonly atMs: number;
}

/** A top-up. */
export interface TopUpRecord {
    readonly budget: string;
    readonly tokens: number;
    readonly operationId: string;
}

/** State of a budget at one time, in milliseconds since the start of the run. */
export interface BudgetSample {
    readonly atMs: number;
    readonly budget: string;
    readonly object: BudgetObject;
}

/** All records that the checks read. */
export interface Evidence {
    readonly calls: readonly CallRecord[];
    readonly executions: readonly UpstreamExecution[];
    readonly bills: readonly HostBillLine[];
    /** Budgets at the end. */
    readonly budgets: Readonly<Record<string, BudgetObject>>;
    /** Budgets during the run. */
    readonly budgetSamples: readonly BudgetSample[];
    /** Top-ups that were acknowledged. */
    readonly topUps: readonly TopUpRecord[];
    readonly shutdowns: readonly ShutdownRecord[];
    readonly configSamples: readonly ConfigSample[];
    /** Versions in force at the end, by host id; 0 when a router did not respond. */
    readonly finalVersions: Readonly<Record<string, number>>;
    /** States of all host records at the end, by host key. */
    readonly recordStates: Readonly<Record<string, string>>;
    /** Newest configuration version in the store. */
    readonly storedVersion: number;
    readonly audit: { readonly exitCode: number; readonly output: string; };
    /** Tokens by budget that hosts sent to peers and that no host record shows as received, from the audit. */
    readonly inTransferTokens: Readonly<Record<string, number>>;
    /** Time for which a router serves after SIGTERM, in milliseconds. */
    readonly balancerLagMs: number;
}

/** Names of the checked properties. */
export const PropertyNames = [
    "overspend",
    "topUpOnce",
    "atMostOnce",
    "refusedNotRun",
    "ownAnswer",
    "cutWithoutDone",
    "gracefulShutdown",
    "billedOnce",
    "audit",
    "configNeverReverts",
    "configEqual",
    "deadHostsClosed",
] as const;
/** Name of a checked property. */
export type PropertyName = typeof PropertyNames[number];

/** A violation of a property, with the records that show it. */
export interface Violation {
    readonly property: PropertyName;
    readonly message: string;
    readonly evidence: unknown;
}
