/** Reports a chaos run as a table and as one line of JSON. */
import { groupBy } from "../base/groupBy.js";
import type { ChaosResult } from "./chaosRun.js";
import { PropertyNames } from "./chaosTypes.js";

/** Maximum length of the evidence of one violation on the terminal; `violations.json` contains all of it. */
const MaxEvidenceCharacters = 3_000;
/** Maximum number of violations of one property on the terminal. */
const MaxShownViolations = 3;

function countBy<T>(values: readonly T[], keyOf: (value: T) => string): Record<string, number> {
    const counts = [...groupBy(values, keyOf)].map(([key, group]) => [key, group.length] as const);
    return Object.fromEntries(counts.sort(([a], [b]) => a < b ? -1 : 1));
}

/** @returns Counts of a run, which are printed as one line of JSON. */
export function summarise(seed: number, result: ChaosResult): Record<string, unknown> {
    const { evidence, failures, operatorExits, quietMs, violations } = result;
    const { calls, executions, bills, budgets } = evidence;
    const complete = calls.filter(call => call.outcome === "complete");
    return {
        seed,
        requests: calls.length,
        complete: complete.length,
        replayed: complete.filter(call => call.replayed).length,
        refusedNotRun: calls.filter(call => call.ran === "no").length,
        keysRetried: [...groupBy(calls.filter(call => call.key !== undefined), call => call.key!).values()]
            .filter(group => group.length > 1).length,
        outcomes: countBy(calls, call => call.outcome),
        errors: countBy(calls.filter(call => call.errorName !== undefined), call => call.errorName!),
        executions: executions.length,
        billLines: bills.length,
        atRiskHosts: new Set(Object.values(budgets).flatMap(object => Object.keys(object.atRiskTokens))).size,
        records: countBy(Object.values(evidence.recordStates), state => state),
        failuresInjected: Object.values(failures).reduce((sum, count) => sum + count, 0),
        failures,
        shutdowns: evidence.shutdowns.length,
        operatorExits,
        configVersion: evidence.storedVersion,
        quietMs: Math.round(quietMs),
        violations: countBy(violations, violation => violation.property),
    };
}

/** @returns Table of the properties, followed by the evidence of violations. */
export function formatReport(result: ChaosResult): string {
    const groups = groupBy(result.violations, violation => violation.property);
    const width = Math.max(...PropertyNames.map(name => name.length));
    const rows = PropertyNames.map(name => {
        const count = groups.get(name)?.length ?? 0;
        return `${name.padEnd(width)}  ${count === 0 ? "holds" : `VIOLATED ${count} times`}`;
    });
    const details = [...groups.values()].flatMap(group => group.slice(0, MaxShownViolations)).map(violation =>
        `\n${violation.property}: ${violation.message}\n` +
        JSON.stringify(violation.evidence, undefined, 1).slice(0, MaxEvidenceCharacters)
    );
    const kept = result.directory === undefined ? [] : [`\nsettings and logs: ${result.directory}`];
    return [`${"PROPERTY".padEnd(width)}  VERDICT`, ...rows, ...details, ...kept].join("\n");
}
