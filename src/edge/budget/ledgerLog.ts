/** Log lines of the ledger: the shares after a write, and the shares of its predecessor that a process closed. */
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

/** Shares of its predecessor that a process closed, with the ledger before and after. */
export interface ClosedShares {
    readonly hostId: string;
    readonly processStart: ProcessStart;
    /** The predecessor's own record, if there is one. */
    readonly record: SpendingRecord | undefined;
    /** The ledger before the shares were closed. */
    readonly stored: Ledger;
    /** The ledger after the shares were closed. */
    readonly closed: Ledger;
    /** Version of the stored ledger. */
    readonly version: number | undefined;
}

/** Logs one line with the predecessor's spent tokens and tokens at risk, by team as `team:spent/atRisk`. */
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

/** Logs one line with granted, used and unallocated tokens, by team as `team:granted/used/unallocated`. */
export function logWrittenShares(
    accounts: TeamAccounts,
    ledger: Ledger,
    version: number,
    prepaidTokens: (team: string) => number | undefined,
): void {
    const shares = accounts.all.map(account => {
        const team = ledger.teams[account.name] ?? EmptyTeamLedger;
        const unallocated = unallocatedTokens(team, prepaidTokens(account.name) ?? 0);
        return `${account.name}:${account.grantedTokens}/${account.usedTokens}/${unallocated}`;
    });
    log.info("budget shares written", { version, shares: shares.join(" ") });
}
