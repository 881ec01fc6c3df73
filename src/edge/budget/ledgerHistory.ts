/**
 * Tells when a ledger can be relied on after the store has come back from a copy. The copy lacks grants and spending of its last seconds,
 * so that nothing may be granted until the hosts have stated their shares again.
 */
import type { HostShare, Ledger, TeamLedger } from "./ledger.js";
import { MaxCopyAgeMs } from "./spendingBound.js";

/** Time in which hosts state their shares again, also those whose share the copy lacks, in milliseconds. */
const RestatementMs = 2_000;

/** Time in which closed tokens that the copy lacks are written again after that, in milliseconds; nothing is granted before. */
const ClosedTokensMs = 1_000;

/**
 * Time after which a host that has not stated its share again counts as lost for good, in milliseconds. Its share is then counted with
 * all that it may have spent.
 */
const LostHostMs = 30_000;

const MsPerS = 1_000;

/** A history of the store, and the monotonic time at which a host saw that it began, in milliseconds. */
export interface BegunHistory {
    readonly history: number;
    readonly begunAtMs: number;
}

/** The store's current history as one host sees it. */
export class LedgerHistory {
    #current: number | undefined;
    /** Monotonic time at which the host saw that the history began, in milliseconds; `-Infinity` for the first one. */
    #begunAtMs: number;
    /** Monotonic time at which a host was first seen that has not stated its share in the history, in milliseconds. */
    #unstatedSinceMs: number | undefined;
    /** Tokens that closed incarnations have or may have spent, by team: as last seen, and the most seen in earlier histories. */
    #closedTokens = new Map<string, number>();
    readonly #closedBefore = new Map<string, number>();

    /** @param begun The history that has begun while this process ran; `undefined` if none has. */
    constructor(begun: BegunHistory | undefined) {
        this.#current = begun?.history;
        this.#begunAtMs = begun?.begunAtMs ?? Number.NEGATIVE_INFINITY;
    }

    /** @returns Number of the history; 0 before the first ledger is known. */
    get current(): number {
        return this.#current ?? 0;
    }

    /**
     * Records the history of a version that was read.
     * @returns Whether the store has come back from a copy since the last call.
     */
    observe(history: number, nowMs: number): boolean {
        if (this.#current === undefined) {
            this.#current = history;
            return false;
        }
        return this.begin(history, nowMs);
    }

    /**
     * Records that a history has begun while this process ran.
     * @returns Whether it is later than the known one.
     */
    begin(history: number, nowMs: number): boolean {
        if (history <= this.current) {
            return false;
        }
        this.#current = history;
        this.#begunAtMs = nowMs;
        this.#unstatedSinceMs = undefined;
        this.#closedTokens.forEach((tokens, team) =>
            this.#closedBefore.set(team, Math.max(tokens, this.#closedBefore.get(team) ?? 0))
        );
        this.#closedTokens = new Map();
        return true;
    }

    /** Remembers what closed incarnations have spent, in case the store forgets it. */
    recordClosedTokens(ledger: Ledger): void {
        this.#closedTokens = new Map(Object.entries(ledger.teams).map(([name, team]) => [name, closedTokensOf(team)]));
    }

    /**
     * @returns The ledger in which closed incarnations have spent no less than before a restore. What is missing once all hosts have
     * stated and closed their shares again is counted as at risk.
     */
    restoreClosedTokens(ledger: Ledger, ownHostId: string, nowMs: number): Ledger {
        if (!this.isClosedTokensDue(ledger, ownHostId, nowMs)) {
            return ledger;
        }
        const teams = Object.entries(ledger.teams).map(([name, team]): [string, TeamLedger] => [
            name,
            { ...team, atRiskTokens: team.atRiskTokens + this.#missingClosedTokens(name, team) },
        ]);
        return { ...ledger, teams: Object.fromEntries(teams) };
    }

    /** @returns Whether {@link restoreClosedTokens} changes the ledger. */
    isClosedTokensDue(ledger: Ledger, ownHostId: string, nowMs: number): boolean {
        return nowMs - this.#begunAtMs >= RestatementMs &&
            Object.entries(ledger.teams).some(([name, team]) => this.#missingClosedTokens(name, team) > 0) &&
            this.#areSharesStated(ledger, ownHostId, nowMs);
    }

    #missingClosedTokens(name: string, team: TeamLedger): number {
        return Math.max(0, (this.#closedBefore.get(name) ?? 0) - closedTokensOf(team));
    }

    /** @returns Whether unallocated tokens may be granted: all hosts have stated their shares in the current history. */
    canGrant(ledger: Ledger, ownHostId: string, nowMs: number): boolean {
        return nowMs - this.#begunAtMs >= RestatementMs + ClosedTokensMs &&
            this.#areSharesStated(ledger, ownHostId, nowMs);
    }

    #areSharesStated(ledger: Ledger, ownHostId: string, nowMs: number): boolean {
        if (!Object.keys(ledger.hosts).some(id => id !== ownHostId && !this.#hasStated(ledger, id))) {
            this.#unstatedSinceMs = undefined;
            return true;
        }
        this.#unstatedSinceMs ??= nowMs;
        return nowMs - this.#unstatedSinceMs >= LostHostMs;
    }

    /** @returns The team's ledger; shares that were not stated in the current history count with what may have been granted since the copy. */
    withUnstatedShares(ledger: Ledger, team: TeamLedger, ownHostId: string): TeamLedger {
        const shares = Object.entries(team.shares).map(([id, share]): [string, HostShare] =>
            id === ownHostId || this.#hasStated(ledger, id) ?
                [id, share] :
                [id, { ...share, grantedTokens: maxGrantedTokens(share) }]
        );
        return { ...team, shares: Object.fromEntries(shares) };
    }

    /** A host of an earlier release writes no history; its entry counts unless a restore was seen. */
    #hasStated(ledger: Ledger, hostId: string): boolean {
        const history = ledger.hosts[hostId]?.history;
        return history === undefined ? this.#begunAtMs === Number.NEGATIVE_INFINITY : history >= this.current;
    }
}

/** @returns Tokens that a host may hold whose share is that of a copy, if it goes on spending at the rate of its record. */
export function maxGrantedTokens({ grantedTokens, burstTokens, releaseTokensPerS }: HostShare): number {
    return grantedTokens + burstTokens + Math.ceil(releaseTokensPerS * MaxCopyAgeMs / MsPerS);
}

function closedTokensOf({ closedTokens, atRiskTokens }: TeamLedger): number {
    return closedTokens + atRiskTokens;
}
