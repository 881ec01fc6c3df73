/** Events and notifications of the lifecycle feature. */

/** Events of the lifecycle feature. */
export type LifecycleEvent =
    /** The process received a termination signal, or an operator requested a drain. */
    | {
        readonly type: "shutdownRequested";
        /** Time after which the process ends; absent for a drain, which waits for every request. */
        readonly timeoutMs?: number;
    }
    /** The gateway began to handle a request. */
    | { readonly type: "requestEntered"; }
    /** The gateway has finished a request. */
    | { readonly type: "requestLeft"; };

/** Notifies the gateway that requests must end by `requestsEndAtMs` of the lifecycle board, or earlier than before. */
export interface RequestsLimited {
    readonly type: "requestsLimited";
}

/** Notifies the gateway that the end of requests has come: what is still open must be answered and settled now. */
export interface RequestsEnded {
    readonly type: "requestsEnded";
}

/** Notifies the process that the shutdown is complete and it may exit. */
export interface ShutdownCompleted {
    readonly type: "shutdownCompleted";
}
