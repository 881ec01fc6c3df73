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

/** @returns A hash of two hashes. */
function mixHashes(left: number, right: number): number {
    let hash = Math.imul(left ^ Math.imul(right, 0x9e3779b1), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}

/** Candidates of a rendezvous with their hashes, for many placements among the same candidates. */
export class RendezvousSet {
    readonly #names: readonly string[];
    readonly #hashes: Uint32Array;

    /** @param names Names of the candidates. */
    constructor(names: readonly string[]) {
        this.#names = names;
        this.#hashes = Uint32Array.from(names, hash32);
    }

    /**
     * @param key Key to place.
     * @param name Name of one candidate.
     * @param count Number of candidates that the key is placed on.
     * @returns Whether the candidate is one of the best for the key. Removing another candidate never moves it out.
     */
    isPlacedOn(key: string, name: string, count: number): boolean {
        const keyHash = hash32(key);
        const ownIndex = this.#names.indexOf(name);
        if (ownIndex < 0) {
            return false;
        }
        const ownWeight = mixHashes(this.#hashes[ownIndex]!, keyHash);
        let better = 0;
        for (let index = 0; index < this.#hashes.length && better < count; index++) {
            const weight = mixHashes(this.#hashes[index]!, keyHash);
            if (weight > ownWeight || (weight === ownWeight && index < ownIndex)) {
                better++;
            }
        }
        return better < count;
    }
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
