/** Differences between two configurations, without API keys. */
import type { EdgeConfiguration, EdgeTeam } from "../edgeTypes.js";

/** A difference between the configuration in force and a new one. */
export interface Difference {
    readonly change: "added" | "removed" | "changed";
    /** The entry, such as `route sales`. */
    readonly subject: string;
    /** Changed fields with both values, such as `timeoutMs: 500 -> 900`; empty for an entry that is added or removed. */
    readonly fields: readonly string[];
}

interface NamedEntry {
    readonly name: string;
}

/**
 * @param inForce The configuration in force.
 * @param proposed The configuration that is to replace it.
 * @returns All differences: limits first, then services, routes and teams.
 */
export function compareConfigurations(inForce: EdgeConfiguration, proposed: EdgeConfiguration): readonly Difference[] {
    const limits = compareFields(inForce.limits, proposed.limits);
    return [
        ...limits.length === 0 ? [] : [{ change: "changed", subject: "limits", fields: limits } as const],
        ...compareEntries("service", inForce.services, proposed.services),
        ...compareEntries("route", inForce.routes, proposed.routes),
        ...compareTeams(inForce.teams ?? [], proposed.teams ?? []),
    ];
}

function compareTeams(before: readonly EdgeTeam[], after: readonly EdgeTeam[]): Difference[] {
    const withoutKeys = ({ name, priority, prepaidTokens }: EdgeTeam) => ({ name, priority, prepaidTokens });
    const differences = new Map(
        compareEntries("team", before.map(withoutKeys), after.map(withoutKeys)).map(entry => [entry.subject, entry]),
    );
    const keysBefore = new Map(before.map(({ name, apiKeys }) => [name, new Set(apiKeys)]));
    for (const { name, apiKeys } of after) {
        const known = keysBefore.get(name);
        const subject = `team ${name}`;
        const addedCount = apiKeys.filter(key => known?.has(key) === false).length;
        const removedCount = known === undefined ? 0 : [...known].filter(key => !apiKeys.includes(key)).length;
        if (addedCount + removedCount > 0) {
            const fields = [
                ...differences.get(subject)?.fields ?? [],
                `API keys: ${addedCount} added, ${removedCount} removed`,
            ];
            differences.set(subject, { change: "changed", subject, fields });
        }
    }
    return [...differences.values()];
}

function compareEntries<T extends NamedEntry>(noun: string, before: readonly T[], after: readonly T[]): Difference[] {
    const beforeByName = new Map(before.map(entry => [entry.name, entry]));
    const namesAfter = new Set(after.map(({ name }) => name));
    const removed = before.filter(({ name }) => !namesAfter.has(name))
        .map(({ name }): Difference => ({ change: "removed", subject: `${noun} ${name}`, fields: [] }));
    const addedOrChanged = after.flatMap((entry): Difference[] => {
        const subject = `${noun} ${entry.name}`;
        const known = beforeByName.get(entry.name);
        if (known === undefined) {
            return [{ change: "added", subject, fields: [] }];
        }
        const fields = compareFields(known, entry);
        return fields.length === 0 ? [] : [{ change: "changed", subject, fields }];
    });
    return [...removed, ...addedOrChanged];
}

/** @returns The fields whose values differ, with both values. */
function compareFields(before: object, after: object): string[] {
    const beforeValues = new Map(Object.entries(before));
    const afterValues = new Map(Object.entries(after));
    const names = new Set([...beforeValues.keys(), ...afterValues.keys()]);
    return [...names].flatMap(name => {
        const [left, right] = [textOf(beforeValues.get(name)), textOf(afterValues.get(name))];
        return left === right ? [] : [`${name}: ${left} -> ${right}`];
    });
}

function textOf(value: unknown): string {
    return value === undefined ? "none" : JSON.stringify(value);
}
