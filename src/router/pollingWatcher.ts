/** Base of watchers that call an outside system in a loop. */
import type { Random } from "../base/random.js";
import { Backoff, type BackoffBounds } from "./backoff.js";
import { Watcher, type WatcherContext } from "./routerDependencies.js";

/** A watcher whose loop runs until it is stopped and waits after failures. */
export abstract class PollingWatcher extends Watcher {
    protected readonly backoff: Backoff;

    constructor(bounds: BackoffBounds, random: Random) {
        super();
        this.backoff = new Backoff(bounds, random);
    }

    override start(target: WatcherContext): void {
        void this.run(target);
    }

    override stop(): void {
        this.backoff.stop();
    }

    /** Runs until `backoff.isStopped`. */
    protected abstract run(target: WatcherContext): Promise<void>;
}
