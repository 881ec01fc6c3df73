/** One chaos run: start, traffic with failures, removal of the failures, checks. */
import { setTimeout as sleep } from "node:timers/promises";
import { inspect } from "node:util";
import { z } from "zod";
import { SeededRandom } from "../base/random.js";
import { ChaosDeployment } from "./chaosDeployment.js";
import { FailureInjector, type FailureKind } from "./chaosFailures.js";
import { ChaosObserver } from "./chaosObserver.js";
import { ChaosOperators } from "./chaosOperators.js";
import { BalancerLagMs } from "./chaosResources.js";
import { ChaosTraffic } from "./chaosTraffic.js";
import type { Evidence, Violation } from "./chaosTypes.js";
import { checkAll } from "./checks.js";

/** Interval in which the checks are repeated at the end of a run, in milliseconds. */
const RecheckIntervalMs = 2_000;

/** Options of a chaos run. */
export interface ChaosOptions {
    readonly seed: number;
    /** Duration of the traffic, in milliseconds. */
    readonly durationMs: number;
    /** Mean number of new calls per second. */
    readonly ratePerS: number;
    readonly maxRequests: number;
    readonly maxFailures: number;
    readonly failureKinds: readonly FailureKind[];
    /** Maximum wait after the removal of the failures until all checks pass, in milliseconds. */
    readonly quietTimeoutMs: number;
    /** Whether settings and logs are kept; they are always kept after violations. */
    readonly keepFiles: boolean;
    readonly onProgress: (message: string) => void;
}

/** Result of a chaos run. */
export interface ChaosResult {
    readonly evidence: Evidence;
    /** Number of injected failures by kind. */
    readonly failures: Readonly<Record<string, number>>;
    /** Number of operator commands by name and exit code. */
    readonly operatorExits: Readonly<Record<string, number>>;
    /** Time from the removal of the failures until all checks passed or the wait timed out, in milliseconds. */
    readonly quietMs: number;
    readonly violations: readonly Violation[];
    /** Directory of settings and logs, if it was kept. */
    readonly directory: string | undefined;
}

/** Runs one deployment with traffic and failures, and checks its records. */
export class ChaosRun {
    readonly #options: ChaosOptions;
    readonly #deployment = new ChaosDeployment();
    readonly #startedAtMs = performance.now();

    constructor(options: ChaosOptions) {
        this.#options = options;
    }

    /** Ends all processes of the run immediately. */
    abort(): Promise<void> {
        return this.#deployment.stop(this.#options.keepFiles);
    }

