/** Output of the operator tool. */
import type { CommandFailure, CommandOutput, Table } from "./commandResult.js";

/** Output formats. */
export type OutputFormat = "table" | "json";

/** @returns The text of a result for standard output. */
export function renderOutput(output: CommandOutput, format: OutputFormat): string {
    if (format === "json") {
        return `${JSON.stringify(output.value, undefined, 4)}\n`;
    }
    const lines = [...output.table === undefined ? [] : renderTable(output.table), ...output.lines ?? []];
    return lines.map(line => `${line}\n`).join("");
}

/** @returns The text of a failure for standard error. */
export function renderFailure(failure: CommandFailure, format: OutputFormat): string {
    if (format === "json") {
        return `${JSON.stringify({ error: failure }, undefined, 4)}\n`;
    }
    const isConflict = Array.isArray(failure.details) && failure.details.some(entry => "mine" in (entry as object));
    const sides = isConflict ? (failure.details as Record<string, unknown>[]).flatMap(conflictLines) : [];
    return [failure.message, ...sides].map(line => `${line}\n`).join("");
}

function conflictLines(conflict: Record<string, unknown>): string[] {
    return [
        `${conflict["kind"]}/${conflict["name"]}`,
        ...["base", "mine", "theirs"].map(side => `  ${side}: ${JSON.stringify(conflict[side])}`),
    ];
}

function renderTable({ columns, rows }: Table): string[] {
    const widths = columns.map((column, index) =>
        Math.max(column.length, ...rows.map(row => String(row[index]).length))
    );
    return [columns, ...rows].map(row =>
        row.map((cell, index) =>
            typeof cell === "number" ? String(cell).padStart(widths[index]!) : String(cell).padEnd(widths[index]!)
        ).join("  ").trimEnd()
    );
}
