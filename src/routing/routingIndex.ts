/** Lookup structures over a configuration. They are built once for each resource map and used while the map is in force. */
import { type Labels, matchesSelector, type Selector } from "../base/labels.js";
import type { BudgetResource, ConfigResources, Rule, Team } from "../features/config/configTypes.js";

/** A routing rule with its name. */
export interface NamedRule {
    readonly name: string;
    readonly rule: Rule;
}

/** Maximum number of cached values. Callers choose the model names, so that the number of keys needs a limit. */
const MaxCachedValues = 65_536;

/** Caches computed values by key, and removes all of them when there are too many. */
export class BoundedCache<V> {
    readonly #values = new Map<string, V>();

    /** @returns The cached value of a key; computed and cached if there is none. */
    getOrCreate(key: string, create: () => V): V {
        let value = this.#values.get(key);
        if (value === undefined) {
            value = create();
            if (this.#values.size >= MaxCachedValues) {
                this.#values.clear();
            }
            this.#values.set(key, value);
        }
        return value;
    }
}

/** Finds the budgets whose selector matches a team, without evaluating every selector. */
export class BudgetIndex {
    /** Names of the budgets by a label that their selector requires; the rarest one if it requires several. */
    readonly #namesByLabel = new Map<string, string[]>();
    /** Names of the budgets whose selector requires no particular label value. */
    readonly #unindexedNames: string[] = [];
    readonly #budgets: ReadonlyMap<string, BudgetResource>;

    constructor(budgets: ReadonlyMap<string, BudgetResource>) {
        this.#budgets = budgets;
        const frequencies = new Map<string, number>();
        for (const budget of budgets.values()) {
            for (const pair of requiredLabelPairs(budget.teams)) {
                frequencies.set(pair, (frequencies.get(pair) ?? 0) + 1);
            }
        }
        for (const [name, budget] of budgets) {
            this.#add(name, budget.teams, frequencies);
        }
    }

    /** @returns Names of the budgets that pay for a team with these labels, sorted. */
    findBudgetNames(labels: Labels): string[] {
        const names = [...this.#unindexedNames];
        for (const [key, value] of Object.entries(labels)) {
            names.push(...this.#namesByLabel.get(labelPair(key, value)) ?? []);
        }
        return [...new Set(names)].filter(name => matchesSelector(this.#budgets.get(name)!.teams, labels)).sort();
    }

    #add(name: string, selector: Selector, frequencies: ReadonlyMap<string, number>): void {
        const pairs = requiredLabelPairs(selector);
        const values = selector.matchExpressions.find(expression => expression.operator === "In");
        if (pairs.length > 0) {
            const rarest = pairs.reduce((a, b) => frequencies.get(b)! < frequencies.get(a)! ? b : a);
            appendTo(this.#namesByLabel, rarest, name);
        }
        else if (values !== undefined) {
            for (const value of new Set(values.values)) {
                appendTo(this.#namesByLabel, labelPair(values.key, value), name);
            }
        }
        else {
            this.#unindexedNames.push(name);
        }
    }
}

/** Lookups over one configuration, with cached results. */
export class RoutingIndex {
    /** Rules in the order in which they are tried. */
    readonly rules: readonly NamedRule[];
    readonly #resources: ConfigResources;
    readonly #budgetIndex: BudgetIndex;
    readonly #teamRules = new BoundedCache<readonly NamedRule[]>();
    readonly #teamBudgets = new BoundedCache<readonly string[]>();
    /** Cached routes by team, request kind, model and service. Read and written by `findRoute` only. */
    readonly routeCache = new BoundedCache<unknown>();

    constructor(resources: ConfigResources) {
        this.#resources = resources;
        this.rules = [...resources.rules]
            .map(([name, rule]) => ({ name, rule }))
            .sort((a, b) => a.rule.order - b.rule.order || (a.name < b.name ? -1 : 1));
        this.#budgetIndex = budgetIndexOf(resources.budgets);
    }

    /** @returns The rules whose team selector matches a team, in the order in which they are tried. */
    findRulesForTeam(name: string, team: Team): readonly NamedRule[] {
        return this.#teamRules.getOrCreate(
            name,
            () => this.rules.filter(({ rule }) => matchesSelector(rule.teams, team.labels)),
        );
    }

    /** @returns The budgets that match a team, sorted by name. */
    findBudgetNamesForTeam(name: string, team: Team): readonly string[] {
        return this.#teamBudgets.getOrCreate(name, () => this.#budgetIndex.findBudgetNames(team.labels));
    }

    /** @returns Names of the upstreams that match a selector and offer the requested model or service, sorted. */
    findUpstreamNames(selector: Selector, offers: (upstream: string) => boolean): string[] {
        return [...this.#resources.upstreams]
            .filter(([name, upstream]) => matchesSelector(selector, upstream.labels) && offers(name))
            .map(([name]) => name)
            .sort();
    }
}

const indexes = new WeakMap<ConfigResources, RoutingIndex>();
const budgetIndexes = new WeakMap<ReadonlyMap<string, BudgetResource>, BudgetIndex>();

/** @returns The index of a configuration, built at the first call. The resources must not be modified afterwards. */
export function routingIndexOf(resources: ConfigResources): RoutingIndex {
    let index = indexes.get(resources);
    if (index === undefined) {
        index = new RoutingIndex(resources);
        indexes.set(resources, index);
    }
    return index;
}

function budgetIndexOf(budgets: ReadonlyMap<string, BudgetResource>): BudgetIndex {
    let index = budgetIndexes.get(budgets);
    if (index === undefined) {
        index = new BudgetIndex(budgets);
        budgetIndexes.set(budgets, index);
    }
    return index;
}

function requiredLabelPairs(selector: Selector): string[] {
    return Object.entries(selector.matchLabels).map(([key, value]) => labelPair(key, value));
}

function labelPair(key: string, value: string): string {
    return `${key}\n${value}`;
}

function appendTo(lists: Map<string, string[]>, key: string, value: string): void {
    const list = lists.get(key);
    if (list === undefined) {
        lists.set(key, [value]);
    }
    else {
        list.push(value);
    }
}
