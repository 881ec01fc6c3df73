/** The error that ends the processing of a request. */
import type { ResultCodeName } from "../base/resultCodes.js";
import type { ErrorResponse } from "./callerResponse.js";

/** Thrown to end the processing of a request; the caller gets `response` as an error response. */
export class RequestError extends Error {
    readonly response: ErrorResponse;

    constructor(failure: ErrorResponse) {
        super(failure.code);
        this.response = failure;
    }
}

/**
 * @param retryAfterMs Time after which the caller may try again; absent when a retry would not help.
 * @returns An error without details beyond its code.
 */
export function createRefusalError(code: ResultCodeName, retryAfterMs?: number): RequestError {
    return new RequestError({ code, retryAfterMs });
}
