/** Interface of the HTTP client that calls upstreams. */
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
    /** Maximum wait for the first byte of the response body. */
    readonly firstByteTimeoutMs: number;
    /** Maximum pause between two chunks of the response body. */
    readonly progressTimeoutMs: number;
}

/** How a call ended at the level of the connection; the response itself is not checked. */
export type UpstreamCallOutcome =
    /** The body ended as its framing announced; one without framing ended with an orderly close. */
    | { readonly status: "ended"; }
    | {
        readonly status: "failed";
        /** Whether a byte of the request may have reached the upstream. */
        readonly sent: boolean;
        readonly timedOut: boolean;
        readonly reason: string;
    };

/** Receives the response to a call. */
export interface UpstreamCallListener {
    /** The head of the response arrived. */
    onHead(statusCode: number, headers: IncomingHttpHeaders): void;
    /** A chunk of the body arrived. */
    onData(chunk: Buffer): void;
    /** The call ended. Called once, and never after {@link UpstreamCall.cancel}. */
    onEnd(outcome: UpstreamCallOutcome): void;
}

/** A call in progress. */
export abstract class UpstreamCall {
    /** Whether a byte of the request may have reached the upstream. */
    abstract get sent(): boolean;
    /** Ends the call and destroys its connection. The listener is no longer called. */
    abstract cancel(): void;
    /** Stops reading until {@link UpstreamCall.resume}; the progress timeout is suspended. */
    abstract pause(): void;
    /** Continues reading after {@link UpstreamCall.pause} and restarts the progress timeout. */
    abstract resume(): void;
}

/** Calls upstreams over HTTP. */
export abstract class UpstreamClient {
    /** Starts a call. The listener is not called before this method returns. */
    abstract call(request: UpstreamCallRequest, listener: UpstreamCallListener): UpstreamCall;
    /** Cancels all calls and destroys all connections. */
    abstract close(): Promise<void>;
}

/** Timeouts of calls, in milliseconds. */
export interface UpstreamTimeouts {
    readonly connectTimeoutMs: number;
    /** Idle connections are closed after this time. */
    readonly keepAliveMs: number;
}
