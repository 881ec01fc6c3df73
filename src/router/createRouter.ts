/** Builds a router process with the platform connections, peer transport and watchers that a deployment uses. */
import type { Result } from "true-myth";
import { releaseHeap } from "../base/heapRelease.js";
import type { ConfigSnapshot } from "../features/config/configEvents.js";
import { loadSnapshot } from "../features/config/configSnapshot.js";
import { HttpHostList, HttpPlatformStore } from "../platform/httpPlatformStore.js";
import { PlatformClient } from "../platform/platformClient.js";
import type { PlatformStore } from "../platform/platformStore.js";
import { planRoute } from "../routing/planRoute.js";
import { ConfigWatcher } from "./configWatcher.js";
import { GrpcPeerTransport } from "./grpcPeerTransport.js";
import { HostListPoller } from "./hostListPoller.js";
import type { RouterDependencies, RouterDependenciesContext } from "./routerDependencies.js";
import { RouterProcess } from "./routerProcess.js";
import type { RouterSettings } from "./routerSettings.js";

/** @returns A router that has not been started. */
export function createRouter(settings: RouterSettings): RouterProcess {
    return new RouterProcess(settings, {
        createDependencies: context => createDependencies(settings, context),
        planRoute,
    });
}

function createDependencies(settings: RouterSettings, context: RouterDependenciesContext): RouterDependencies {
    const { clock, random, counters, getHostIdentity } = context;
    const platformClient = new PlatformClient(settings.platform, getHostIdentity, clock);
    const store = new HttpPlatformStore(platformClient);
    return {
        store,
        peerTransport: new GrpcPeerTransport({ settings: settings.peer, hostId: settings.hostId, clock, counters }),
        watchers: [
            new ConfigWatcher({ store, random, loadSnapshot: loadConfigSnapshot, onLoaded: releaseHeap }),
            new HostListPoller({ hostList: new HttpHostList(platformClient), random }),
        ],
        closePlatformConnections: () => platformClient.close(),
    };
}

/** Loads the newest snapshot. The cast is safe: the config controller skips kinds that this release does not know. */
async function loadConfigSnapshot(store: PlatformStore): Promise<Result<ConfigSnapshot, string>> {
    const snapshot = await loadSnapshot(store);
    return snapshot as Result<ConfigSnapshot, string>;
}
