/** What a stop of the process means for one request. */
import type { ExecutionState } from "../../base/resultCodes.js";
import type { StopRefusal } from "../stop/stopAdmission.js";
import type { AttemptHistory } from "./attemptHistory.js";
import type { EdgeFailure } from "./callerResponse.js";
import type { EdgeRequest, FlowDependencies } from "./flowTypes.js";
import { expectedDurationMs, findStopRefusal } from "./stopCheck.js";
import type { StopLogFields } from "./stopMonitor.js";
import type { StreamRelay } from "./streamRelay.js";

/** Checks whether a request can end before the process stops, and records it if it cannot. */
export class RequestStop {
    readonly #dependencies: FlowDependencies;
    readonly #request: EdgeRequest;
    readonly #relay: StreamRelay;

    constructor(dependencies: FlowDependencies, request: EdgeRequest, relay: StreamRelay) {
        this.#dependencies = dependencies;
        this.#request = request;
        this.#relay = relay;
    }

    /** @returns Why the request must not be sent now; `undefined` if it may be. */
    findRefusal(): StopRefusal | undefined {
        return findStopRefusal(this.#dependencies, this.#request, this.#relay.eventCount);
    }

    /**
     * Records that the request is not sent because of the stop.
     * @param ran Whether it has run by earlier sends.
     * @returns Failure for the caller, and fields for the log line.
     */
    describeRefusal(
        { neededMs, remainingMs }: StopRefusal,
        ran: ExecutionState,
    ): { failure: EdgeFailure; details: StopLogFields; } {
        const { stopMonitor } = this.#dependencies;
        const affected = { arrivedAtMs: this.#request.arrivedAtMs, neededMs, remainingMs };
        return ran === "no" ?
            {
                failure: { code: "ShuttingDown", ran, retryAfterMs: 0 },
                details: stopMonitor.recordRefused(affected),
            } :
            { failure: { code: "UpstreamFailed", ran }, details: stopMonitor.describe(affected) };
    }

    /**
     * Records that the request is ended as the process stops now.
     * @returns Fields for the log line.
     */
    recordInterruption({ sendCount }: AttemptHistory): StopLogFields {
        const { stopMonitor, stopAdmission } = this.#dependencies;
        const { arrivedAtMs, deadlineAtMs } = this.#request;
        const { requestsEndAtMs } = stopAdmission;
        const affected = {
            arrivedAtMs,
            neededMs: expectedDurationMs(this.#dependencies, this.#request, deadlineAtMs - arrivedAtMs),
            remainingMs: requestsEndAtMs === undefined ? undefined : requestsEndAtMs - arrivedAtMs,
        };
        return sendCount === 0 ? stopMonitor.recordRefused(affected) : stopMonitor.recordCut(affected);
    }
}
