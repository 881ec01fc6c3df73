/** Validation that spans several resources. */
import { type Labels, matchesSelector, type Selector, selectorKeys } from "../../base/labels.js";
import type { ConfigResources } from "../../features/config/configTypes.js";
import type { ResourceProblem, ResourceSet } from "./resourceSet.js";

/** Problems of a configuration. A change that adds errors is refused; warnings are only printed. */
export interface ValidationReport {
    readonly errors: readonly ResourceProblem[];
    readonly warnings: readonly ResourceProblem[];
}

/** Resources with labels, by name. */
type LabelledResources = ReadonlyMap<string, { readonly labels: Labels; }>;

/** A selector of a resource, with the resources that it selects from. */
interface SelectorUse {
    readonly path: string;
    readonly selector: Selector;
    readonly targetKind: string;
    readonly targets: LabelledResources;
}

/** Checks selectors, references between resources and API keys of all resources that this release can parse. */
export function validateResources(set: ResourceSet): ValidationReport {
    const resources = set.toConfigResources();
    const uses = collectSelectorUses(resources);
    const labelIndex = new LabelIndex();
    const errors = [
        ...uses.flatMap(use => findUnknownLabels(use, labelIndex)),
        ...findReferenceErrors(resources),
        ...findSharedKeys(resources),
    ];
    return { errors, warnings: [...findEmptySelections(uses, labelIndex), ...findRuleWarnings(resources)] };
}

/** @returns The errors that `after` contains and `before` does not. */
export function findNewErrors(before: ValidationReport, after: ValidationReport): ResourceProblem[] {
    const known = new Set(before.errors.map(formatProblem));
    return after.errors.filter(problem => !known.has(formatProblem(problem)));
}

/** @returns The problem as one line of text. */
export function formatProblem(problem: ResourceProblem): string {
    return problem.path === "" ? problem.message : `${problem.path}: ${problem.message}`;
}

/** Caches the label keys and pairs of each kind, because a fleet has tens of thousands of budgets with selectors. */
class LabelIndex {
    readonly #keys = new Map<LabelledResources, ReadonlySet<string>>();
    readonly #pairs = new Map<LabelledResources, ReadonlySet<string>>();

