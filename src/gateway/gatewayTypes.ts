/** Types shared within the gateway: its dependencies and the parsed request. */
import type { Result } from "true-myth";
import type { Clock } from "../base/clock.js";
import type { Random } from "../base/random.js";
import type { ResultCodeName } from "../base/resultCodes.js";
import type { ConfigResources } from "../features/config/configTypes.js";
import type { ControllerClient } from "../kernel/controllerClient.js";
import type { Kernel } from "../kernel/kernel.js";
import type { RoutePlan, RouteQuery } from "../routing/routePlan.js";
import type { CallerMemory } from "../scheduling/callerMemory.js";
import type { ParseScheduler } from "../scheduling/parseScheduler.js";
import type { GatewaySettings } from "./gatewaySettings.js";
import type { UpstreamClient } from "./upstreamClient.js";

/** Plans the route of a request according to the active configuration; fails with the code to refuse it with. */
export type RoutePlanner = (resources: ConfigResources, query: RouteQuery) => Result<RoutePlan, ResultCodeName>;

/** Collaborators and settings of the gateway. */
export interface GatewayDependencies {
    readonly kernel: Kernel;
    readonly controllerClient: ControllerClient;
    readonly upstreamClient: UpstreamClient;
    /** Accounts of all listeners of the process. */
    readonly callerMemory: CallerMemory;
    readonly parsing: ParseScheduler;
    readonly clock: Clock;
    readonly random: Random;
    readonly settings: GatewaySettings;
    readonly planRoute: RoutePlanner;
}

/** Format in which a response is read and checked. */
export type ResponseKind = "chatStream" | "chatJson" | "service";

/** An authenticated request with a complete and valid body. */
export interface CallerRequest {
    readonly requestId: string;
    readonly team: string;
    readonly idempotencyKey: string | undefined;
    readonly query: RouteQuery;
    readonly responseKind: ResponseKind;
    readonly method: string;
    /** Path and query below the upstream's base URL. */
    readonly path: string;
    /** Headers for the upstream; the router's own headers are added on dispatch. */
    readonly headers: Readonly<Record<string, string | string[]>>;
    /** SHA-256, in hexadecimal, of the method, path and body; requests with the same idempotency key must have the same hash. */
    readonly bodyHash: string;
    /** @returns The body for the upstream; `undefined` if it gets none. */
    buildBody(plan: RoutePlan): Buffer | undefined;
}
