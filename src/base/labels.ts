/** Labels of objects, and selectors that match them. */
import { match } from "ts-pattern";
import { z } from "zod";

/** Labels of an object: values by key, each of at most 63 characters. */
export const LabelsSchema = z.record(z.string().min(1).max(63), z.string().max(63));
/** Labels of an object; see {@link LabelsSchema}. */
export type Labels = z.infer<typeof LabelsSchema>;

/** A condition on one label key. `values` only matters for the operators `In` and `NotIn`. */
const ExpressionSchema = z.strictObject({
    key: z.string().min(1),
    operator: z.enum(["In", "NotIn", "Exists", "DoesNotExist"]),
    values: z.array(z.string()).default([]),
});
/** A condition on one label key. */
export type SelectorExpression = z.infer<typeof ExpressionSchema>;

/** Selects objects whose labels satisfy all conditions. An empty selector selects everything. */
export const SelectorSchema = z.strictObject({
    matchLabels: LabelsSchema.default({}),
    matchExpressions: z.array(ExpressionSchema).default([]),
});
/** A selector; see {@link SelectorSchema}. */
export type Selector = z.infer<typeof SelectorSchema>;

/** The selector that selects every object. */
export const MatchAllSelector: Selector = { matchLabels: {}, matchExpressions: [] };

/** @returns Whether the labels satisfy the selector. */
export function matchesSelector(selector: Selector, labels: Labels): boolean {
    for (const [key, value] of Object.entries(selector.matchLabels)) {
        if (labels[key] !== value) {
            return false;
        }
    }
    return selector.matchExpressions.every(expression => matchesExpression(expression, labels));
}

function matchesExpression(expression: SelectorExpression, labels: Labels): boolean {
    const value = labels[expression.key];
    return match(expression.operator)
        .with("In", () => value !== undefined && expression.values.includes(value))
        .with("NotIn", () => value === undefined || !expression.values.includes(value))
        .with("Exists", () => value !== undefined)
        .with("DoesNotExist", () => value === undefined)
        .exhaustive();
}

/** @returns The label keys that the selector refers to, without duplicates. */
export function selectorKeys(selector: Selector): string[] {
    return [...new Set([...Object.keys(selector.matchLabels), ...selector.matchExpressions.map(entry => entry.key)])];
}

/** Matches `KEY in (VALUES)` and `KEY notin (VALUES)`. */
const SetPattern = /^(\S+)\s+(in|notin)\s+\(([^)]*)\)$/;
/** Matches `KEY=VALUE`, `KEY==VALUE` and `KEY!=VALUE`. */
const EqualPattern = /^([^=!\s]+)\s*(!?=)=?\s*(\S+)$/;

/**
 * Parses the text form of a selector, for example `app=chat,tier in (a,b),!legacy,zone!=z1`.
 * @param text Terms separated by commas; an empty text selects everything.
 * @returns The selector, or `undefined` when the text is malformed.
 */
export function parseSelector(text: string): Selector | undefined {
    const matchLabels: Labels = {};
    const matchExpressions: SelectorExpression[] = [];
    const terms = text.split(/,(?![^(]*\))/).map(term => term.trim()).filter(term => term !== "");
    for (const term of terms) {
        const set = SetPattern.exec(term);
        const equal = EqualPattern.exec(term);
        if (set !== null) {
            const values = set[3]!.split(",").map(value => value.trim()).filter(value => value !== "");
            matchExpressions.push({ key: set[1]!, operator: set[2] === "in" ? "In" : "NotIn", values });
        }
        else if (equal !== null && equal[2] === "=") {
            matchLabels[equal[1]!] = equal[3]!;
        }
        else if (equal !== null) {
            matchExpressions.push({ key: equal[1]!, operator: "NotIn", values: [equal[3]!] });
        }
        else if (/^!?[^\s!=()]+$/.test(term)) {
            const isNegated = term.startsWith("!");
            matchExpressions.push({
                key: isNegated ? term.slice(1) : term,
                operator: isNegated ? "DoesNotExist" : "Exists",
                values: [],
            });
        }
        else {
            return undefined;
        }
    }
    return { matchLabels, matchExpressions };
}
