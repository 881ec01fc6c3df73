/**
 * The store, reached through another host while this host cannot reach it itself. When the store turns some hosts away, or some
 * hosts are cut off from it, the others still reach it: with their help a host keeps its configuration and list of upstreams
 * up to date, and its spending records young, which keeps tokens from being held back or counted as at risk.
 */
import type { Clock } from "../../base/clock.js";
import type { Counters } from "../../base/counters.js";
import { log } from "../../base/log.js";
import type { CircuitBreakerStore } from "../../platform/circuitBreakerStore.js";
import {
    type ListOutcome,
    PlatformStore,
    type ReadOutcome,
    type WatchOutcome,
    type WriteOutcome,
} from "../../platform/platformStore.js";
import { EdgeCounterNames } from "../metrics.js";
import type { ProxyOutcome, StoreProxyClient } from "./storeProxyClient.js";
import type { StoreCall, StoreCallOutcome } from "./storeProxyMessages.js";

/** Maximum number of hosts that one call asks. In a larger fleet each host asks others, so most find one that helps. */
const MaxHostsPerCall = 3;

/** Time for which a host that cannot reach the store either is not asked, in milliseconds; it says so at once. */
const UnreachableThereMs = 700;

/** Time for which a host that did not respond is not asked, in milliseconds; a process is replaced in one to three seconds. */
const FailedMs = 3_000;

/** Maximum wait of a watch through another host, in milliseconds. */
const MaxRelayedWaitMs = 1_000;

/** Collaborators of a {@link PeerRoutedStore}. */
export interface PeerRoutedStoreDependencies {
    /** This host's own access to the store. */
    readonly store: CircuitBreakerStore;
    readonly client: StoreProxyClient;
    readonly clock: Clock;
    readonly counters: Counters;
    /** Key that is read to find out whether the store is reachable again. */
    readonly probeKey: string;
    /** @returns Addresses of the other hosts, those to ask first in front; the same object until they change. */
    helpers(): readonly string[];
}

/** Sends calls to the store, or through another host while the own circuit is open. */
export class PeerRoutedStore extends PlatformStore {
    readonly #dependencies: PeerRoutedStoreDependencies;
    readonly #avoidedUntilMs = new Map<string, number>();
    /** Host that made the latest call for this one; `undefined` while none helps. */
    #helper: string | undefined;

    constructor(dependencies: PeerRoutedStoreDependencies) {
        super();
        this.#dependencies = dependencies;
    }

    override get(key: string): Promise<ReadOutcome> {
        return this.#route(store => store.get(key), { call: "get", key }, toReadFailure);
    }

    override put(key: string, value: unknown, expectedVersion: number): Promise<WriteOutcome> {
        return this.#route(
            store => store.put(key, value, expectedVersion),
            { call: "put", key, value, expectedVersion },
            toWriteFailure,
        );
    }

    /** Not sent by way of another host: other hosts write the same status. */
    override putStatus(key: string, status: unknown, expectedVersion: number): Promise<WriteOutcome> {
        return this.#dependencies.store.putStatus(key, status, expectedVersion);
    }

    override delete(key: string, expectedVersion: number): Promise<WriteOutcome> {
        return this.#route(
            store => store.delete(key, expectedVersion),
            { call: "delete", key, expectedVersion },
            toWriteFailure,
        );
    }

    override list(prefix: string, afterKey: string, limit: number): Promise<ListOutcome> {
        return this.#route(
            store => store.list(prefix, afterKey, limit),
            { call: "list", prefix, afterKey, limit },
            toReadFailure,
        );
    }

    override watch(prefix: string, afterRevision: number, waitMs: number): Promise<WatchOutcome> {
        const relayedWaitMs = Math.min(waitMs, MaxRelayedWaitMs);
        return this.#route(
            store => store.watch(prefix, afterRevision, waitMs),
            { call: "watch", prefix, afterRevision, waitMs: relayedWaitMs },
            toReadFailure,
        );
    }

    /**
     * Makes a call.
     * @param callStore Makes it directly.
     * @param call The same call for another host.
     * @param toFailure Returns the outcome when another host was asked but its response is missing.
     */
    async #route<T extends StoreOutcome>(
        callStore: (store: PlatformStore) => Promise<T>,
        call: StoreCall,
        toFailure: (reason: string) => T,
    ): Promise<T> {
        const { store, client, probeKey } = this.#dependencies;
        if (!store.isCircuitOpen) {
            this.#helper = undefined;
            return await callStore(store);
        }
        const candidates = this.#candidates();
        if (candidates.length === 0) {
            return await callStore(store);
        }
        // The call itself goes elsewhere, so it cannot serve as the probe of the own connection.
        void store.get(probeKey);
        for (const address of candidates) {
            const result = await client.send(address, call);
            this.#recordResult(address, call, result);
            if (result.status === "performed") {
                return result.outcome as T;
            }
            if (result.status === "failed") {
                return toFailure(result.reason);
            }
        }
        return await callStore(store);
    }

    /** @returns The hosts to ask, the one that helped last in front. */
    #candidates(): readonly string[] {
        const nowMs = this.#dependencies.clock.monotonicMs();
        const usable = this.#dependencies.helpers().filter(address =>
            nowMs >= (this.#avoidedUntilMs.get(address) ?? Number.NEGATIVE_INFINITY)
        );
        const ordered = this.#helper !== undefined && usable.includes(this.#helper) ?
            [this.#helper, ...usable.filter(address => address !== this.#helper)] :
            usable;
        return ordered.slice(0, MaxHostsPerCall);
    }

    #recordResult(address: string, { call }: StoreCall, result: ProxyOutcome): void {
        const { clock, counters } = this.#dependencies;
        if (result.status === "performed") {
            counters.add(EdgeCounterNames.storeCallsThroughHosts);
            if (this.#helper !== address) {
                this.#helper = address;
                log.info("store reached through another host", { address, call });
            }
            return;
        }
        const avoidMs = result.status === "failed" ? FailedMs : UnreachableThereMs;
        this.#avoidedUntilMs.set(address, clock.monotonicMs() + avoidMs);
        if (this.#helper === address || result.status === "failed") {
            this.#helper = undefined;
            log.info("store not reached through another host", { address, call, reason: result.reason });
        }
    }
}

type StoreOutcome = ReadOutcome | WriteOutcome | ListOutcome | WatchOutcome | StoreCallOutcome;

function toReadFailure(reason: string): { readonly status: "unavailable"; readonly reason: string; } {
    return { status: "unavailable", reason };
}

/** A write whose response is missing may have been applied, or may still be. */
function toWriteFailure(reason: string): { readonly status: "unknown"; readonly reason: string; } {
    return { status: "unknown", reason };
}
