/** Formats results and failures of the operator tool as text or JSON. */
import type { CommandFailure, CommandOutput, Table } from "./commandResult.js";

/** Output formats: text with a table for people, or JSON for programs. */
export type OutputFormat = "table" | "json";

/** @returns The result as text for standard output. */
export function renderOutput(output: CommandOutput, format: OutputFormat): string {
    if (format === "json") {
        return `${JSON.stringify(output.value, undefined, 4)}\n`;
    }
    const lines = [...output.table === undefined ? [] : renderTable(output.table), ...output.lines ?? []];
    return lines.map(line => `${line}\n`).join("");
}

/** @returns The failure as text for standard error; a conflict lists the values of both sides. */
export function renderFailure(failure: CommandFailure, format: OutputFormat): string {
    if (format === "json") {
        return `${JSON.stringify({ error: failure }, undefined, 4)}\n`;
    }
    const isConflict = Array.isArray(failure.details) && failure.details.some(entry => "mine" in (entry as object));
    const conflictText = isConflict ? (failure.details as Record<string, unknown>[]).flatMap(conflictLines) : [];
    return [failure.message, ...conflictText].map(line => `${line}\n`).join("");
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
