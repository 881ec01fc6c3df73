/** The failure that ends the course of a request. */
import type { ResultCodeName } from "../base/resultCodes.js";
import type { Failure } from "./callerAnswer.js";

/** Ends the course of a request with an error answer. */
export class RequestFailure extends Error {
    readonly failure: Failure;

    constructor(failure: Failure) {
        super(failure.code);
        this.failure = failure;
    }
}

/** @returns A failure with only a code and the time after which to try again. */
export function refusal(code: ResultCodeName, retryAfterMs?: number): RequestFailure {
    return new RequestFailure({ code, retryAfterMs });
}
