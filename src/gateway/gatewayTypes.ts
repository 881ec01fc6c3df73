/** What the gateway works with, and the request as the intake hands it on. */
import type { Result } from "true-myth";
import type { Clock } from "../base/clock.js";
import type { Random } from "../base/random.js";
import type { ResultCodeName } from "../base/resultCodes.js";
import type { ConfigResources } from "../features/config/configTypes.js";
import type { ControllerClient } from "../kernel/controllerClient.js";
import type { Kernel } from "../kernel/kernel.js";
import type { RoutePlan, RouteQuery } from "../routing/routePlan.js";
import type { GatewaySettings } from "./gatewaySettings.js";
import type { UpstreamClient } from "./upstreamClient.js";

/** Classifies a request against the configuration in force. */
export type RoutePlanner = (resources: ConfigResources, query: RouteQuery) => Result<RoutePlan, ResultCodeName>;

/** What the gateway works with. */
export interface GatewayDependencies {
    readonly kernel: Kernel;
    readonly controllerClient: ControllerClient;
    readonly upstreamClient: UpstreamClient;
    readonly clock: Clock;
    readonly random: Random;
    readonly settings: GatewaySettings;
    readonly planRoute: RoutePlanner;
}

/** How an answer is read. */
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
    /** Headers for the upstream; those of the router itself are added later. */
    readonly headers: Readonly<Record<string, string | string[]>>;
    /** SHA-256 of everything that a repetition with the same key must have in common. */
    readonly bodyHash: string;
    /** @returns The body for the upstream. */
    buildBody(plan: RoutePlan): Buffer | undefined;
}
