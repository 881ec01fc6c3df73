/** Base class of watchers that call an external system in a loop. */
import type { Random } from "../base/random.js";
import { Backoff, type BackoffBounds } from "./backoff.js";
import { Watcher, type WatcherContext } from "./routerDependencies.js";

/** A watcher that runs a loop until it is stopped and waits with backoff after failures. */
export abstract class PollingWatcher extends Watcher {
    protected readonly backoff: Backoff;

    constructor(bounds: BackoffBounds, random: Random) {
        super();
        this.backoff = new Backoff(bounds, random);
    }

    override start(context: WatcherContext): void {
        void this.run(context);
    }

    override stop(): void {
        this.backoff.stop();
    }

    /** Runs the loop; must return once `backoff.isStopped`. */
    protected abstract run(context: WatcherContext): Promise<void>;
}
