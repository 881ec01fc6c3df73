/** Injects seeded failures, at most two at a time. Each failure ends by itself. */
import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { match } from "ts-pattern";
import type { Random } from "../base/random.js";
import type { FaultInput } from "../standins/platform/faultInjector.js";
import type { ChaosDeployment, RouterSlot } from "./chaosDeployment.js";
import { BalancerLagMs, SuspicionMs } from "./chaosResources.js";
import type { ChaosTraffic } from "./chaosTraffic.js";
import type { ShutdownRecord } from "./chaosTypes.js";

const MaxActiveFailures = 2;
/** Maximum duration of a graceful shutdown, in milliseconds; the process is killed after it. */
const ShutdownTimeoutMs = 45_000;

/** Kinds of failures. */
export const FailureKinds = [
    "routerKilled",
    "routerPaused",
    "routerPausedShortly",
    "routerTerminated",
    "platformOutage",
    "platformLatency",
    "platformAnswersLost",
    "platformLateWrites",
    "platformStaleReads",
    "platformCutOff",
    "upstreamDying",
    "upstreamSilent",
    "upstreamCrossed",
    "upstreamLate",
    "upstreamRefusing",
    "upstreamLeaving",
] as const;
/** One of {@link FailureKinds}. */
export type FailureKind = typeof FailureKinds[number];

/** Injects failures, counts them, and records graceful shutdowns. */
export class FailureInjector {
    /** Number of injected failures by kind. */
    readonly counts = new Map<FailureKind, number>();
    readonly shutdowns: ShutdownRecord[] = [];
    readonly #deployment: ChaosDeployment;
    readonly #traffic: ChaosTraffic;
    readonly #random: Random;
    readonly #nowMs: () => number;
    readonly #onFailure: (message: string) => void;
    readonly #platformFaults = new Set<FaultInput>();
    readonly #active = new Set<Promise<void>>();
    /** Kinds that are drawn before any kind is drawn again. */
    #remainingKinds: FailureKind[] = [];

    constructor(
        deployment: ChaosDeployment,
        traffic: ChaosTraffic,
        random: Random,
        nowMs: () => number,
        onFailure: (message: string) => void,
    ) {
        this.#deployment = deployment;
        this.#traffic = traffic;
        this.#random = random;
        this.#nowMs = nowMs;
        this.#onFailure = onFailure;
    }

    /**
     * Injects failures until the signal is aborted or the maximum number is reached, then waits for the end of the last ones.
     * @param kinds Kinds to draw from.
     */
    async run(kinds: readonly FailureKind[], maxFailures: number, signal: AbortSignal): Promise<void> {
        for (let count = 0; count < maxFailures && !signal.aborted;) {
            await sleep(300 + this.#random.integer(1_700));
            if (this.#active.size < MaxActiveFailures && !signal.aborted) {
                count++;
                const done = this.#inject(this.#drawKind(kinds)).finally(() => this.#active.delete(done));
                this.#active.add(done);
            }
        }
        await Promise.all(this.#active);
    }

    #drawKind(kinds: readonly FailureKind[]): FailureKind {
        if (this.#remainingKinds.length === 0) {
            this.#remainingKinds = [...kinds];
        }
        return this.#remainingKinds.splice(this.#random.integer(this.#remainingKinds.length), 1)[0]!;
    }

    async #inject(kind: FailureKind): Promise<void> {
        this.counts.set(kind, (this.counts.get(kind) ?? 0) + 1);
        const durationMs = 1_000 + this.#random.integer(6_000);
        await match(kind)
            .with("routerKilled", () => this.#onRouter(kind, router => this.#kill(router, durationMs)))
            .with(
                "routerPaused",
                () => this.#onRouter(kind, router => this.#pause(router, SuspicionMs + 3_000 + durationMs)),
            )
            .with("routerPausedShortly", () => this.#onRouter(kind, router => this.#pause(router, durationMs / 3)))
            .with("routerTerminated", () => this.#onRouter(kind, router => this.#terminate(router)))
            .with(
                "platformOutage",
                "platformLatency",
                "platformAnswersLost",
                "platformLateWrites",
                "platformStaleReads",
                "platformCutOff",
                platformKind => this.#failPlatform(platformKind, this.#platformFault(platformKind), durationMs),
            )
            .with("upstreamDying", () =>
                this.#failUpstream(kind, {
                    dyingRequests: this.#drawBetween(2, 10),
                    dieAfterTokens: this.#random.integer(12),
                }))
            .with("upstreamSilent", () => this.#failUpstream(kind, { silentRequests: this.#drawBetween(1, 6) }))
            .with("upstreamCrossed", () => this.#failUpstream(kind, { crossedRequests: this.#drawBetween(1, 6) }))
            .with("upstreamLate", () =>
                this.#failUpstream(kind, {
                    lateRequests: this.#drawBetween(2, 10),
                    lateMs: 500 + this.#random.integer(5_000),
                }))
            .with("upstreamRefusing", () => this.#failUpstream(kind, { refusedRequests: this.#drawBetween(3, 20) }))
            .with("upstreamLeaving", async () => {
                const upstream = await this.#failUpstream(kind, { leaving: true });
                await sleep(durationMs);
                await this.#deployment.setUpstreamFaults(upstream, { leaving: false });
            })
            .exhaustive();
    }

    #drawBetween(min: number, max: number): number {
        return min + this.#random.integer(max - min + 1);
    }

    #reportFailure(kind: FailureKind, detail: string): void {
        this.#onFailure(`${(this.#nowMs() / 1_000).toFixed(1)} s: ${kind} ${detail}`);
    }

