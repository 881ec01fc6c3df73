/** Hash functions for keys, identifiers and rendezvous placement. */
import { createHash, timingSafeEqual } from "node:crypto";

/**
 * Hashes a text.
 * @param text Text to hash, as UTF-8.
 * @returns SHA-256 as 64 hexadecimal digits.
 */
export function sha256Hex(text: string): string {
    return createHash("sha256").update(text).digest("hex");
}

/**
 * Compares two strings of hexadecimal digits in constant time for a given length.
 * @returns Whether both strings are equal.
 */
export function equalHashes(left: string, right: string): boolean {
    const leftBytes = Buffer.from(left);
    const rightBytes = Buffer.from(right);
    return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
}

/**
 * Hashes a text with FNV-1a and a final mix. Not cryptographic; for placement only.
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

/** @returns A 32-bit hash of two 32-bit hashes. */
function mixHashes(left: number, right: number): number {
    let hash = Math.imul(left ^ Math.imul(right, 0x9e3779b1), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}

/** Candidates for rendezvous hashing with their precomputed hashes, for many placements among the same candidates. */
export class RendezvousSet {
    readonly #names: readonly string[];
    readonly #hashes: Uint32Array;

    /** @param names Names of the candidates. */
    constructor(names: readonly string[]) {
        this.#names = names;
        this.#hashes = Uint32Array.from(names, hash32);
    }

    /** @returns The best candidate for a key; `undefined` when there are no candidates. */
    best(key: string): string | undefined {
        const keyHash = hash32(key);
        let bestIndex = -1;
        let bestWeight = -1;
        this.#hashes.forEach((hash, index) => {
            const weight = mixHashes(hash, keyHash);
            if (weight > bestWeight) {
                bestIndex = index;
                bestWeight = weight;
            }
        });
        return this.#names[bestIndex];
    }

    /**
     * Tells whether a key is placed on a candidate.
     * @param key Key to place.
     * @param name Name of one candidate.
     * @param count Number of candidates that the key is placed on.
     * @returns Whether the candidate is among the `count` best for the key. Removing another candidate keeps it among them.
     */
    isPlacedOn(key: string, name: string, count: number): boolean {
        const keyHash = hash32(key);
        const ownIndex = this.#names.indexOf(name);
        if (ownIndex < 0) {
            return false;
        }
        const ownWeight = mixHashes(this.#hashes[ownIndex]!, keyHash);
        let betterCount = 0;
        for (let index = 0; index < this.#hashes.length && betterCount < count; index++) {
            const weight = mixHashes(this.#hashes[index]!, keyHash);
            if (weight > ownWeight || (weight === ownWeight && index < ownIndex)) {
                betterCount++;
            }
        }
        return betterCount < count;
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
