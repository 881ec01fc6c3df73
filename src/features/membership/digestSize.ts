/** Selects the contents of a digest so that it stays within its size limit. */
import { encode } from "@msgpack/msgpack";
import type { UpstreamStatus } from "../upstream/upstreamBoard.js";
import type { Digest, Member } from "./membershipTypes.js";

/** Maximum size of an encoded digest, in bytes. */
export const MaxDigestBytes = 1_024;

/** Bytes reserved for the envelope of the message and for the header of the member list. */
const EnvelopeBytes = 40;

/** Maximum size of the requests in flight by upstream, in bytes. */
const MaxInFlightBytes = 300;
/** Maximum size of the names of leaving upstreams, in bytes. */
const MaxLeavingBytes = 150;

/** @returns Size of a value in MessagePack, in bytes. */
export function calculateEncodedSize(value: unknown): number {
    return encode(value, { ignoreUndefined: true }).length;
}

/** @returns Requests in flight by upstream name, for the busiest upstreams that fit into the size limit. */
export function selectBusiestUpstreams(statuses: ReadonlyMap<string, UpstreamStatus>): Record<string, number> {
    const busy = [...statuses].filter(([, status]) => status.inFlight > 0)
        .sort((a, b) => b[1].inFlight - a[1].inFlight);
    const fitting = takeWhileFitting(busy, MaxInFlightBytes, ([name]) => name.length + 5);
    return Object.fromEntries(fitting.map(([name, status]) => [name, status.inFlight]));
}

/** @returns The first names that fit into the size limit of leaving upstreams. */
export function selectFittingNames(names: readonly string[]): string[] {
    return takeWhileFitting(names, MaxLeavingBytes, name => name.length + 2);
}

/**
 * Selects member updates in the given order until the size limit of the digest is reached.
 * @param base The digest without member updates.
 * @returns The updates that fit.
 */
export function selectFittingMembers(base: Digest, candidates: Iterable<Member>): Member[] {
    const availableBytes = MaxDigestBytes - EnvelopeBytes - calculateEncodedSize(base);
    return takeWhileFitting(candidates, availableBytes, calculateEncodedSize);
}

function takeWhileFitting<T>(items: Iterable<T>, limitBytes: number, sizeOf: (item: T) => number): T[] {
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
