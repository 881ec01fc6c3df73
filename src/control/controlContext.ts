/** What operator commands work with. */
import type { Clock } from "../base/clock.js";
import type { Random } from "../base/random.js";
import type { HostList, PlatformStore } from "../platform/platformStore.js";

/** Calls operator endpoints of hosts. */
export abstract class OperatorClient {
    /** Whether a token is configured; without one no endpoint is called. */
    abstract readonly hasToken: boolean;

    /**
     * @param address `IP:port` of the operator listener.
     * @returns The answer's status and JSON body, or `undefined` when there is no answer.
     */
    abstract call(
        address: string,
        method: "GET" | "POST",
        path: string,
    ): Promise<{ readonly httpStatus: number; readonly body: unknown; } | undefined>;
}

/** Everything a command needs. */
export interface ControlContext {
    readonly store: PlatformStore;
    readonly hostList: HostList;
    readonly operatorClient: OperatorClient;
    readonly clock: Clock;
    readonly random: Random;
    readonly sleep: (durationMs: number) => Promise<void>;
    /** Name of the operator, kept in the change log. */
    readonly author: string;
    /** Longest time for which an unanswered or refused write is repeated, in milliseconds. */
    readonly retryMs: number;
}
