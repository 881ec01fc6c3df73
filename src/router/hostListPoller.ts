/** Polls the platform's list of hosts. */
import type { Random } from "../base/random.js";
import type { HostList } from "../platform/platformStore.js";
import { PollingWatcher } from "./pollingWatcher.js";
import type { WatcherContext } from "./routerDependencies.js";

/** Interval between two polls, before jitter. */
const PollIntervalMs = 10_000;

/** Interval between the first polls, because the list lags and a new host has to find its peers soon. */
const FirstPollIntervalMs = 1_000;
const FirstPollCount = 3;

/** Bounds of the waits after a failure. */
const BackoffBounds = { minMs: 500, maxMs: PollIntervalMs } as const;

/** Collaborators of {@link HostListPoller}. */
export interface HostListPollerDependencies {
    readonly hostList: HostList;
    readonly random: Random;
}

/** Polls the list of hosts and posts each outcome, which contains the full list only when its revision has changed. */
export class HostListPoller extends PollingWatcher {
    readonly #dependencies: HostListPollerDependencies;
    #revision = -1;
    #pollCount = 0;

    constructor(dependencies: HostListPollerDependencies) {
        super(BackoffBounds, dependencies.random);
        this.#dependencies = dependencies;
    }

    protected override async run(context: WatcherContext): Promise<void> {
        while (!this.backoff.isStopped) {
            const outcome = await this.#dependencies.hostList.hosts(this.#revision);
            if (this.backoff.isStopped) {
                return;
            }
            context.post({ type: "hostsListed", outcome });
            if (outcome.status === "unavailable") {
                await this.backoff.waitAfterFailure();
                continue;
            }
            this.#revision = outcome.revision;
            this.backoff.reset();
            this.#pollCount++;
            await this.backoff.wait(this.#pollCount <= FirstPollCount ? FirstPollIntervalMs : PollIntervalMs);
        }
    }
}
