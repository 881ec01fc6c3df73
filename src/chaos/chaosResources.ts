/** Configuration, budgets and router settings of a chaos run. */
import { sha256Hex } from "../base/hashing.js";

/** Time for which a router serves after SIGTERM, in milliseconds; the load balancer notices within half of it. */
export const BalancerLagMs = 1_500;
/**
 * Time without signs of life after which a host is suspected, in milliseconds. Shorter than the default of 15 s, so that several
 * hosts are sealed in one run.
 */
export const SuspicionMs = 5_000;

/** Budget that pays for each team. */
export const Teams = { large: "large", small: "small", till: "large" } as const;
/** Name of a team. */
export type TeamName = keyof typeof Teams;

/** Tokens that are paid into each budget before the run. The small budget is spent after a few seconds. */
export const InitialPayments = { large: 10_000_000, small: 4_000 } as const;

/** Price of a sale, in tokens. */
export const SaleTokens = 1;

/** @returns API key of a team. */
export function keyOfTeam(team: string): string {
    return `chaos-key-${team}`;
}

/** @returns The routing rule that configuration edits change. */
export function chatRule(maxOutputTokens: number): { kind: string; name: string; spec: unknown; } {
    const upstreams = { matchLabels: { pool: "engines" } };
    const spec = { order: 20, models: ["assistant"], upstreams, defaultKind: "chat", maxOutputTokens };
    return { kind: "Rule", name: "chats", spec };
}

/** @returns Resources of the configuration of the run. */
export function chaosResources(engineUrls: readonly string[], tillUrl: string): unknown[] {
    const teams = Object.entries(Teams).map(([name, payer]) => ({
        kind: "Team",
        name,
        spec: { labels: { payer }, keyHashes: [sha256Hex(keyOfTeam(name))] },
    }));
    const budgets = Object.keys(InitialPayments).map(name => ({
        kind: "Budget",
        name,
        spec: { teams: { matchLabels: { payer: name } } },
    }));
    const engines = engineUrls.map((url, index) => ({
        kind: "Upstream",
        name: `engine-${index + 1}`,
        spec: { labels: { pool: "engines" }, url, models: ["assistant"], slots: 32, promptTokensPerByte: 0.3 },
    }));
    return [
        ...teams,
        { kind: "RequestKind", name: "chat", spec: { labels: { work: "chat" }, deadlineMs: 6_000 } },
        {
            kind: "RequestKind",
            name: "sale",
            spec: { labels: { work: "sale" }, class: "urgent", length: "short", repeatable: false, deadlineMs: 6_000 },
        },
        ...engines,
        {
            kind: "Upstream",
            name: "till-1",
            spec: { labels: { pool: "till" }, url: tillUrl, type: "service", service: "till", slots: 32 },
        },
        ...budgets,
        {
            kind: "Rule",
            name: "sales",
            spec: {
                order: 10,
                services: ["till"],
                upstreams: { matchLabels: { pool: "till" } },
                defaultKind: "sale",
                serviceCostTokens: SaleTokens,
            },
        },
        chatRule(256),
    ];
}

/** Ports of a router on 127.0.0.1. */
export interface RouterPorts {
    readonly caller: number;
    readonly operator: number;
    readonly peer: number;
}

/** @returns Settings of a router, with timeouts that are short enough for a run of one minute. */
export function routerSettings(hostId: string, zone: string, ports: RouterPorts, platformUrl: string): unknown {
    return {
        hostId,
        zone,
        caller: { port: ports.caller },
        operator: { port: ports.operator },
        peer: { listenPort: ports.peer },
        platform: { url: platformUrl },
        gateway: {
            firstByteTimeoutMs: 3_000,
            answerTimeoutMs: 3_000,
            answerTimeoutPerTokenMs: 50,
            progressTimeoutMs: 2_000,
        },
        features: {
            lifecycle: { balancerLagMs: BalancerLagMs, claimWaitMs: 15_000, storeSilenceMs: SuspicionMs },
            membership: { suspectAfterMs: 4_000 },
            recovery: { suspicionMs: SuspicionMs, readIntervalMs: 1_000, sealerDelayMs: 500, searchAgainMs: 5_000 },
        },
    };
}
