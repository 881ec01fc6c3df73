/** Random numbers of the distributions that models use. */
import type { Random } from "../base/random.js";

/** @returns A lognormally distributed number. */
export function lognormal(random: Random, median: number, sigma: number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
    return median * Math.exp(sigma * normal);
}

/** @returns An exponentially distributed time until the next of some independent events. */
export function exponential(random: Random, mean: number): number {
    return -mean * Math.log(1 - random.next());
}
