/** Interfaces of the external systems that a router process uses. Tests and benchmarks pass their own implementations. */
import type { Clock } from "../base/clock.js";
import type { Counters } from "../base/counters.js";
import type { Random } from "../base/random.js";
import type { Blackboard } from "../kernel/blackboard.js";
import type { PeerRequestReceived } from "../kernel/effectResults.js";
import type { RouterEvent } from "../kernel/events.js";
import type { PeerClient, PeerReply } from "../peer/peerMessages.js";
import type { ListedHost, PlatformStore } from "../platform/platformStore.js";

/** Sends requests to other routers and receives theirs. */
export abstract class PeerTransport {
    /** Client for requests to other routers. */
    abstract readonly client: PeerClient;

    /**
     * Starts listening for requests of other routers.
     * @param post Receives each request; a controller replies to it later.
     * @returns Port of the listener.
     */
    abstract start(post: (event: PeerRequestReceived) => void): Promise<number>;

    /** Replies to a received request, which `exchangeId` identifies. */
    abstract reply(exchangeId: string, reply: PeerReply): void;

    /** Closes the listener and all connections. */
    abstract stop(): Promise<void>;
}

/** The state that watchers read and the function to which they post events. */
export interface WatcherContext {
    readonly board: Blackboard;
    readonly post: (event: RouterEvent) => void;
}

/** Watches an external system for the whole life of the process and posts events about it. */
export abstract class Watcher {
    /** Starts watching. */
    abstract start(context: WatcherContext): void;
    /** Stops watching; no events are posted afterwards. */
    abstract stop(): void;
}

/** The external systems of a router process. */
export interface RouterDependencies {
    readonly store: PlatformStore;
    readonly peerTransport: PeerTransport;
    readonly watchers: readonly Watcher[];
    /** Closes the connections to the platform, after everything else has stopped. */
    closePlatformConnections(): Promise<void>;
}

/** Parts of the process that its dependencies may use. */
export interface RouterDependenciesContext {
    readonly clock: Clock;
    readonly random: Random;
    readonly counters: Counters;
    /** @returns The host's entry for the platform's list of hosts; `undefined` until the host listens. */
    readonly getHostIdentity: () => ListedHost | undefined;
}

/** Creates the dependencies of a router process. */
export type RouterDependenciesFactory = (context: RouterDependenciesContext) => RouterDependencies;
