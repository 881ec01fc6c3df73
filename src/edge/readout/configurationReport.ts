/** The report of a configuration that is checked before it is submitted. */
import { ExitCodes } from "../../base/exitCodes.js";
import type { CommandOutput } from "../../control/commandResult.js";
import type { EdgeConfiguration } from "../edgeTypes.js";
import { checkConfiguration, type Finding } from "./configurationCheck.js";
import { compareConfigurations, type Difference } from "./configurationDiff.js";

/**
 * @param proposed The new configuration, or the problem for which it cannot be read.
 * @param inForce The configuration in force; `undefined` when there is none to compare with.
 * @returns Findings and differences; the exit code is {@link ExitCodes.Failed} if any finding is an error.
 */
export function reportConfiguration(
    proposed: EdgeConfiguration | string,
    inForce: EdgeConfiguration | undefined,
): CommandOutput {
    if (typeof proposed === "string") {
        return toOutput(
            [{ severity: "error", kind: "invalid", subject: "configuration", message: proposed }],
            undefined,
        );
    }
    const findings = [...findStaleVersion(proposed, inForce), ...checkConfiguration(proposed)];
    return toOutput(findings, inForce === undefined ? undefined : compareConfigurations(inForce, proposed));
}

/** Hosts never take a configuration with a version that is not above the one in force. */
function findStaleVersion({ version }: EdgeConfiguration, inForce: EdgeConfiguration | undefined): Finding[] {
    return inForce === undefined || version > inForce.version ? [] : [{
        severity: "error",
        kind: "contradiction",
        subject: "configuration",
        message: `version ${version} is not above version ${inForce.version} in force and would be ignored`,
    }];
}

function toOutput(findings: readonly Finding[], differences: readonly Difference[] | undefined): CommandOutput {
    const errorCount = findings.filter(({ severity }) => severity === "error").length;
    const summary = `${errorCount} errors, ${findings.length - errorCount} warnings`;
    return {
        value: { errorCount, findings, differences },
        ...findings.length === 0 ? {} : {
            table: {
                columns: ["severity", "kind", "entry", "finding"],
                rows: findings.map(({ severity, kind, subject, message }) => [severity, kind, subject, message]),
            },
        },
        lines: [
            summary,
            ...differences === undefined ?
                ["not compared: no configuration in force was given"] :
                describeDifferences(differences),
        ],
        ...errorCount === 0 ? {} : { exitCode: ExitCodes.Failed },
    };
}

function describeDifferences(differences: readonly Difference[]): string[] {
    return [
        `${differences.length} entries differ from the configuration in force`,
        ...differences.map(({ change, subject, fields }) =>
            `${change} ${subject}${fields.length === 0 ? "" : `: ${fields.join(", ")}`}`
        ),
    ];
}
