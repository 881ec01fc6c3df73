/** Checks a configuration before it is submitted: errors, entries that can never match, and limits that contradict each other. */
import { groupBy } from "../../base/groupBy.js";
import type { EdgeConfiguration, EdgeTeam, Route, Service } from "../edgeTypes.js";

/** An error breaks requests or is refused; a warning states what has no effect or is probably not intended. */
export type FindingSeverity = "error" | "warning";

/** Kind of a finding: not valid in itself, never matched by a request, or two values that exclude each other. */
export type FindingKind = "invalid" | "unreachable" | "contradiction";

/** One finding of a check. */
export interface Finding {
    readonly severity: FindingSeverity;
    readonly kind: FindingKind;
    /** The entry, such as `route sales`. */
    readonly subject: string;
    readonly message: string;
}

/** Maximum size of a request head that hosts accept by default, in bytes; see `EdgeSettings.maxHeaderBytes`. */
const DefaultMaxHeaderBytes = 16_384;

/**
 * @param configuration A configuration that the codec has accepted.
 * @returns All findings, errors first.
 */
export function checkConfiguration(configuration: EdgeConfiguration): readonly Finding[] {
    const { routes, services, teams, limits } = configuration;
    const serviceNames = new Set(services.map(({ name }) => name));
    const findings = [
        ...findRepeatedNames("route", routes),
        ...findRepeatedNames("service", services),
        ...findRepeatedNames("team", teams ?? []),
        ...findShadowedRoutes(routes),
        ...routes.flatMap(route => checkRoute(route, serviceNames, teams)),
        ...findUnusedServices(services, routes),
        ...findRepeatedKeys(teams ?? []),
        ...(teams ?? []).flatMap(checkTeam),
        ...checkLimits(limits),
    ];
    return findings.toSorted((left, right) => left.severity.localeCompare(right.severity));
}

function error(kind: FindingKind, subject: string, message: string): Finding {
    return { severity: "error", kind, subject, message };
}

function warning(kind: FindingKind, subject: string, message: string): Finding {
    return { severity: "warning", kind, subject, message };
}

function findRepeatedNames(noun: string, entries: readonly { readonly name: string; }[]): Finding[] {
    return [...groupBy(entries, ({ name }) => name)].flatMap(([name, same]) =>
        same.length > 1 ? [error("invalid", `${noun} ${name}`, `the name is used ${same.length} times`)] : []
    );
}

/** Of several routes with the same host and prefix, the first one gets all requests. */
function findShadowedRoutes(routes: readonly Route[]): Finding[] {
    return [...groupBy(routes, ({ host, pathPrefix }) => `${host.toLowerCase()} ${pathPrefix}`).values()].flatMap(
        ([first, ...others]) =>
            others.map(({ name }) =>
                error("unreachable", `route ${name}`, `route ${first!.name} has the same host and path prefix`)
            ),
    );
}

function checkRoute(
    route: Route,
    serviceNames: ReadonlySet<string>,
    teams: readonly EdgeTeam[] | undefined,
): Finding[] {
    const subject = `route ${route.name}`;
    const { host, pathPrefix, targets, timeoutMs, objectiveMs, pauseObjectiveMs, maxAttempts, kind } = route;
    const findings: Finding[] = [];
    if (!pathPrefix.startsWith("/")) {
        findings.push(error("unreachable", subject, `the path prefix ${pathPrefix} does not begin with a slash`));
    }
    else if (!pathPrefix.endsWith("/")) {
        findings.push(warning("invalid", subject, `the path prefix ${pathPrefix} does not end with a slash`));
    }
    if (host.includes(":") || host !== host.toLowerCase()) {
        findings.push(error("unreachable", subject, `the host ${host} has a port or capital letters`));
    }
    for (const { service } of targets.filter(target => !serviceNames.has(target.service))) {
        findings.push(error("invalid", subject, `the service ${service} is not defined`));
    }
    if (targets.every(({ weight }) => weight === 0)) {
        findings.push(
            warning("contradiction", subject, "all weights are 0, so that the first service gets all requests"),
        );
    }
    if (timeoutMs <= 0) {
        findings.push(error("contradiction", subject, "the timeout is 0, so that no request can be answered"));
    }
    else if (objectiveMs > timeoutMs) {
        findings.push(
            warning(
                "contradiction",
                subject,
                `the latency objective of ${objectiveMs} ms exceeds the timeout of ${timeoutMs} ms`,
            ),
        );
    }
    if (pauseObjectiveMs !== undefined && pauseObjectiveMs > timeoutMs) {
        findings.push(
            warning(
                "contradiction",
                subject,
                `the pause objective of ${pauseObjectiveMs} ms exceeds the timeout of ${timeoutMs} ms`,
            ),
        );
    }
    if (route.isResumable && kind !== "streaming") {
        findings.push(warning("contradiction", subject, "only streams can be resumed"));
    }
    if (maxAttempts > 1 && (kind === "nonIdempotent" || (kind === "streaming" && !route.isResumable))) {
        findings.push(
            warning(
                "contradiction",
                subject,
                `requests run once at most, so that ${maxAttempts} attempts are never made`,
            ),
        );
    }
    if (!route.isPublic && teams?.every(({ apiKeys }) => apiKeys.length === 0) === true) {
        findings.push(error("unreachable", subject, "the route needs an API key, and no team has one"));
    }
    return findings;
}

function findUnusedServices(services: readonly Service[], routes: readonly Route[]): Finding[] {
    const used = new Set(routes.flatMap(({ targets }) => targets.map(({ service }) => service)));
    return services.filter(({ name }) => !used.has(name))
        .map(({ name }) => warning("unreachable", `service ${name}`, "no route sends requests to it"));
}

/** The findings name the teams and never the key. */
function findRepeatedKeys(teams: readonly EdgeTeam[]): Finding[] {
    const owners = teams.flatMap(({ name, apiKeys }) => apiKeys.map(key => ({ name, key })));
    return [...groupBy(owners, ({ key }) => key).values()].flatMap(same => {
        const names = [...new Set(same.map(({ name }) => name))];
        return names.length > 1 ?
            [error("contradiction", `team ${names[0]!}`, `shares an API key with ${names.slice(1).join(", ")}`)] :
            [];
    });
}

function checkTeam({ name, apiKeys, prepaidTokens }: EdgeTeam): Finding[] {
    return [
        ...apiKeys.length === 0 ? [warning("unreachable", `team ${name}`, "the team has no API key")] : [],
        ...apiKeys.some(key => key === "" || /\s/.test(key)) ?
            [error("unreachable", `team ${name}`, "an API key is empty or contains a space")] :
            [],
        ...prepaidTokens === 0 ?
            [warning("contradiction", `team ${name}`, "all generations are refused: no tokens are prepaid")] :
            [],
    ];
}

function checkLimits(limits: EdgeConfiguration["limits"]): Finding[] {
    const findings: Finding[] = [];
    if (limits.headerTimeoutMs > limits.idleTimeoutMs) {
        findings.push(
            warning(
                "contradiction",
                "limits",
                `the header timeout of ${limits.headerTimeoutMs} ms exceeds the idle timeout of ${limits.idleTimeoutMs} ms`,
            ),
        );
    }
    if (limits.maxHeaderBytes > DefaultMaxHeaderBytes) {
        findings.push(
            warning(
                "contradiction",
                "limits",
                `request heads of ${limits.maxHeaderBytes} bytes exceed the ${DefaultMaxHeaderBytes} bytes that hosts accept by default`,
            ),
        );
    }
    return findings;
}
