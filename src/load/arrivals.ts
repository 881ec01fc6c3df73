/** Draws the arrival times of an open-loop load. */
import type { Random } from "../base/random.js";
import type { LoadScenario, Phase } from "./loadScenario.js";

/** A request that is due at a certain time. */
export interface Arrival {
    /** Time since the start of the run, in milliseconds. */
    readonly atMs: number;
    /** Name of the phase. */
    readonly phase: string;
    /** Name of the request class. */
    readonly requestClass: string;
}

/**
 * Draws Poisson arrivals for all phases, by thinning a process with the maximum rate of each phase.
 * @returns Arrivals by time, the earliest first.
 */
export function drawArrivals(scenario: LoadScenario, random: Random): Arrival[] {
    const arrivals: Arrival[] = [];
    let startMs = 0;
    let previous: Phase | undefined;
    for (const phase of scenario.phases) {
        for (const requestClass of Object.keys(scenario.classes)) {
            const from = previous?.rates[requestClass] ?? 0;
            const to = phase.rates[requestClass] ?? 0;
            for (const offsetMs of drawOffsets(phase, from, to, random)) {
                arrivals.push({ atMs: startMs + offsetMs, phase: phase.name, requestClass });
            }
        }
        startMs += phase.durationMs;
        previous = phase;
    }
    return arrivals.sort((a, b) => a.atMs - b.atMs);
}

/** @returns Arrival times of one class since the start of a phase, in milliseconds; rates are requests per second. */
function drawOffsets(phase: Phase, from: number, to: number, random: Random): number[] {
    const maxRate = phase.rampMs > 0 ? Math.max(from, to) : to;
    const offsets: number[] = [];
    if (maxRate <= 0) {
        return offsets;
    }
    const meanGapMs = 1_000 / maxRate;
    let offsetMs = -Math.log(1 - random.next()) * meanGapMs;
    while (offsetMs < phase.durationMs) {
        const progress = phase.rampMs === 0 ? 1 : Math.min(1, offsetMs / phase.rampMs);
        if (random.next() * maxRate < from + (to - from) * progress) {
            offsets.push(offsetMs);
        }
        offsetMs += -Math.log(1 - random.next()) * meanGapMs;
    }
    return offsets;
}