    /** @returns The label keys that occur on any of the resources. */
    keysOf(targets: LabelledResources): ReadonlySet<string> {
        return memoise(this.#keys, targets, () => [...targets.values()].flatMap(({ labels }) => Object.keys(labels)));
    }

    /** @returns The labels of all resources, as `key=value`. */
    pairsOf(targets: LabelledResources): ReadonlySet<string> {
        const pairs = (): string[] =>
            [...targets.values()].flatMap(({ labels }) => Object.entries(labels).map(formatPair));
        return memoise(this.#pairs, targets, pairs);
    }
}

function memoise(
    cache: Map<LabelledResources, ReadonlySet<string>>,
    targets: LabelledResources,
    compute: () => string[],
): ReadonlySet<string> {
    const known = cache.get(targets) ?? new Set(compute());
    cache.set(targets, known);
    return known;
}

function formatPair([key, value]: [string, string]): string {
    return `${key}=${value}`;
}

function collectSelectorUses(resources: ConfigResources): SelectorUse[] {
    const { teams, requestKinds: kinds, upstreams } = resources;
    const uses: SelectorUse[] = [];
    const addUse = (path: string, selector: Selector, targetKind: string, targets: LabelledResources): void => {
        uses.push({ path, selector, targetKind, targets });
    };
    for (const [name, budget] of resources.budgets) {
        addUse(`Budget/${name}: teams`, budget.teams, "Team", teams);
    }
    for (const [name, grant] of resources.grants) {
        addUse(`Grant/${name}: teams`, grant.teams, "Team", teams);
        addUse(`Grant/${name}: kinds`, grant.kinds, "RequestKind", kinds);
    }
    for (const [name, rule] of resources.rules) {
        addUse(`Rule/${name}: teams`, rule.teams, "Team", teams);
        addUse(`Rule/${name}: kinds`, rule.kinds, "RequestKind", kinds);
        addUse(`Rule/${name}: upstreams`, rule.upstreams, "Upstream", upstreams);
        if (rule.fallbackUpstreams !== undefined) {
            addUse(`Rule/${name}: fallbackUpstreams`, rule.fallbackUpstreams, "Upstream", upstreams);
        }
    }
    return uses;
}

function findUnknownLabels(
    { path, selector, targetKind, targets }: SelectorUse,
    labelIndex: LabelIndex,
): ResourceProblem[] {
    return selectorKeys(selector).filter(key => !labelIndex.keysOf(targets).has(key))
        .map(key => ({ path, message: `no ${targetKind} carries the label "${key}"` }));
}

/**
 * Finds selectors that match no resource. A label pair that no resource has, or a single pair that one has, decides
 * without matching the selector against each resource.
 */
function findEmptySelections(uses: readonly SelectorUse[], labelIndex: LabelIndex): ResourceProblem[] {
    return uses.filter(({ selector, targets }) => {
        const pairs = Object.entries(selector.matchLabels).map(formatPair);
        if (pairs.some(pair => !labelIndex.pairsOf(targets).has(pair))) {
            return true;
        }
        const isSinglePair = pairs.length === 1 && selector.matchExpressions.length === 0;
        return !isSinglePair && ![...targets.values()].some(({ labels }) => matchesSelector(selector, labels));
    }).map(({ path, targetKind }) => ({ path, message: `matches no ${targetKind}` }));
}

function findReferenceErrors(resources: ConfigResources): ResourceProblem[] {
    const problems: ResourceProblem[] = [];
    for (const [name, rule] of resources.rules) {
        if (rule.defaultKind !== undefined && !resources.requestKinds.has(rule.defaultKind)) {
            problems.push({
                path: `Rule/${name}: defaultKind`,
                message: `no RequestKind "${rule.defaultKind}" exists`,
            });
        }
    }
    for (const [name, upstream] of resources.upstreams) {
        if (upstream.type === "service" && upstream.service === "") {
            problems.push({ path: `Upstream/${name}: service`, message: "a service needs a name" });
        }
        if (upstream.type === "engine" && upstream.models.length === 0) {
            problems.push({ path: `Upstream/${name}: models`, message: "an engine needs a model" });
        }
    }
    return problems;
}

function findSharedKeys(resources: ConfigResources): ResourceProblem[] {
    const teamByHash = new Map<string, string>();
    const problems: ResourceProblem[] = [];
    for (const [name, team] of resources.teams) {
        for (const [index, hash] of team.keyHashes.entries()) {
            const other = teamByHash.get(hash);
            if (other !== undefined) {
                const message = `the key belongs to the team "${other}"`;
                problems.push({ path: `Team/${name}: keyHashes.${index}`, message });
            }
            teamByHash.set(hash, name);
        }
    }
    return problems;
}

function findRuleWarnings(resources: ConfigResources): ResourceProblem[] {
    const problems: ResourceProblem[] = [];
    for (const [name, rule] of resources.rules) {
        for (const upstream of Object.keys(rule.weights)) {
            if (!resources.upstreams.has(upstream)) {
                problems.push({ path: `Rule/${name}: weights`, message: `no Upstream "${upstream}" exists` });
            }
        }
        const selected = [...resources.upstreams.values()].filter(upstream =>
            matchesSelector(rule.upstreams, upstream.labels)
        );
        const isOffered = rule.models.some(model => selected.some(upstream => upstream.models.includes(model))) ||
            rule.services.some(service => selected.some(upstream => upstream.service === service));
        if (selected.length > 0 && rule.models.length + rule.services.length > 0 && !isOffered) {
            problems.push({ path: `Rule/${name}: models`, message: "no selected Upstream offers them" });
        }
    }
    return problems;
}
