/** One chaos run: start, traffic with failures, healing, checks. */
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

const QuietCheckMs = 2_000;

/** How a run is done. */
export interface ChaosOptions {
    readonly seed: number;
    /** Duration of the traffic. */
    readonly durationMs: number;
    readonly ratePerS: number;
    readonly maxRequests: number;
    readonly maxFailures: number;
    readonly failureKinds: readonly FailureKind[];
    /** Longest wait after healing until everything adds up. */
    readonly quietTimeoutMs: number;
    readonly keepFiles: boolean;
    readonly onProgress: (message: string) => void;
}

/** Result of a run. */
export interface ChaosResult {
    readonly evidence: Evidence;
    readonly failures: Readonly<Record<string, number>>;
    readonly operatorExits: Readonly<Record<string, number>>;
    /** Time from healing until everything added up, or until the wait was given up. */
    readonly quietMs: number;
    readonly violations: readonly Violation[];
    /** Directory of settings and logs, if it was kept. */
    readonly directory: string | undefined;
}

/** Runs once. */
export class ChaosRun {
    readonly #options: ChaosOptions;
    readonly #deployment = new ChaosDeployment();
    readonly #startedAtMs = performance.now();

    constructor(options: ChaosOptions) {
        this.#options = options;
    }

    /** Ends all processes of the run at once. */
    abort(): Promise<void> {
        return this.#deployment.stop(this.#options.keepFiles);
    }

    /** Runs from start to stop. */
    async run(): Promise<ChaosResult> {
        let keepFiles = this.#options.keepFiles;
        try {
            await this.#deployment.start();
            const result = await this.#disturb();
            keepFiles ||= result.violations.length > 0;
            return { ...result, directory: keepFiles ? this.#deployment.directory : undefined };
        }
        finally {
            await this.#deployment.stop(keepFiles);
        }
    }

    async #disturb(): Promise<Omit<ChaosResult, "directory">> {
        const { seed, durationMs, ratePerS, maxRequests, maxFailures, failureKinds, onProgress } = this.#options;
        const nowMs = (): number => performance.now() - this.#startedAtMs;
        const [trafficRandom, failureRandom, operatorRandom] = [1, 2, 3].map(part => new SeededRandom(seed * 4 + part));
        const traffic = new ChaosTraffic(this.#deployment, trafficRandom!, nowMs, maxRequests);
        const injector = new FailureInjector(this.#deployment, traffic, failureRandom!, nowMs, onProgress);
        const operators = new ChaosOperators(this.#deployment, operatorRandom!);
        const observer = new ChaosObserver(this.#deployment, nowMs);
        const ending = new AbortController();
        const observing = observer.run(ending.signal);
        const time = new AbortController();
        const parts = [
            traffic.run(ratePerS, time.signal),
            injector.run(failureKinds, maxFailures, time.signal),
            operators.run(time.signal),
            sleep(durationMs).then(() => time.abort()),
        ];
        await Promise.all(parts).catch(async (error: unknown) => {
            // The other parts end before the files that they write are removed.
            onProgress(`a part of the run failed: ${inspect(error)}`);
            time.abort();
            ending.abort();
            await Promise.allSettled(parts);
            throw error;
        });
        onProgress("healed; waiting until everything adds up");
        await this.#heal();
        await Promise.all([traffic.finish(), operators.finish()]);
        const healedMs = nowMs();
        const collect = () => collectEvidence(this.#deployment, observer, { traffic, injector, operators });
        const { evidence, violations } = await untilQuiet(collect, this.#options.quietTimeoutMs);
        ending.abort();
        await observing;
        return {
            evidence,
            violations,
            failures: Object.fromEntries(injector.counts),
            operatorExits: Object.fromEntries(operators.exits),
            quietMs: nowMs() - healedMs,
        };
    }

    /** Each failure heals itself; this makes sure that nothing is left. */
    async #heal(): Promise<void> {
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

/** Parts of a run that keep records. */
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

/** @returns Tokens in transfer by budget; none when the audit has printed something else. */
function readInTransfer(output: string): Record<string, number> {
    try {
        const { budgets } = AuditOutputSchema.parse(JSON.parse(output));
        return Object.fromEntries(budgets.map(({ budget, inTransferTokens }) => [budget, inTransferTokens]));
    }
    catch {
        return {};
    }
}

/** Records are written and dead hosts are sealed with a delay: a violation counts when it outlasts the wait. */
async function untilQuiet(
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
        await sleep(QuietCheckMs);
    }
}
