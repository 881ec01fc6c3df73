/** Follows the platform's list of hosts. */
import type { Random } from "../base/random.js";
import type { HostList } from "../platform/platformStore.js";
import { PollingWatcher } from "./pollingWatcher.js";
import type { WatcherContext } from "./routerDependencies.js";

/** Interval of the polls. */
const PollIntervalMs = 10_000;

/** Interval of the first polls: the list lags, and a new host needs to find its peers soon. */
const FirstPollIntervalMs = 1_000;
const FirstPollCount = 3;

/** Bounds of the waits after a failure. */
const BackoffBounds = { minMs: 500, maxMs: PollIntervalMs } as const;

/** What the poller works with. */
export interface HostListPollerDependencies {
    readonly hostList: HostList;
    readonly random: Random;
}

/** Posts the list of hosts, with the whole list only when its revision has changed. */
export class HostListPoller extends PollingWatcher {
    readonly #dependencies: HostListPollerDependencies;
    #revision = -1;
    #pollCount = 0;

    constructor(dependencies: HostListPollerDependencies) {
        super(BackoffBounds, dependencies.random);
        this.#dependencies = dependencies;
    }

    protected override async run(target: WatcherContext): Promise<void> {
        while (!this.backoff.isStopped) {
            const outcome = await this.#dependencies.hostList.hosts(this.#revision);
            if (this.backoff.isStopped) {
                return;
            }
            target.post({ type: "hostsListed", outcome });
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
