/** Events and notifications of the lifecycle feature. */

/** Events of the lifecycle feature. */
export type LifecycleEvent =
    /** The process received a termination signal, or an operator requested a drain. */
    | { readonly type: "shutdownRequested"; }
    /** The gateway began to handle a request. */
    | { readonly type: "requestEntered"; }
    /** The gateway has finished a request. */
    | { readonly type: "requestLeft"; };

/** Notifies the process that the shutdown is complete and it may exit. */
export interface ShutdownCompleted {
    readonly type: "shutdownCompleted";
}
