/** Plans of plays of the quarantine model: the fleet, its traffic and its faults. */
import type { Random } from "../../base/random.js";
import { lognormal } from "../../standins/distributions.js";

/** Requests with a part that crashes upstreams. */
export interface DeadlyTraffic {
    /** Share of all requests. */
    readonly share: number;
    readonly startMs: number;
    readonly durationMs: number;
    /**
     * Place of the part: before or after the second part of the prompt, instead of it, or instead of it below one
     * first part that sound requests share.
     */
    readonly place: "before" | "after" | "second" | "oneFirst";
}

/** Crashes that no part causes. */
export interface FaultPlan {
    /** Mean time between crashes of single upstreams, in milliseconds. */
    readonly crashIntervalMs?: number;
    /** Times at which a quarter of the upstreams crashes within 100 ms. */
    readonly rackMs?: readonly number[];
    /** Times at which all upstreams begin to be stopped one after the other, some with requests in progress. */
    readonly releaseMs?: readonly number[];
    /** Times at which all upstreams crash one after the other. */
    readonly outageMs?: readonly number[];
    readonly outageDurationMs?: number;
    /** Mean time between restarts of single hosts, in milliseconds. */
    readonly hostRestartIntervalMs?: number;
    /** Share of messages between hosts that are lost. */
    readonly messageLoss?: number;
}

/** One play of the model. */
export interface QuarantinePlan extends FaultPlan {
    readonly seed: number;
    readonly hosts: number;
    readonly requestsPerS: number;
    readonly durationMs: number;
    readonly deadly?: DeadlyTraffic;
}

/** What a play has shown. */
export interface QuarantineFigures {
    /** Sends of requests with the deadly part to upstreams, repeats and trials too. */
    deadlySends: number;
    /** Crashes that the deadly part caused. */
    deadlyCrashes: number;
    /** Such sends later than 3 s after the fifth of these crashes. */
    lateDeadlySends: number;
    /** Most crashes that a host knew of when it quarantined the deadly part first. */
    maxCrashesAtQuarantine: number;
    /** Hosts that knew at least five crashes 3 s after the fifth, and those of them that had no quarantine. */
    informedHosts: number;
    informedHostsWithoutQuarantine: number;
    soundRequests: number;
    soundCompleted: number;
    /** Sound requests refused because of a part, by the kind of part. */
    refusedByFirstPart: number;
    refusedBySecondPart: number;
    /** Quarantines of sound parts, summed over the hosts. */
    falseQuarantines: number;
    /** Sound requests that were not repeated after a crash because their parts were suspected. */
    soundNotRepeated: number;
    crashes: number;
    messages: number;
    /** Most parts in one message. */
    maxMessageParts: number;
}

/** Parts of a request's prompt that other requests share. */
export interface ModelRequest {
    readonly isDeadly: boolean;
    readonly sharedPartIds: readonly string[];
}

export const DeadlyPartId = "deadly";

const FirstParts = 20;
const SecondParts = 157;

/** Draws prompts whose parts have very different shares of the requests. */
export class PromptSource {
    readonly #random: Random;
    readonly #firstShares: readonly number[];
    readonly #secondShares: readonly number[];

    constructor(random: Random) {
        this.#random = random;
        this.#firstShares = cumulativeShares(random, FirstParts, 0.5);
        this.#secondShares = cumulativeShares(random, SecondParts, 1.2);
    }

    /** @returns The shared parts of a request, in the order of the prompt. */
    next(deadly: DeadlyTraffic | undefined, nowMs: number): ModelRequest {
        const first = `first-${this.#draw(this.#firstShares)}`;
        // Each second part belongs to one first part.
        const second = `second-${this.#draw(this.#secondShares)}-of-${first}`;
        const isDeadly = deadly !== undefined && nowMs >= deadly.startMs &&
            nowMs < deadly.startMs + deadly.durationMs &&
            this.#random.next() < deadly.share;
        if (!isDeadly) {
            return { isDeadly, sharedPartIds: [first, second] };
        }
        const sharedPartIds = {
            before: [first, DeadlyPartId, second],
            after: [first, second, DeadlyPartId],
            second: [first, DeadlyPartId],
            oneFirst: ["first-0", DeadlyPartId],
        }[deadly.place];
        return { isDeadly, sharedPartIds };
    }

    #draw(shares: readonly number[]): number {
        const drawn = this.#random.next();
        return Math.max(0, shares.findIndex(share => drawn < share));
    }
}

function cumulativeShares(random: Random, count: number, sigma: number): readonly number[] {
    const weights = Array.from({ length: count }, () => lognormal(random, 1, sigma));
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    let sum = 0;
    return weights.map(weight => sum += weight / total);
}
