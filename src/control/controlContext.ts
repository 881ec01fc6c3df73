/** Collaborators and settings that operator commands run with. */
import type { Clock } from "../base/clock.js";
import type { Random } from "../base/random.js";
import type { HostList, PlatformStore } from "../platform/platformStore.js";

/** Calls the operator endpoints of routers. */
export abstract class OperatorClient {
    /** Whether an operator token is configured; without one, commands call no endpoint. */
    abstract readonly hasToken: boolean;

    /**
     * Calls one endpoint.
     * @param address `IP:port` of the router's operator listener.
     * @returns Status and JSON body of the response, or `undefined` if there is no valid response in time.
     */
    abstract call(
        address: string,
        method: "GET" | "POST",
        path: string,
    ): Promise<{ readonly httpStatus: number; readonly body: unknown; } | undefined>;
}

/** Collaborators and settings of a command; a test replaces them with stand-ins. */
export interface ControlContext {
    readonly store: PlatformStore;
    readonly hostList: HostList;
    readonly operatorClient: OperatorClient;
    readonly clock: Clock;
    readonly random: Random;
    readonly sleep: (durationMs: number) => Promise<void>;
    /** Name of the operator, stored in the change log. */
    readonly author: string;
    /** Maximum time for which a store access that failed or has an unknown outcome is retried, in ms. */
    readonly retryMs: number;
}
