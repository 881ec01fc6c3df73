/**
 * Limits on the rate of requests to upstreams that have just started or have become cold again. A cold upstream crashes under more
 * requests than it tolerates; afterwards its rate is raised in steps.
 */
import { setBounded } from "../base/boundedMap.js";

/** One start of an upstream; a later start under the same id is a new one. */
export interface UpstreamStart {
    readonly id: string;
    readonly startedAtMs: number;
}

/** Phase of an upstream: `warming` while its rate is raised after the cold period. */
export type ColdPhase = "cold" | "warming" | "warm";

/** A cold or warming upstream. */
export interface ColdState {
    readonly upstream: UpstreamStart;
    /** Monotonic time at which the cold period ends, in milliseconds. */
    readonly coldUntilMs: number;
}

/** Maximum length of a cold period, in milliseconds; longer ones count as this. */
export const MaxColdMs = 600_000;

/** Multiples of the cold rate after the cold period, each for {@link WarmingStepMs}. */
const WarmingFactors = [2, 4] as const;
const WarmingStepMs = 1_000;

/** Maximum number of upstreams that are remembered; far more than there are. */
const MaxStates = 2_000;

/** Keeps the cold period of each upstream, by id: a request to an earlier start arrives at the later one if the address is the same. */
export class ColdStarts {
    readonly #states = new Map<string, ColdState>();

    /** @returns Whether no upstream is cold or warming. */
    get isEmpty(): boolean {
        return this.#states.size === 0;
    }

    /** @returns The cold and warming upstreams. */
    get states(): readonly ColdState[] {
        return [...this.#states.values()];
    }

    /** @returns The state of an upstream by its id, if it is cold or warming. */
    stateOf(id: string): ColdState | undefined {
        return this.#states.get(id);
    }

    /**
     * Records the remaining cold time of an upstream. 0 ends the cold period of one that was cold, whose warming begins, and has no
     * effect on others. What concerns an earlier start than the known one is ignored.
     * @param coldLeftMs Remaining time, in milliseconds; limited to 0 to {@link MaxColdMs}.
     */
    record(upstream: UpstreamStart, coldLeftMs: number, nowMs: number): void {
        const known = this.#states.get(upstream.id);
        if (known !== undefined && known.upstream.startedAtMs > upstream.startedAtMs) {
            return;
        }
        const leftMs = Number.isNaN(coldLeftMs) ? 0 : Math.min(MaxColdMs, Math.max(0, coldLeftMs));
        const isSameStart = known?.upstream.startedAtMs === upstream.startedAtMs;
        const isCold = known !== undefined && isSameStart && known.coldUntilMs > nowMs;
        if (leftMs === 0 && !isCold) {
            return;
        }
        const state = {
            upstream: { id: upstream.id, startedAtMs: upstream.startedAtMs },
            coldUntilMs: nowMs + leftMs,
        };
        setBounded(this.#states, upstream.id, state, MaxStates, () => false);
    }

    /**
     * @param coldRequestsPerS Requests per second that the upstream tolerates while it is cold; `undefined` or 0 for one without a limit.
     * @returns Requests per second that it may get from all hosts together; `undefined` when it is warm.
     */
    limitOf(upstream: UpstreamStart, coldRequestsPerS: number | undefined, nowMs: number): number | undefined {
        const state = this.#states.get(upstream.id);
        if (
            state === undefined || coldRequestsPerS === undefined || coldRequestsPerS <= 0 ||
            state.upstream.startedAtMs < upstream.startedAtMs
        ) {
            return undefined;
        }
        const warmingMs = nowMs - state.coldUntilMs;
        const factor = warmingMs < 0 ? 1 : WarmingFactors[Math.floor(warmingMs / WarmingStepMs)];
        return factor === undefined ? undefined : factor * coldRequestsPerS;
    }

    /** @returns Phase of the upstream with an id. */
    phaseOf(id: string, nowMs: number): ColdPhase {
        const state = this.#states.get(id);
        if (state === undefined || nowMs >= state.coldUntilMs + WarmingFactors.length * WarmingStepMs) {
            return "warm";
        }
        return nowMs < state.coldUntilMs ? "cold" : "warming";
    }

    /** Forgets an upstream, which has no limit then. */
    forget(id: string): void {
        this.#states.delete(id);
    }

    /** Forgets upstreams that are warm. */
    forgetWarm(nowMs: number): void {
        for (const id of this.#states.keys()) {
            if (this.phaseOf(id, nowMs) === "warm") {
                this.forget(id);
            }
        }
    }
}
