/** Sources of randomness. Code takes random numbers for decisions only from a {@link Random}, so that runs can be replayed. */
import { randomBytes } from "node:crypto";

/** Source of random numbers. */
export abstract class Random {
    /** @returns A number in [0, 1). */
    abstract next(): number;

    /**
     * @param limit Exclusive upper bound, at least 1.
     * @returns An integer in [0, limit).
     */
    integer(limit: number): number {
        return Math.floor(this.next() * limit);
    }

    /**
     * @param length Number of hexadecimal digits.
     * @returns A random hexadecimal string.
     */
    hex(length: number): string {
        let digits = "";
        while (digits.length < length) {
            digits += this.integer(16).toString(16);
        }
        return digits;
    }
}

/** Uses `Math.random` for numbers, and random bytes of the operating system for identifiers in hexadecimal digits. */
export class SystemRandom extends Random {
    override next(): number {
        return Math.random();
    }

    override hex(length: number): string {
        return randomBytes(Math.ceil(length / 2)).toString("hex").slice(0, length);
    }
}

/** Reproducible pseudo-random numbers (mulberry32). */
export class SeededRandom extends Random {
    #state: number;

    /** @param seed Any 32-bit integer. */
    constructor(seed: number) {
        super();
        this.#state = seed >>> 0;
    }

    override next(): number {
        this.#state = (this.#state + 0x6d2b79f5) >>> 0;
        let mixed = this.#state;
        mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
    }
}
