/** Routes of one host's calls to the store: where its watches go, and which hosts call the store in its place. */
import type { PeerHost } from "../budget/budgetManager.js";
import { orderStoreHelpers, selectWatchSource, type WatchSource } from "./watchSource.js";

/** The routes among one list of other hosts. */
interface Routes {
    readonly others: readonly PeerHost[];
    readonly watchSource: WatchSource<PeerHost>;
    readonly helpers: readonly string[];
}

const NoHosts: readonly PeerHost[] = [];

/** The routes depend only on the list of hosts and are recomputed when that changes. */
export class StoreRoutes {
    readonly #own: PeerHost;
    readonly #otherHosts: () => readonly PeerHost[] | undefined;
    #cached: Routes | undefined;

    /** @param otherHosts Returns the other hosts, the same object until they change; `undefined` before they are known. */
    constructor(own: PeerHost, otherHosts: () => readonly PeerHost[] | undefined) {
        this.#own = own;
        this.#otherHosts = otherHosts;
    }

    /** @returns Where this host sends its watches. */
    get watchSource(): WatchSource<PeerHost> {
        return this.#routes.watchSource;
    }

    /** @returns Addresses of the hosts that are asked to call the store while this host cannot reach it, in order. */
    get helpers(): readonly string[] {
        return this.#routes.helpers;
    }

    get #routes(): Routes {
        const others = this.#otherHosts() ?? NoHosts;
        if (this.#cached?.others !== others) {
            this.#cached = {
                others,
                watchSource: selectWatchSource([...others, this.#own], this.#own),
                helpers: orderStoreHelpers(others, this.#own),
            };
        }
        return this.#cached;
    }
}
