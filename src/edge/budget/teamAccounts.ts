/** A collection of the accounts of teams at this host. */
import type { Clock } from "../../base/clock.js";
import { TeamAccount } from "./teamAccount.js";

/** Accounts by team name, created on demand, with the clock that they use. */
export class TeamAccounts {
    readonly #clock: Clock;
    readonly #byTeam = new Map<string, TeamAccount>();

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /** @returns Monotonic time in milliseconds. */
    get nowMs(): number {
        return this.#clock.monotonicMs();
    }

    /** @returns Wall-clock time in milliseconds. */
    get wallMs(): number {
        return this.#clock.wallMs();
    }

    /** @returns All accounts. */
    get all(): readonly TeamAccount[] {
        return [...this.#byTeam.values()];
    }

    /** @returns Tokens of all teams that are spent, lent or reserved. */
    get usedTokens(): number {
        return this.all.reduce((sum, account) => sum + account.usedTokens, 0);
    }

    /** @returns Whether a new record within the current grants would serve a waiting request, or the next ones at once. */
    get needsNewRecord(): boolean {
        return this.all.some(account =>
            (account.waiting.length > 0 && !account.needsLargerGrant) || account.needsNewRecord(this.nowMs)
        );
    }

    /** @returns Whether the waiting requests of any team need more tokens than the host holds. */
    get needsLargerGrant(): boolean {
        return this.all.some(account => account.needsLargerGrant);
    }

    /** @returns The account of a team; created if there is none. */
    getOrCreate(team: string): TeamAccount {
        let account = this.#byTeam.get(team);
        if (account === undefined) {
            account = new TeamAccount(team, this.nowMs);
            this.#byTeam.set(team, account);
        }
        return account;
    }

    /** Adds an account that another collection holds as well. */
    add(account: TeamAccount): void {
        this.#byTeam.set(account.name, account);
    }

    /** @returns The account of a team; `undefined` if there is none. */
    find(team: string): TeamAccount | undefined {
        return this.#byTeam.get(team);
    }
}
