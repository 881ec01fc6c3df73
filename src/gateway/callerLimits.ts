/** Default limits on what callers make the process hold, from the memory and the descriptors of the process. */
import { readFileSync } from "node:fs";
import { totalmem } from "node:os";
import { getHeapStatistics } from "node:v8";
import type { GatewaySettings } from "./gatewaySettings.js";

/** Part of the memory that callers may make the process hold; the heap needs the rest. */
const MemoryFraction = 0.25;

/** Part of the heap for them: a request that waits is held in the heap. */
const HeapFraction = 0.5;

/** Descriptors for files and for connections that the process opens itself. */
const OtherDescriptors = 200;

/** Part of the other descriptors for callers: a request needs a second one to its upstream. */
const ConnectionFraction = 0.5;

/** Maximum number of connections where the descriptors are unknown. */
const DefaultMaxConnections = 4_096;

/** @returns Maximum memory that callers may make the process hold, in bytes. */
export function getCallerMemoryBytes({ callerMemoryBytes }: Pick<GatewaySettings, "callerMemoryBytes">): number {
    // Without a limit, the operating system reports 0 or a number above its memory.
    const constrainedBytes = process.constrainedMemory();
    const memoryBytes = constrainedBytes > 0 ? Math.min(constrainedBytes, totalmem()) : totalmem();
    return callerMemoryBytes ??
        Math.floor(Math.min(memoryBytes * MemoryFraction, getHeapStatistics().heap_size_limit * HeapFraction));
}

/** @returns Maximum number of connections of callers. */
export function getMaxConnections({ maxConnections }: Pick<GatewaySettings, "maxConnections">): number {
    if (maxConnections !== undefined) {
        return maxConnections;
    }
    const descriptors = readMaxDescriptors();
    return descriptors === undefined ?
        DefaultMaxConnections :
        Math.max(1, Math.floor((descriptors - OtherDescriptors) * ConnectionFraction));
}

/** @returns The limit on open descriptors; `undefined` if it is not known. */
function readMaxDescriptors(): number | undefined {
    try {
        const limit = /^Max open files\s+(\d+)/m.exec(readFileSync("/proc/self/limits", "utf8"))?.[1];
        return limit === undefined ? undefined : Number(limit);
    }
    catch {
        return undefined;
    }
}