    /** Injects a failure at a random router that has none; skips it when all routers have one. */
    async #onRouter(kind: FailureKind, injectFailure: (router: RouterSlot) => Promise<void>): Promise<void> {
        const availableRouters = this.#deployment.routers.filter(router => !router.hasFailure);
        const router = availableRouters[this.#random.integer(Math.max(1, availableRouters.length))];
        if (router === undefined) {
            return;
        }
        router.hasFailure = true;
        this.#reportFailure(kind, router.hostId);
        await injectFailure(router);
        router.hasFailure = false;
    }

    async #kill(router: RouterSlot, downMs: number): Promise<void> {
        const child = router.child!;
        const exit = once(child, "exit");
        this.#traffic.startStreams(router, 3);
        await sleep(this.#random.integer(800));
        child.kill("SIGKILL");
        await exit;
        await sleep(downMs);
        this.#deployment.startRouter(router);
    }

    async #pause(router: RouterSlot, durationMs: number): Promise<void> {
        const child = router.child!;
        this.#traffic.startStreams(router, 2);
        child.kill("SIGSTOP");
        await sleep(durationMs);
        child.kill("SIGCONT");
    }

    async #terminate(router: RouterSlot): Promise<void> {
        const child = router.child!;
        const { hostId, generation } = router;
        const exit = once(child, "exit");
        this.#traffic.startStreams(router, 6);
        await sleep(100 + this.#random.integer(700));
        const signalledMs = this.#nowMs();
        child.kill("SIGTERM");
        const hasExited = await Promise.race([exit.then(() => true), sleep(ShutdownTimeoutMs, false, { ref: false })]);
        this.shutdowns.push({
            hostId,
            generation,
            signalledMs,
            exitCode: hasExited ? child.exitCode ?? -1 : undefined,
        });
        if (!hasExited) {
            child.kill("SIGKILL");
            await exit;
        }
        await sleep(this.#random.integer(BalancerLagMs));
        this.#deployment.startRouter(router);
    }

    #platformFault(kind: FailureKind): FaultInput {
        const manners = ["refuse", "drop", "silent"] as const;
        const manner = manners[this.#random.integer(manners.length)]!;
        const probability = 0.2 + 0.6 * this.#random.next();
        const delayMs = this.#drawBetween(100, 1_500);
        const hosts = this.#deployment.routers.map(router => router.hostId);
        const start = this.#random.integer(hosts.length);
        const cut = [...hosts, ...hosts].slice(start, start + this.#drawBetween(1, 2));
        return match(kind)
            .returnType<FaultInput>()
            .with("platformOutage", () => ({ type: "outage", manner }))
            .with("platformLatency", () => ({ type: "latency", delayMs }))
            .with("platformAnswersLost", () => ({ type: "answerLost", probability }))
            .with("platformLateWrites", () => ({ type: "appliedLate", delayMs, probability }))
            .with("platformStaleReads", () => ({ type: "staleReads", ageMs: 3 * delayMs }))
            .otherwise(() => ({ type: "cutOff", manner, hosts: cut }));
    }

    async #failPlatform(kind: FailureKind, fault: FaultInput, durationMs: number): Promise<void> {
        this.#reportFailure(kind, `${JSON.stringify(fault)} for ${durationMs} ms`);
        this.#platformFaults.add(fault);
        await this.#deployment.setPlatformFaults([...this.#platformFaults]);
        await sleep(durationMs);
        this.#platformFaults.delete(fault);
        await this.#deployment.setPlatformFaults([...this.#platformFaults]);
    }

    async #failUpstream(
        kind: FailureKind,
        faults: Record<string, unknown>,
    ): Promise<ChaosDeployment["upstreams"][number]> {
        const { upstreams } = this.#deployment;
        const upstream = upstreams[this.#random.integer(upstreams.length)]!;
        this.#reportFailure(kind, `${upstream.name} ${JSON.stringify(faults)}`);
        await this.#deployment.setUpstreamFaults(upstream, faults);
        return upstream;
    }
}
