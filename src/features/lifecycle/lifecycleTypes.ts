/** Readiness and shutdown: events. */

/** Events of the lifecycle feature. */
export type LifecycleEvent =
    /** A termination signal, or a drain by an operator. */
    | { readonly type: "shutdownRequested"; }
    | { readonly type: "requestEntered"; }
    | { readonly type: "requestLeft"; };

/** Tells the process that everything has been returned and it may exit. */
export interface ShutdownCompleted {
    readonly type: "shutdownCompleted";
}
