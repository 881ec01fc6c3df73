/** The failure that ends the course of a request. */
import type { ResultCodeName } from "../base/resultCodes.js";
import type { ErrorResponse } from "./callerResponse.js";

/** Ends the course of a request with an error answer. */
export class RequestError extends Error {
    readonly response: ErrorResponse;

    constructor(failure: ErrorResponse) {
        super(failure.code);
        this.response = failure;
    }
}

/** @returns A failure with only a code and the time after which to try again. */
export function createRefusalError(code: ResultCodeName, retryAfterMs?: number): RequestError {
    return new RequestError({ code, retryAfterMs });
}
