/** Checks that span several resources. */
import { type Labels, matchesSelector, type Selector, selectorKeys } from "../../base/labels.js";
import type { ConfigResources } from "../../features/config/configTypes.js";
import type { ResourceProblem, ResourceSet } from "./resourceSet.js";

/** Problems of a configuration. Errors refuse a change; warnings are shown. */
export interface ValidationReport {
    readonly errors: readonly ResourceProblem[];
    readonly warnings: readonly ResourceProblem[];
}

type Labelled = ReadonlyMap<string, { readonly labels: Labels; }>;

/** A selector with the resources that it selects from. */
interface SelectorUse {
    readonly path: string;
    readonly selector: Selector;
    readonly targetKind: string;
    readonly targets: Labelled;
}

/** Checks selectors, references and API keys. */
export function validateResources(set: ResourceSet): ValidationReport {
    const resources = set.toConfigResources();
    const uses = selectorUses(resources);
    const keys = new LabelKeys();
    const errors = [
        ...uses.flatMap(use => unknownLabels(use, keys)),
        ...referenceErrors(resources),
        ...sharedKeys(resources),
    ];
    return { errors, warnings: [...emptySelections(uses, keys), ...ruleWarnings(resources)] };
}

/** @returns The errors of the second report that the first does not contain. */
export function findNewErrors(before: ValidationReport, after: ValidationReport): ResourceProblem[] {
    const known = new Set(before.errors.map(formatProblem));
    return after.errors.filter(problem => !known.has(formatProblem(problem)));
}

/** @returns The problem as one line. */
export function formatProblem(problem: ResourceProblem): string {
    return problem.path === "" ? problem.message : `${problem.path}: ${problem.message}`;
}

/** Label keys per table, computed once: a fleet has tens of thousands of budgets with selectors. */
class LabelKeys {
    readonly #keys = new Map<Labelled, ReadonlySet<string>>();
    readonly #pairs = new Map<Labelled, ReadonlySet<string>>();

    keysOf(targets: Labelled): ReadonlySet<string> {
        return memoise(this.#keys, targets, () => [...targets.values()].flatMap(({ labels }) => Object.keys(labels)));
    }

    pairsOf(targets: Labelled): ReadonlySet<string> {
        const pairs = (): string[] => [...targets.values()].flatMap(({ labels }) => Object.entries(labels).map(pairOf));
        return memoise(this.#pairs, targets, pairs);
    }
}

function memoise(
    cache: Map<Labelled, ReadonlySet<string>>,
    targets: Labelled,
    compute: () => string[],
): ReadonlySet<string> {
    const known = cache.get(targets) ?? new Set(compute());
    cache.set(targets, known);
    return known;
}

function pairOf([key, value]: [string, string]): string {
    return `${key}=${value}`;
}

function selectorUses(resources: ConfigResources): SelectorUse[] {
    const { teams, requestKinds: kinds, upstreams } = resources;
    const uses: SelectorUse[] = [];
    const use = (path: string, selector: Selector, targetKind: string, targets: Labelled): void => {
        uses.push({ path, selector, targetKind, targets });
    };
    for (const [name, budget] of resources.budgets) {
        use(`Budget/${name}: teams`, budget.teams, "Team", teams);
    }
    for (const [name, grant] of resources.grants) {
        use(`Grant/${name}: teams`, grant.teams, "Team", teams);
        use(`Grant/${name}: kinds`, grant.kinds, "RequestKind", kinds);
    }
    for (const [name, rule] of resources.rules) {
        use(`Rule/${name}: teams`, rule.teams, "Team", teams);
        use(`Rule/${name}: kinds`, rule.kinds, "RequestKind", kinds);
        use(`Rule/${name}: upstreams`, rule.upstreams, "Upstream", upstreams);
        if (rule.fallbackUpstreams !== undefined) {
            use(`Rule/${name}: fallbackUpstreams`, rule.fallbackUpstreams, "Upstream", upstreams);
        }
    }
    return uses;
}

function unknownLabels({ path, selector, targetKind, targets }: SelectorUse, keys: LabelKeys): ResourceProblem[] {
    return selectorKeys(selector).filter(key => !keys.keysOf(targets).has(key))
        .map(key => ({ path, message: `no ${targetKind} carries the label "${key}"` }));
}

function emptySelections(uses: readonly SelectorUse[], keys: LabelKeys): ResourceProblem[] {
    return uses.filter(({ selector, targets }) => {
        const pairs = Object.entries(selector.matchLabels).map(pairOf);
        if (pairs.some(pair => !keys.pairsOf(targets).has(pair))) {
            return true;
        }
        const isSinglePair = pairs.length === 1 && selector.matchExpressions.length === 0;
        return !isSinglePair && ![...targets.values()].some(({ labels }) => matchesSelector(selector, labels));
    }).map(({ path, targetKind }) => ({ path, message: `matches no ${targetKind}` }));
}

function referenceErrors(resources: ConfigResources): ResourceProblem[] {
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

function sharedKeys(resources: ConfigResources): ResourceProblem[] {
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

function ruleWarnings(resources: ConfigResources): ResourceProblem[] {
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
