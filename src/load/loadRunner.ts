/** Runs a scenario as an open loop: sends each request when it is due, whether or not earlier ones have ended. */
import { setTimeout as delay } from "node:timers/promises";
import { SeededRandom } from "../base/random.js";
import { drawArrivals } from "./arrivals.js";
import { LoadClient } from "./loadClient.js";
import { type LoadRecords, TokenIntervalMs } from "./loadRecord.js";
import type { LoadScenario } from "./loadScenario.js";
import { type ClassSummary, LoadStatistics } from "./loadStatistics.js";

/** Result of a load run. */
export interface LoadResult {
    readonly summaries: readonly ClassSummary[];
    readonly records: LoadRecords;
    /** Maximum delay of sending after the due time, in milliseconds; a large one makes the figures unreliable. */
    readonly sendDelayMaxMs: number;
}

/** Called at the start of each phase with its name and its index. */
export type PhaseListener = (name: string, index: number) => void;

/** Runs a scenario to its end and waits for the responses, for at most the configured drain time. */
export async function runLoad(scenario: LoadScenario, onPhase: PhaseListener = () => undefined): Promise<LoadResult> {
    const random = new SeededRandom(scenario.seed);
    const arrivals = drawArrivals(scenario, random);
    const statistics = new LoadStatistics();
    const startedAtMs = Date.now();
    const originMs = performance.now();
    const nowMs = () => performance.now() - originMs;
    const tokensByInterval: number[] = [];
    const client = new LoadClient(random, scenario.timeoutMs, {
        onTokens: (arrival, count, gapMs) => {
            const interval = Math.floor(nowMs() / TokenIntervalMs);
            tokensByInterval[interval] = (tokensByInterval[interval] ?? 0) + count;
            if (gapMs !== undefined) {
                statistics.addGap(arrival.phase, arrival.requestClass, gapMs);
            }
        },
    }, nowMs);
    const phasesEnded = announcePhases(scenario, onPhase);
    const pending: Promise<void>[] = [];
    const records: LoadRecords["records"] = [];
    let sendDelayMaxMs = 0;
    for (const arrival of arrivals) {
        const waitMs = arrival.atMs - nowMs();
        if (waitMs > 1) {
            await delay(waitMs);
        }
        sendDelayMaxMs = Math.max(sendDelayMaxMs, nowMs() - arrival.atMs);
        const router = scenario.routers[random.integer(scenario.routers.length)]!;
        const sent = client.send(arrival, scenario.classes[arrival.requestClass]!, router);
        pending.push(sent.then(record => {
            statistics.add(record);
            records.push(record);
        }));
    }
    await phasesEnded;
    const allEnded = Promise.all(pending);
    await Promise.race([allEnded, delay(scenario.drainMs, undefined, { ref: false })]);
    // This makes requests that are still open fail immediately.
    await client.close();
    await allEnded;
    return {
        summaries: statistics.summaries(),
        records: { startedAtMs, tokensByInterval: Array.from(tokensByInterval, count => count ?? 0), records },
        sendDelayMaxMs,
    };
}

/** Calls the listener at the start of each phase and resolves at the end of the last one. */
async function announcePhases(scenario: LoadScenario, onPhase: PhaseListener): Promise<void> {
    const originMs = performance.now();
    let startMs = 0;
    for (const [index, phase] of scenario.phases.entries()) {
        await delay(Math.max(0, startMs - (performance.now() - originMs)));
        onPhase(phase.name, index);
        startMs += phase.durationMs;
    }
    await delay(Math.max(0, startMs - (performance.now() - originMs)));
}
