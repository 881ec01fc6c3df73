/** Hash functions for keys, identifiers and rendezvous placement. */
import { createHash, timingSafeEqual } from "node:crypto";

/**
 * @param text Text to hash.
 * @returns SHA-256 as 64 hexadecimal digits.
 */
export function sha256Hex(text: string): string {
    return createHash("sha256").update(text).digest("hex");
}

/**
 * Compares two strings of hexadecimal digits in constant time.
 * @returns Whether both are equal.
 */
export function equalHashes(left: string, right: string): boolean {
    const leftBytes = Buffer.from(left);
    const rightBytes = Buffer.from(right);
    return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
}

/**
 * FNV-1a with a final mix, for placement only.
 * @returns An unsigned 32-bit integer.
 */
export function hash32(text: string): number {
    let hash = 0x811c9dc5;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
    }
    hash ^= hash >>> 16;
    hash = Math.imul(hash, 0x85ebca6b);
    hash ^= hash >>> 13;
    hash = Math.imul(hash, 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Orders candidates by rendezvous (highest random weight) hashing.
 * @param key Key to place.
 * @param candidates Names of the candidates.
 * @returns The candidates, best first. Removing one leaves the order of the others unchanged.
 */
export function rendezvousOrder(key: string, candidates: readonly string[]): string[] {
    return candidates
        .map(candidate => ({ candidate, weight: hash32(`${key}|${candidate}`) }))
        .sort((a, b) => b.weight - a.weight || (a.candidate < b.candidate ? -1 : 1))
        .map(entry => entry.candidate);
}
