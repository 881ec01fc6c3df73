/** Numbered result codes. `docs/result-codes.md` lists them for callers and operators. */

/** Whether a request ran at an upstream; `unknown` if the router cannot tell. */
export type ExecutionState = "no" | "yes" | "unknown";

/** A result code as callers see it. */
export interface ResultCode {
    readonly code: number;
    readonly name: string;
    readonly httpStatus: number;
    /** Whether the request ran, if nothing more specific is known. */
    readonly ran: ExecutionState;
    readonly message: string;
}

function define(code: number, name: string, httpStatus: number, ran: ExecutionState, message: string): ResultCode {
    return { code, name, httpStatus, ran, message };
}

/** All result codes. 1xxx: caller's fault; 2xxx: budgets; 3xxx: capacity; 4xxx: idempotency; 5xxx: upstreams; 6xxx: the router. */
export const ResultCodes = {
    UnknownKey: define(1001, "UnknownKey", 401, "no", "the API key is missing or unknown"),
    UnknownModel: define(1002, "UnknownModel", 404, "no", "no rule offers this model to the team"),
    BodyTooLarge: define(1003, "BodyTooLarge", 413, "no", "the request body exceeds the limit"),
    MalformedBody: define(1004, "MalformedBody", 400, "no", "the request body is not a valid request"),
    UnknownRequestKind: define(1005, "UnknownRequestKind", 400, "no", "no such request kind is configured"),
    UnknownGrant: define(1006, "UnknownGrant", 403, "no", "the team holds no such priority grant"),
    UnknownService: define(1007, "UnknownService", 404, "no", "no rule offers this service to the team"),
    MalformedHeader: define(1008, "MalformedHeader", 400, "no", "a request header is malformed or repeated"),
    UnknownPath: define(1009, "UnknownPath", 404, "no", "no such path"),
    NoBudget: define(2001, "NoBudget", 402, "no", "the team has no budget for this request"),
    BudgetExhausted: define(2002, "BudgetExhausted", 402, "no", "the budget cannot cover the worst-case cost"),
    BudgetUnavailable: define(2003, "BudgetUnavailable", 503, "no", "budget tokens cannot be obtained at the moment"),
    Overloaded: define(3001, "Overloaded", 429, "no", "the expected wait exceeds the deadline of the request"),
    QueueFull: define(3002, "QueueFull", 429, "no", "the queue for this class of work is full"),
    NoUpstream: define(3003, "NoUpstream", 503, "no", "no usable upstream matches"),
    PartQuarantined: define(3004, "PartQuarantined", 503, "no", "a part of the prompt has crashed upstreams"),
    UpstreamLimited: define(3005, "UpstreamLimited", 503, "no", "the upstreams take no more requests at the moment"),
    KeyRequired: define(4001, "KeyRequired", 400, "no", "this work may not be repeated and needs an Idempotency-Key"),
    KeyReused: define(4002, "KeyReused", 422, "no", "the Idempotency-Key belongs to a different request"),
    RequestRunning: define(4003, "RequestRunning", 409, "unknown", "a request with this Idempotency-Key is running"),
    OutcomeUnknown: define(4004, "OutcomeUnknown", 409, "unknown", "whether the earlier request ran cannot be told"),
    ClaimUnavailable: define(
        4005,
        "ClaimUnavailable",
        503,
        "no",
        "the Idempotency-Key cannot be claimed at the moment",
    ),
    AnswerNotStored: define(4006, "AnswerNotStored", 409, "yes", "the request ran; its answer was too large to store"),
    UpstreamRefused: define(5001, "UpstreamRefused", 502, "no", "the upstream refused the request"),
    UpstreamFailed: define(
        5002,
        "UpstreamFailed",
        502,
        "unknown",
        "the upstream failed before its answer was complete",
    ),
    UpstreamTimeout: define(5003, "UpstreamTimeout", 504, "unknown", "the upstream made no progress in time"),
    AnswerMismatch: define(5004, "AnswerMismatch", 502, "unknown", "the upstream answered a different request"),
    StreamCut: define(5005, "StreamCut", 502, "yes", "the stream ended before the answer was complete"),
    NotReady: define(6001, "NotReady", 503, "no", "the router is not ready"),
    ShuttingDown: define(6002, "ShuttingDown", 503, "no", "the router is shutting down"),
    OperatorKeyInvalid: define(6003, "OperatorKeyInvalid", 401, "no", "the operator token is missing or wrong"),
    InternalError: define(6004, "InternalError", 500, "unknown", "the router failed"),
} as const satisfies Record<string, ResultCode>;

/** Name of a result code. */
export type ResultCodeName = keyof typeof ResultCodes;

/** @returns Whether callers take the status for a promise that the request has not run and never will. */
export function promisesNotRun(status: number): boolean {
    return status === 503 || status === 429 || status === 408 || status === 421;
}

/** Body of an error response. */
export interface ErrorBody {
    readonly error: {
        readonly code: number;
        readonly name: string;
        readonly message: string;
        readonly ran: ExecutionState;
    };
}

/**
 * Builds the body of an error response.
 * @param code Result code.
 * @param ran Overrides the state of the code if more is known.
 */
export function errorBody(code: ResultCode, ran: ExecutionState = code.ran): ErrorBody {
    return { error: { code: code.code, name: code.name, message: code.message, ran } };
}
