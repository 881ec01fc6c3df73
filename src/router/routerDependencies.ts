/** What a router process is connected to. Tests and benches pass their own dependencies here. */
import type { Clock } from "../base/clock.js";
import type { Counters } from "../base/counters.js";
import type { Random } from "../base/random.js";
import type { Blackboard } from "../kernel/blackboard.js";
import type { PeerRequestReceived } from "../kernel/effectResults.js";
import type { RouterEvent } from "../kernel/events.js";
import type { PeerClient, PeerReply } from "../peer/peerMessages.js";
import type { ListedHost, PlatformStore } from "../platform/platformStore.js";

/** Calls to and from other routers. */
export abstract class PeerTransport {
    abstract readonly client: PeerClient;

    /**
     * Starts to listen.
     * @param post Takes a request; a controller answers it later.
     * @returns Port of the listener.
     */
    abstract start(post: (event: PeerRequestReceived) => void): Promise<number>;

    /** Answers a request. */
    abstract reply(exchangeId: string, reply: PeerReply): void;

    /** Closes the listener and all connections. */
    abstract stop(): Promise<void>;
}

/** Where watchers post what they find. */
export interface WatcherContext {
    readonly board: Blackboard;
    readonly post: (event: RouterEvent) => void;
}

/** Follows an outside system for the whole life of the process and posts events. */
export abstract class Watcher {
    abstract start(target: WatcherContext): void;
    abstract stop(): void;
}

/** The outside systems of a router process. */
export interface RouterDependencies {
    readonly store: PlatformStore;
    readonly peerTransport: PeerTransport;
    readonly watchers: readonly Watcher[];
    /** Closes the connections to the platform, after everything else has stopped. */
    closePlatformConnections(): Promise<void>;
}

/** What the dependencies may use of the process. */
export interface RouterDependenciesContext {
    readonly clock: Clock;
    readonly random: Random;
    readonly counters: Counters;
    /** @returns How the host shows itself to the platform; `undefined` until it listens. */
    readonly getHostIdentity: () => ListedHost | undefined;
}

/** Builds the dependencies. */
export type RouterDependenciesFactory = (context: RouterDependenciesContext) => RouterDependencies;
