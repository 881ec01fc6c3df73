/** Log lines of the ledger: what a write divided and what a successor closed. */
import { log } from "../../base/log.js";
import {
    EmptyTeamLedger,
    type Ledger,
    maxRecordAgeMs,
    type ProcessStart,
    recordIfNewer,
    unallocatedTokens,
} from "./ledger.js";
import type { SpendingRecord } from "./spendingRecord.js";
import type { TeamAccounts } from "./teamAccounts.js";

/** Shares that a process closed for its predecessor. */
export interface ClosedShares {
    readonly hostId: string;
    readonly processStart: ProcessStart;
    /** The predecessor's own record. */
    readonly record: SpendingRecord | undefined;
    readonly stored: Ledger;
    readonly closed: Ledger;
    /** Version of the stored ledger. */
    readonly version: number | undefined;
}

/** One line: tokens spent by the record and at risk, by team. */
export function logClosedShares({ hostId, processStart, record, stored, closed, version }: ClosedShares): void {
    const host = stored.hosts[hostId];
    if (host === undefined) {
        return;
    }
    const shares = Object.entries(closed.teams).map(([name, team]) => {
        const before = stored.teams[name] ?? EmptyTeamLedger;
        return `${name}:${team.closedTokens - before.closedTokens}/${team.atRiskTokens - before.atRiskTokens}`;
    });
    log.info("budget shares of the previous process closed", {
        host: hostId,
        predecessor: host.incarnation,
        recordAgeMs: maxRecordAgeMs(recordIfNewer(host, record) ?? host, processStart),
        ledgerVersion: version,
        shares: shares.join(" "),
    });
}

/** One line: tokens granted, used and left unheld, by team. */
export function logWrittenShares(
    accounts: TeamAccounts,
    ledger: Ledger,
    version: number,
    prepaidTokens: (team: string) => number | undefined,
): void {
    const shares = accounts.all.map(account => {
        const team = ledger.teams[account.name] ?? EmptyTeamLedger;
        const unheld = unallocatedTokens(team, prepaidTokens(account.name) ?? 0);
        return `${account.name}:${account.grantedTokens}/${account.usedTokens}/${unheld}`;
    });
    log.info("budget shares written", { version, shares: shares.join(" ") });
}
