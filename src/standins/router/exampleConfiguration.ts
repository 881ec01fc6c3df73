/** Example configuration and functions that write a configuration to a store, for tests and the demo. */
import { sha256Hex } from "../../base/hashing.js";
import { MatchAllSelector } from "../../base/labels.js";
import { budgetKey, type BudgetObject, grantBudgetName } from "../../features/budget/budgetTypes.js";
import {
    type ConfigChange,
    configChangeKey,
    type ResourceEdit,
    ResourceSchemas,
} from "../../features/config/configTypes.js";
import type { ObjectStore } from "../platform/objectStore.js";

/** Resources by kind and name, as operators write them. */
export type ResourceInputs = Readonly<Partial<Record<keyof typeof ResourceSchemas, Readonly<Record<string, unknown>>>>>;

/**
 * Writes version 1 of the configuration and the prepaid tokens of the budgets. Throws if a resource is not valid.
 * @param paidTokens Prepaid tokens by budget name; `grant/NAME` stands for the number of uses of a grant.
 */
export function seedStore(
    objects: ObjectStore,
    resources: ResourceInputs,
    paidTokens: Readonly<Record<string, number>>,
): void {
    const changes: ResourceEdit[] = Object.entries(resources).flatMap(([kind, values]) =>
        Object.entries(values).map(([name, value]) => ({
            kind: kind as ResourceEdit["kind"],
            name,
            after: ResourceSchemas[kind as ResourceEdit["kind"]].parse(value),
        }))
    );
    const change: ConfigChange = {
        version: 1,
        author: "seed",
        operationId: "seed",
        message: "first version",
        atMs: Date.now(),
        changes,
    };
    objects.put(configChangeKey(1), change, 0);
    for (const [budget, tokens] of Object.entries(paidTokens)) {
        const object: BudgetObject = { paidTokens: tokens, closedTokens: 0, atRiskTokens: {}, shares: {}, topUps: [] };
        objects.put(budgetKey(budget), object, 0);
    }
}

/** API key of the example team. */
export const ExampleApiKey = "suds-example-key";

/** @returns Resources of the Suds example: short and long chat requests, and token sales. */
export function createExampleResources(
    urls: { readonly engines: readonly string[]; readonly sales: string; },
): ResourceInputs {
    const engines = Object.fromEntries(urls.engines.map((url, index) => [
        `assistant-${index + 1}`,
        { url, labels: { role: "assistant" }, models: ["assistant"], slots: 8, promptTokensPerByte: 0.3 },
    ]));
    return {
        Team: { cork: { labels: { chain: "cork" }, keyHashes: [sha256Hex(ExampleApiKey)] } },
        Budget: { "cork-2026": { teams: { matchLabels: { chain: "cork" } } } },
        Grant: { "counter-rush": { teams: { matchLabels: { chain: "cork" } } } },
        RequestKind: {
            chat: { class: "normal", length: "short" },
            summary: { class: "background", length: "long", deadlineMs: 120_000 },
            sale: { class: "urgent", length: "short", repeatable: false, deadlineMs: 10_000 },
        },
        Rule: {
            models: { upstreams: { matchLabels: { role: "assistant" } }, models: ["assistant"], defaultKind: "chat" },
            sales: { upstreams: { matchLabels: { role: "sales" } }, services: ["sales"], defaultKind: "sale" },
            everything: { order: 1_000, upstreams: MatchAllSelector },
        },
        Upstream: {
            ...engines,
            "sales-1": { url: urls.sales, labels: { role: "sales" }, type: "service", service: "sales", slots: 64 },
        },
    };
}

/** Prepaid tokens of the Suds example, by budget name. */
export const ExamplePaidTokens = { "cork-2026": 1_000_000, [grantBudgetName("counter-rush")]: 100 };
