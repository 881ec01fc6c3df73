/** Calls to upstreams, as the relay sees them. */
import type { IncomingHttpHeaders } from "node:http";

/** A request to an upstream. */
export interface UpstreamCallRequest {
    /** Base URL of the upstream. */
    readonly url: string;
    readonly method: string;
    /** Path and query below the base URL; starts with a slash. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string | string[]>>;
    readonly body: Buffer | undefined;
    /** Longest wait for the first byte of the answer body. */
    readonly firstByteTimeoutMs: number;
    /** Longest pause between two pieces of the answer body. */
    readonly progressTimeoutMs: number;
}

/** End of a call, as far as the connection is concerned. */
export type UpstreamCallOutcome =
    | { readonly status: "ended"; }
    | {
        readonly status: "failed";
        /** Whether a byte of the request may have reached the upstream. */
        readonly sent: boolean;
        readonly timedOut: boolean;
        readonly reason: string;
    };

/** Receives the answer of a call. */
export interface UpstreamCallListener {
    /** The head of the answer arrived. */
    onHead(statusCode: number, headers: IncomingHttpHeaders): void;
    /** A piece of the body arrived. */
    onData(chunk: Buffer): void;
    /** The call ended. Called once, and never after {@link UpstreamCall.cancel}. */
    onEnd(ending: UpstreamCallOutcome): void;
}

/** A call in progress. */
export abstract class UpstreamCall {
    /** Whether a byte of the request may have reached the upstream. */
    abstract get sent(): boolean;
    /** Ends the call and destroys its connection. The listener is not called any more. */
    abstract cancel(): void;
    /** Stops reading until {@link UpstreamCall.resume}; the progress timeout is suspended. */
    abstract pause(): void;
    abstract resume(): void;
}

/** Calls upstreams over HTTP. */
export abstract class UpstreamClient {
    /** Starts a call. The listener is not called before this method returns. */
    abstract call(request: UpstreamCallRequest, listener: UpstreamCallListener): UpstreamCall;
    /** Destroys all connections. */
    abstract close(): Promise<void>;
}

/** Timeouts of calls, in milliseconds. */
export interface UpstreamTimeouts {
    readonly connectTimeoutMs: number;
    /** Idle connections are closed after this time. */
    readonly keepAliveMs: number;
}
