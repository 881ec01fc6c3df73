/** Lookup of routes, services and API keys of one configuration version. */
import type { EdgeConfiguration, EdgeTeam, Route, Service } from "../edgeTypes.js";

/** A configuration with its indexes. */
export class RouteTable {
    readonly configuration: EdgeConfiguration;
    readonly #routesByHost = new Map<string, Route[]>();
    readonly #services: ReadonlyMap<string, Service>;
    readonly #teamsByKey = new Map<string, EdgeTeam>();
    readonly #teams = new Map<string, EdgeTeam>();

    constructor(configuration: EdgeConfiguration) {
        this.configuration = configuration;
        this.#services = new Map(configuration.services.map(service => [service.name, service]));
        for (const route of configuration.routes) {
            const routes = this.#routesByHost.get(route.host) ?? [];
            routes.push(route);
            this.#routesByHost.set(route.host, routes);
        }
        for (const routes of this.#routesByHost.values()) {
            routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
        }
        for (const team of configuration.teams ?? []) {
            this.#teams.set(team.name, team);
            for (const key of team.apiKeys) {
                this.#teamsByKey.set(key, team);
            }
        }
    }

    /** @returns Whether requests on routes that are not public need an API key. */
    get isApiKeyRequired(): boolean {
        return this.configuration.teams !== undefined;
    }

    /**
     * @param host Value of the `Host` header.
     * @param path Path without its query.
     * @returns The route with the longest prefix of the path.
     */
    findRoute(host: string, path: string): Route | undefined {
        const routes = this.#routesByHost.get(host) ?? this.#routesByHost.get(hostName(host));
        return routes?.find(route => path.startsWith(route.pathPrefix));
    }

    /** @returns The team that holds an API key. */
    findTeamByApiKey(apiKey: string): EdgeTeam | undefined {
        return this.#teamsByKey.get(apiKey);
    }

    /** @returns The team with a name. */
    findTeamByName(name: string): EdgeTeam | undefined {
        return this.#teams.get(name);
    }

    /** @returns The service with a name. */
    findService(name: string): Service | undefined {
        return this.#services.get(name);
    }
}

/**
 * Chooses the service of one request of a route that is split between services.
 * @param point Number in [0, 1).
 */
export function chooseService(route: Route, point: number): string {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let rest = point * total;
    for (const target of route.targets) {
        rest -= target.weight;
        if (rest < 0) {
            return target.service;
        }
    }
    return route.targets[0]!.service;
}

/** Hosts are compared without port and case. */
function hostName(host: string): string {
    return host.replace(/:[0-9]+$/, "").toLowerCase();
}
