/** Manages the ledgers in which this host has shares: those of the teams whose home it is, and those of its predecessor. */
import type { Clock } from "../../base/clock.js";
import type { Counters } from "../../base/counters.js";
import { log } from "../../base/log.js";
import type { PlatformStore } from "../../platform/platformStore.js";
import type { ProcessStart } from "./ledger.js";
import type { BegunHistory } from "./ledgerHistory.js";
import { LedgerSync } from "./ledgerSync.js";
import { RecordSync } from "./recordSync.js";
import { TeamAccounts } from "./teamAccounts.js";
import { WriteSequencer } from "./writeSequencer.js";

/** Collaborators and settings of a {@link LedgerManager}. */
export interface LedgerManagerDependencies {
    readonly store: PlatformStore;
    readonly clock: Clock;
    readonly counters: Counters;
    /** Prefix of the ledgers' keys; a team's name follows. */
    readonly ledgerPrefix: string;
    /** Key of this host's own record. */
    readonly recordKey: string;
    readonly hostId: string;
    readonly incarnation: string;
    /** `IP:port` at which this host receives messages of other hosts. */
    readonly peerAddress: string;
    /** When this process started. */
    readonly processStart: ProcessStart;
    /** @returns The machine's steady clock in milliseconds; processes share it until the machine restarts. */
    steadyMs(): number;
    /** @returns Prepaid tokens of a team by the configuration in force; `undefined` for no limit. */
    prepaidTokens(team: string): number | undefined;
    /** @returns Teams with a prepaid amount. */
    prepaidTeams(): readonly string[];
    /** @returns Hosts that should hold the team's tokens; none before the hosts are known. */
    homeHostIds(team: string): readonly string[];
}

/** Opens ledgers as they are needed, and keeps them and this host's record in sync with the store. */
export class LedgerManager {
    readonly #dependencies: LedgerManagerDependencies;
    readonly #accounts: TeamAccounts;
    /** Accounts of the teams with an open ledger; only these are in this host's record. */
    readonly #recordedAccounts: TeamAccounts;
    readonly #sequencer: WriteSequencer;
    readonly #recordSync: RecordSync;
    readonly #ledgersByTeam = new Map<string, LedgerSync>();
    #isClosing = false;
    #begunHistory: BegunHistory | undefined;

    constructor(dependencies: LedgerManagerDependencies, accounts: TeamAccounts) {
        this.#dependencies = dependencies;
        this.#accounts = accounts;
        this.#recordedAccounts = new TeamAccounts(dependencies.clock);
        this.#sequencer = new WriteSequencer(
            dependencies.incarnation,
            this.#recordedAccounts,
            () => dependencies.steadyMs(),
        );
        const { store, recordKey, incarnation, counters } = dependencies;
        const sequencer = this.#sequencer;
        const requiredLedgers = () => [...this.#ledgersByTeam.keys()];
        this.#recordSync = new RecordSync(
            { store, key: recordKey, incarnation, counters, sequencer, requiredLedgers },
            this.#recordedAccounts,
        );
    }

    /**
     * @returns Whether this process has taken over the host's record and all shares of its predecessor are closed, so that it
     * may write its own record.
     */
    get isEstablished(): boolean {
        return this.#recordSync.hasTakenOver &&
            this.#recordSync.inheritedLedgers.every(team => this.#ledgersByTeam.get(team)?.isEstablished === true);
    }

    /** @returns Whether a ledger is open. */
    get hasOpenLedgers(): boolean {
        return this.#ledgersByTeam.size > 0;
    }

    /** @returns The open ledger of a team; `undefined` when none is open. */
    find(team: string): LedgerSync | undefined {
        return this.#ledgersByTeam.get(team);
    }

    /** @returns Whether calls to the store for this host's record or the team's ledger fail or get no response. */
    isStoreUnavailable(team: string): boolean {
        return this.#recordSync.isFailing || this.#ledgersByTeam.get(team)?.isFailing === true;
    }

    /** Opens the ledger of a team, so that this host can hold tokens of the team. No effect while closing. */
    open(team: string): void {
        if (this.#ledgersByTeam.has(team) || this.#isClosing) {
            return;
        }
        const account = this.#accounts.getOrCreate(team);
        const ownAccounts = new TeamAccounts(this.#dependencies.clock);
        ownAccounts.add(account);
        this.#recordedAccounts.add(account);
        const { ledgerPrefix, homeHostIds } = this.#dependencies;
        this.#ledgersByTeam.set(
            team,
            new LedgerSync(
                {
                    ...this.#dependencies,
                    key: `${ledgerPrefix}${team}`,
                    team,
                    begunHistory: this.#begunHistory,
                    homeHostIds: () => homeHostIds(team),
                },
                ownAccounts,
                this.#sequencer,
                this.#recordSync,
            ),
        );
    }

    /** Opens ledgers that are needed and writes those that are due. Must be called every few tens of milliseconds. */
    tick(): void {
        for (const team of this.#recordSync.inheritedLedgers) {
            this.open(team);
        }
        for (const team of this.#dependencies.prepaidTeams()) {
            if (this.#dependencies.homeHostIds(team).includes(this.#dependencies.hostId)) {
                this.open(team);
            }
        }
        for (const [team, ledger] of this.#ledgersByTeam) {
            const [firstHomeId = this.#dependencies.hostId] = this.#dependencies.homeHostIds(team);
            this.#accounts.getOrCreate(team).canBurst = firstHomeId === this.#dependencies.hostId;
            ledger.tick();
        }
        this.#recordSync.tick(this.isEstablished && !this.#isClosing);
    }

    /** Must be called when the store can be reached again. */
    onStoreReconnected(): void {
        for (const ledger of this.#ledgersByTeam.values()) {
            ledger.onStoreReconnected();
        }
        this.#recordSync.onStoreReconnected();
    }

    /**
     * Must be called when the store has come back from a copy.
     * @param history The store's new history.
     */
    onStoreRestored(history: number): void {
        this.#begunHistory = { history, begunAtMs: this.#dependencies.clock.monotonicMs() };
        log.info("budgets are stated again", { history, ledgers: this.#ledgersByTeam.size });
        for (const ledger of this.#ledgersByTeam.values()) {
            ledger.onStoreRestored(history);
        }
        this.#recordSync.onStoreRestored();
    }

    /** Returns all unused tokens to the ledgers; resolves after one attempt to write each. */
    async close(): Promise<void> {
        this.#isClosing = true;
        await Promise.all([...this.#ledgersByTeam.values()].map(ledger => ledger.close()));
    }
}
