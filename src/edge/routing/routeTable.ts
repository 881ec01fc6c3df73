/** Lookup of routes, services and API keys of one configuration version. */
import type { EdgeConfiguration, EdgeTeam, Route, Service } from "../edgeTypes.js";

/** A configuration with indexes for lookup. */
export class RouteTable {
    readonly configuration: EdgeConfiguration;
    readonly #routesByHost = new Map<string, Route[]>();
    readonly #servicesByName: ReadonlyMap<string, Service>;
    readonly #teamsByKey = new Map<string, EdgeTeam>();
    readonly #teamsByName = new Map<string, EdgeTeam>();
    /** Priorities of the routes for generations, the most urgent first. */
    readonly #generationPriorities: readonly number[];

    constructor(configuration: EdgeConfiguration) {
        this.configuration = configuration;
        this.#servicesByName = new Map(configuration.services.map(service => [service.name, service]));
        for (const route of configuration.routes) {
            const routes = this.#routesByHost.get(route.host) ?? [];
            routes.push(route);
            this.#routesByHost.set(route.host, routes);
        }
        for (const routes of this.#routesByHost.values()) {
            routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
        }
        const priorities = configuration.routes.filter(({ isGeneration }) => isGeneration).map(route => route.priority);
        this.#generationPriorities = [...new Set(priorities)].sort((a, b) => a - b);
        for (const team of configuration.teams ?? []) {
            this.#teamsByName.set(team.name, team);
            for (const key of team.apiKeys) {
                this.#teamsByKey.set(key, team);
            }
        }
    }

    /** @returns Whether requests on routes that are not public require an API key. */
    get isApiKeyRequired(): boolean {
        return this.configuration.teams !== undefined;
    }

    /**
     * Finds the route of a request. The port and the case of the host are ignored.
     * @param host Value of the `Host` header.
     * @param path Path without its query.
     * @returns The route of the host with the longest prefix of the path; `undefined` when none matches.
     */
    findRoute(host: string, path: string): Route | undefined {
        const routes = this.#routesByHost.get(host) ?? this.#routesByHost.get(hostName(host));
        return routes?.find(route => path.startsWith(route.pathPrefix));
    }

    /** @returns The team that holds an API key; `undefined` for an unknown key. */
    findTeamByApiKey(apiKey: string): EdgeTeam | undefined {
        return this.#teamsByKey.get(apiKey);
    }

    /** @returns The team with this name, if any. */
    findTeamByName(name: string): EdgeTeam | undefined {
        return this.#teamsByName.get(name);
    }

    /** @returns Number of priorities of generations that go before that of a route. */
    priorityRankOf({ priority }: Route): number {
        return this.#generationPriorities.filter(other => other < priority).length;
    }

    /** @returns The service with this name, if any. */
    findService(name: string): Service | undefined {
        return this.#servicesByName.get(name);
    }
}

/**
 * Chooses the service for one request of a route that is split between services, in proportion to the weights.
 * @param point Random number in [0, 1).
 * @returns Name of the service; the first one when all weights are 0.
 */
export function chooseService(route: Route, point: number): string {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let remainder = point * total;
    for (const target of route.targets) {
        remainder -= target.weight;
        if (remainder < 0) {
            return target.service;
        }
    }
    return route.targets[0]!.service;
}

/** @returns The host without its port, in lower case. */
function hostName(host: string): string {
    return host.replace(/:[0-9]+$/, "").toLowerCase();
}
