/** What a chaos run records and what its checks read. */
import type { ExecutionState } from "../base/resultCodes.js";
import type { BudgetObject } from "../features/budget/budgetTypes.js";
import type { BillLine } from "../features/journal/journalTypes.js";
import type { Execution } from "../standins/upstream/executionLog.js";

/** Kinds of calls that the traffic consists of. */
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

/** How a call ended for its caller. `abandoned`: the caller's own timeout ended it. */
export type CallOutcome = "complete" | "refused" | "cut" | "broken" | "unreached" | "abandoned";

/** A call as its caller saw it. Times are milliseconds since the start of the run. */
export interface CallRecord extends PlannedCall {
    readonly hostId: string;
    /** Number of the router process under this host id, from 1. */
    readonly generation: number;
    readonly startMs: number;
    readonly endMs: number;
    readonly outcome: CallOutcome;
    readonly requestId: string;
    readonly errorName: string | undefined;
    readonly ran: ExecutionState | undefined;
    readonly replayed: boolean;
    /** Distinct `id` fields of the answer and its chunks. */
    readonly answerIds: readonly string[];
    /** Whether a stream contained `[DONE]`. */
    readonly done: boolean;
    readonly contentChunks: number;
    readonly promptTokens: number | undefined;
    readonly outputTokens: number | undefined;
    /** Body that the service received, and the number of its execution. */
    readonly echo: string | undefined;
    readonly executionNumber: number | undefined;
}

/** An execution with the name of its upstream. */
export type UpstreamExecution = Execution & { readonly upstream: string; };

/** A bill line with the incarnation that wrote it. */
export type HostBillLine = BillLine & { readonly hostKey: string; };

/** A graceful shutdown of a router process. */
export interface ShutdownRecord {
    readonly hostId: string;
    readonly generation: number;
    readonly signalledMs: number;
    /** Exit code; `undefined` when the process did not end in time. */
    readonly exitCode: number | undefined;
}

/** Configuration version in force, as a router process reported it. */
export interface ConfigSample {
    readonly hostId: string;
    readonly generation: number;
    readonly version: number;
    readonly atMs: number;
}

/** An acknowledged top-up. */
export interface TopUpRecord {
    readonly budget: string;
    readonly tokens: number;
    readonly operationId: string;
}

/** State of the budgets at one time. */
export interface BudgetSample {
    readonly atMs: number;
    readonly budget: string;
    readonly object: BudgetObject;
}

/** Everything the checks read. */
export interface Evidence {
    readonly calls: readonly CallRecord[];
    readonly executions: readonly UpstreamExecution[];
    readonly bills: readonly HostBillLine[];
    /** Budgets at the end. */
    readonly budgets: Readonly<Record<string, BudgetObject>>;
    /** Budgets during the run. */
    readonly budgetSamples: readonly BudgetSample[];
    readonly topUps: readonly TopUpRecord[];
    readonly shutdowns: readonly ShutdownRecord[];
    readonly configSamples: readonly ConfigSample[];
    /** Versions in force at the end, by host id; 0 when a router did not answer. */
    readonly finalVersions: Readonly<Record<string, number>>;
    /** States of all host records at the end, by host key. */
    readonly recordStates: Readonly<Record<string, string>>;
    /** Newest version in the store. */
    readonly storedVersion: number;
    readonly audit: { readonly exitCode: number; readonly output: string; };
    /** Tokens by budget that hosts sent and no record shows as received, from the audit. */
    readonly inTransferTokens: Readonly<Record<string, number>>;
    /** Time for which a router serves after SIGTERM. */
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
export type PropertyName = typeof PropertyNames[number];

/** A property that did not hold, with its evidence. */
export interface Violation {
    readonly property: PropertyName;
    readonly message: string;
    readonly evidence: unknown;
}