    /** Starts the processes, runs traffic and failures, checks the evidence, and stops the processes. Works once. */
    async run(): Promise<ChaosResult> {
        let keepFiles = this.#options.keepFiles;
        try {
            await this.#deployment.start();
            const result = await this.#runWithFailures();
            keepFiles ||= result.violations.length > 0;
            return { ...result, directory: keepFiles ? this.#deployment.directory : undefined };
        }
        finally {
            await this.#deployment.stop(keepFiles);
        }
    }

    async #runWithFailures(): Promise<Omit<ChaosResult, "directory">> {
        const { seed, durationMs, ratePerS, maxRequests, maxFailures, failureKinds, onProgress } = this.#options;
        const nowMs = (): number => performance.now() - this.#startedAtMs;
        const [trafficRandom, failureRandom, operatorRandom] = [1, 2, 3].map(offset =>
            new SeededRandom(seed * 4 + offset)
        );
        const traffic = new ChaosTraffic(this.#deployment, trafficRandom!, nowMs, maxRequests);
        const injector = new FailureInjector(this.#deployment, traffic, failureRandom!, nowMs, onProgress);
        const operators = new ChaosOperators(this.#deployment, operatorRandom!);
        const observer = new ChaosObserver(this.#deployment, nowMs);
        const observerStop = new AbortController();
        const observation = observer.run(observerStop.signal);
        const trafficStop = new AbortController();
        const tasks = [
            traffic.run(ratePerS, trafficStop.signal),
            injector.run(failureKinds, maxFailures, trafficStop.signal),
            operators.run(trafficStop.signal),
            sleep(durationMs).then(() => trafficStop.abort()),
        ];
        await Promise.all(tasks).catch(async (error: unknown) => {
            // The other tasks must end before the files that they write are removed.
            onProgress(`a task of the run failed: ${inspect(error)}`);
            trafficStop.abort();
            observerStop.abort();
            await Promise.allSettled(tasks);
            throw error;
        });
        onProgress("removing the failures; waiting until all checks pass");
        await this.#removeFailures();
        await Promise.all([traffic.finish(), operators.finish()]);
        const healedMs = nowMs();
        const collect = () => collectEvidence(this.#deployment, observer, { traffic, injector, operators });
        const { evidence, violations } = await collectUntilValid(collect, this.#options.quietTimeoutMs);
        observerStop.abort();
        await observation;
        return {
            evidence,
            violations,
            failures: Object.fromEntries(injector.counts),
            operatorExits: Object.fromEntries(operators.exits),
            quietMs: nowMs() - healedMs,
        };
    }

    /** Removes all failures. Each one ends by itself; this ensures that none remains. */
    async #removeFailures(): Promise<void> {
        await this.#deployment.setPlatformFaults([]);
        await Promise.all(this.#deployment.upstreams.map(upstream =>
            this.#deployment.setUpstreamFaults(upstream, {
                leaving: false,
                silentRequests: 0,
                dyingRequests: 0,
                crossedRequests: 0,
                refusedRequests: 0,
                lateRequests: 0,
            })
        ));
        this.#deployment.routers.forEach(router => router.child?.kill("SIGCONT"));
    }
}

/** Components of a run that collect records. */
interface Recorders {
    readonly traffic: ChaosTraffic;
    readonly injector: FailureInjector;
    readonly operators: ChaosOperators;
}

async function collectEvidence(
    deployment: ChaosDeployment,
    observer: ChaosObserver,
    { traffic, injector, operators }: Recorders,
): Promise<Evidence> {
    const audit = await deployment.control("audit", "--output", "json");
    return {
        calls: traffic.calls,
        executions: await observer.readExecutions(),
        bills: await observer.readBills(),
        budgets: await observer.readBudgets(),
        budgetSamples: observer.budgetSamples,
        topUps: operators.topUps,
        shutdowns: injector.shutdowns,
        configSamples: observer.configSamples,
        finalVersions: await observer.readVersions(),
        recordStates: await observer.readRecordStates(),
        storedVersion: await observer.readStoredVersion(),
        audit,
        inTransferTokens: readInTransfer(audit.output),
        balancerLagMs: BalancerLagMs,
    };
}

const AuditOutputSchema = z.object({
    budgets: z.array(z.object({ budget: z.string(), inTransferTokens: z.number() })),
});

/** @returns Tokens in transfer by budget; none when the output of the audit cannot be parsed. */
function readInTransfer(output: string): Record<string, number> {
    try {
        const { budgets } = AuditOutputSchema.parse(JSON.parse(output));
        return Object.fromEntries(budgets.map(({ budget, inTransferTokens }) => [budget, inTransferTokens]));
    }
    catch {
        return {};
    }
}

/**
 * Collects evidence until all checks pass or the timeout is over. Records are written and dead hosts are sealed with a delay, so
 * that only violations which remain at the end count.
 */
async function collectUntilValid(
    collect: () => Promise<Evidence>,
    timeoutMs: number,
): Promise<{ readonly evidence: Evidence; readonly violations: readonly Violation[]; }> {
    const deadlineMs = performance.now() + timeoutMs;
    for (;;) {
        const evidence = await collect();
        const violations = checkAll(evidence);
        if (violations.length === 0 || performance.now() > deadlineMs) {
            return { evidence, violations };
        }
        await sleep(RecheckIntervalMs);
    }
}
