/** A request without a complete response, as a stop of the process sees it. */
export interface OpenRequest {
    /** Refuses the request if it has yet to be sent and can no longer end before the process stops; called every few tens of milliseconds. */
    refuseIfLate(): void;
    /** Ends the request, as the process stops now. */
    interruptForStop(): void;
}
