/** The limits of a process for what callers make it hold, derived from its settings. */
import type { EdgeSettings } from "../edgeSettings.js";

const BytesPerMb = 1_000_000;

/** Descriptors that the platform keeps for files. */
const FileDescriptors = 200;

/** Descriptors for listeners, the store and the process itself. */
const OwnDescriptors = 64;

/**
 * Fractions of the remaining descriptors. A request holds one of its caller and one of an upstream, so that every connection of a caller
 * can have a request.
 */
const CallerFraction = 0.4;
const UpstreamFraction = 0.4;
const PeerFraction = 0.15;
const OperatorFraction = 0.025;

/** Minimum number of connections of each listener. */
const MinConnections = 8;

/** Memory of a connection with one request, in bytes, without its body and response. */
export const ConnectionBytes = 8_192;

/** Limits of one process. A limit whose setting is absent is infinite. */
export interface ProcessLimits {
    /** Bodies, unread responses and pipelined requests together, in bytes. */
    readonly callerMemoryBytes: number;
    /** Connections of callers. */
    readonly callerConnections: number;
    /** Connections of other hosts. */
    readonly peerConnections: number;
    /** Connections of each of the listeners for readiness and metrics. */
    readonly operatorConnections: number;
    /** Open requests of callers, each of which may need a connection to an upstream. */
    readonly openRequests: number;
}

/** @returns The limits that follow from the memory and descriptors in the settings. */
export function deriveLimits({ memoryMb, maxDescriptors, callerLimits }: EdgeSettings): ProcessLimits {
    const memoryBytes = memoryMb === undefined ? Number.POSITIVE_INFINITY : memoryMb * BytesPerMb;
    const descriptors = maxDescriptors === undefined ?
        Number.POSITIVE_INFINITY :
        Math.max(0, maxDescriptors - FileDescriptors - OwnDescriptors);
    const byMemory = memoryBytes * callerLimits.connectionMemoryFraction / ConnectionBytes;
    const connections = (fraction: number): number =>
        Math.max(MinConnections, Math.floor(Math.min(descriptors * fraction, byMemory)));
    return {
        callerMemoryBytes: memoryBytes * callerLimits.memoryFraction,
        callerConnections: connections(CallerFraction),
        peerConnections: connections(PeerFraction),
        operatorConnections: connections(OperatorFraction),
        openRequests: connections(UpstreamFraction),
    };
}
