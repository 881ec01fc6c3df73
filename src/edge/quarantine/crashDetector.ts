/** Tells crashes of upstreams from answers that broke off for other reasons. */
import type { Clock } from "../../base/clock.js";
import { log } from "../../base/log.js";
import type { Upstream } from "../upstream/upstream.js";
import type { UpstreamDirectory } from "../upstream/upstreamDirectory.js";
import type { ProbeResult, UpstreamProber } from "../upstream/upstreamProber.js";
import type { UpstreamCrash } from "./quarantineTypes.js";

/** Time for which the list of upstreams may confirm a crash that a probe did not show, in milliseconds. */
const ConfirmationMs = 5_000;

/** Maximum number of answers that wait for a confirmation; the oldest ones are given up. */
const MaxPending = 500;

/** A request whose answer broke off. */
interface BrokenAnswer {
    readonly upstream: Upstream;
    readonly sharedPartIds: readonly string[];
    readonly brokenOffAtMs: number;
    readonly result: ProbeResult;
}

/** Collaborators of {@link CrashDetector}. */
export interface CrashDetectorDependencies {
    readonly clock: Clock;
    readonly directory: UpstreamDirectory;
    readonly prober: UpstreamProber;
    /** Called for each request that was open at an upstream when that crashed, with the shared parts of its prompt. */
    onCrash(crash: UpstreamCrash, sharedPartIds: readonly string[]): void;
}

/** Examines answers that broke off. An upstream that was leaving ends as planned, which is no crash. */
export class CrashDetector {
    readonly #dependencies: CrashDetectorDependencies;
    #pending: BrokenAnswer[] = [];

    constructor(dependencies: CrashDetectorDependencies) {
        this.#dependencies = dependencies;
    }

    /** Examines an answer that has just broken off. Resolves when the probe of its upstream has ended. */
    async examine(upstream: Upstream, sharedPartIds: readonly string[]): Promise<void> {
        if (upstream.isLeaving) {
            return;
        }
        const brokenOffAtMs = this.#dependencies.clock.monotonicMs();
        const result = await this.#dependencies.prober.probe(upstream);
        const broken = { upstream, sharedPartIds, brokenOffAtMs, result };
        if (result === "ended") {
            this.#report(broken);
            return;
        }
        this.#pending.push(broken);
        this.#pending.splice(0, this.#pending.length - MaxPending);
    }

    /** Reports crashes that the list of upstreams confirms; called regularly. */
    tick(): void {
        if (this.#pending.length === 0) {
            return;
        }
        const oldestMs = this.#dependencies.clock.monotonicMs() - ConfirmationMs;
        const recent = this.#pending.filter(({ brokenOffAtMs }) => brokenOffAtMs >= oldestMs);
        this.#pending = recent.filter(broken => !this.#isConfirmed(broken));
        recent.filter(broken => !this.#pending.includes(broken)).forEach(broken => {
            log.info("upstream crash confirmed by the list of upstreams", {
                upstream: broken.upstream.entry.id,
                probe: broken.result,
                parts: broken.sharedPartIds.join(","),
            });
            this.#report(broken);
        });
    }

    /** An accepted probe may have reached a new incarnation. A missing entry alone may also mean a planned stop. */
    #isConfirmed({ upstream, result }: BrokenAnswer): boolean {
        const { directory } = this.#dependencies;
        return directory.isReplaced(upstream) || (result === "undecided" && !directory.isListed(upstream));
    }

    #report({ upstream, sharedPartIds, brokenOffAtMs }: BrokenAnswer): void {
        this.#dependencies.onCrash(
            { upstreamId: upstream.entry.id, startedAtMs: upstream.entry.startedAtMs, crashedAtMs: brokenOffAtMs },
            sharedPartIds,
        );
    }
}
