/** Keeps digests within their size limit. */
import { encode } from "@msgpack/msgpack";
import type { UpstreamStatus } from "../upstream/upstreamBoard.js";
import type { Digest, Member } from "./membershipTypes.js";

/** Largest encoded digest, in bytes. */
export const MaxDigestBytes = 1_024;

/** Bytes left for the envelope of the message and for the header of the member list. */
const EnvelopeBytes = 40;

/** Bounds of the parts that grow with the number of upstreams. */
const MaxInFlightBytes = 300;
const MaxLeavingBytes = 150;

/** @returns Encoded size in bytes. */
export function calculateEncodedSize(value: unknown): number {
    return encode(value, { ignoreUndefined: true }).length;
}

/** @returns The upstreams with the most requests in flight, as many as fit. */
export function selectBusiestUpstreams(statuses: ReadonlyMap<string, UpstreamStatus>): Record<string, number> {
    const busy = [...statuses].filter(([, status]) => status.inFlight > 0)
        .sort((a, b) => b[1].inFlight - a[1].inFlight);
    const fitting = takeWithin(busy, MaxInFlightBytes, ([name]) => name.length + 5);
    return Object.fromEntries(fitting.map(([name, status]) => [name, status.inFlight]));
}

/** @returns As many names as fit. */
export function selectFittingNames(names: readonly string[]): string[] {
    return takeWithin(names, MaxLeavingBytes, name => name.length + 2);
}

/**
 * Adds facts in the given order until the size limit is reached.
 * @returns The facts that fit.
 */
export function selectFittingMembers(base: Digest, candidates: Iterable<Member>): Member[] {
    const spareBytes = MaxDigestBytes - EnvelopeBytes - calculateEncodedSize(base);
    return takeWithin(candidates, spareBytes, calculateEncodedSize);
}

function takeWithin<T>(items: Iterable<T>, limitBytes: number, sizeOf: (item: T) => number): T[] {
    const taken: T[] = [];
    let totalBytes = 0;
    for (const item of items) {
        totalBytes += sizeOf(item);
        if (totalBytes > limitBytes) {
            break;
        }
        taken.push(item);
    }
    return taken;
}
