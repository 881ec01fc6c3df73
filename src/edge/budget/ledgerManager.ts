/** The ledgers in which this host has shares: those of the teams whose home it is, and those of its predecessor. */
import type { Clock } from "../../base/clock.js";
import type { Counters } from "../../base/counters.js";
import type { PlatformStore } from "../../platform/platformStore.js";
import type { ProcessStart } from "./ledger.js";
import { LedgerSync } from "./ledgerSync.js";
import { RecordSync } from "./recordSync.js";
import { TeamAccounts } from "./teamAccounts.js";
import { WriteSequencer } from "./writeSequencer.js";

/** What the ledgers are built from. */
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
    /** `IP:port` for messages of other hosts. */
    readonly peerAddress: string;
    /** When this process started. */
    readonly processStart: ProcessStart;
    /** @returns The machine's steady clock in milliseconds; processes of one start of a machine share it. */
    steadyMs(): number;
    /** @returns Prepaid tokens of a team by the configuration in force; `undefined` for no limit. */
    prepaidTokens(team: string): number | undefined;
    /** @returns Teams with a prepaid amount. */
    prepaidTeams(): readonly string[];
    /** @returns Hosts that should hold the team's tokens; none before the hosts are known. */
    homeHostIds(team: string): readonly string[];
}

/** Opens ledgers as they are needed, and keeps them and the record in step with the store. */
export class LedgerManager {
    readonly #dependencies: LedgerManagerDependencies;
    readonly #accounts: TeamAccounts;
    /** Accounts of the teams with a ledger here: the record names them alone. */
    readonly #recorded: TeamAccounts;
    readonly #records: WriteSequencer;
    readonly #recordSync: RecordSync;
    readonly #byTeam = new Map<string, LedgerSync>();
    #isClosing = false;

    constructor(dependencies: LedgerManagerDependencies, accounts: TeamAccounts) {
        this.#dependencies = dependencies;
        this.#accounts = accounts;
        this.#recorded = new TeamAccounts(dependencies.clock);
        this.#records = new WriteSequencer(dependencies.incarnation, this.#recorded, () => dependencies.steadyMs());
        const { store, recordKey, incarnation, counters } = dependencies;
        const sequencer = this.#records;
        const requiredLedgers = () => [...this.#byTeam.keys()];
        this.#recordSync = new RecordSync(
            { store, key: recordKey, incarnation, counters, sequencer, requiredLedgers },
            this.#recorded,
        );
    }

    /** @returns Whether all shares of the predecessor are closed, so that this process may write its own record. */
    get isEstablished(): boolean {
        return this.#recordSync.hasTakenOver &&
            this.#recordSync.inheritedLedgers.every(team => this.#byTeam.get(team)?.isEstablished === true);
    }

    /** @returns Whether a ledger is open. */
    get hasOpenLedgers(): boolean {
        return this.#byTeam.size > 0;
    }

    /** @returns The open ledger of a team. */
    find(team: string): LedgerSync | undefined {
        return this.#byTeam.get(team);
    }

    /** @returns Whether calls for the team's tokens get no answer. */
    isStoreUnavailable(team: string): boolean {
        return this.#recordSync.isFailing || this.#byTeam.get(team)?.isFailing === true;
    }

    /** Opens the ledger of a team, whose tokens this host holds from then on as far as they are needed. */
    open(team: string): void {
        if (this.#byTeam.has(team) || this.#isClosing) {
            return;
        }
        const account = this.#accounts.getOrCreate(team);
        const own = new TeamAccounts(this.#dependencies.clock);
        own.add(account);
        this.#recorded.add(account);
        const { ledgerPrefix, homeHostIds } = this.#dependencies;
        this.#byTeam.set(
            team,
            new LedgerSync(
                { ...this.#dependencies, key: `${ledgerPrefix}${team}`, team, homeHostIds: () => homeHostIds(team) },
                own,
                this.#records,
                this.#recordSync,
            ),
        );
    }

    /** Writes what is due; called every few ten milliseconds. */
    tick(): void {
        for (const team of this.#recordSync.inheritedLedgers) {
            this.open(team);
        }
        for (const team of this.#dependencies.prepaidTeams()) {
            if (this.#dependencies.homeHostIds(team).includes(this.#dependencies.hostId)) {
                this.open(team);
            }
        }
        for (const ledger of this.#byTeam.values()) {
            ledger.tick();
        }
        this.#recordSync.tick(this.isEstablished && !this.#isClosing);
    }

    /** The store answers again. */
    onStoreReconnected(): void {
        for (const ledger of this.#byTeam.values()) {
            ledger.onStoreReconnected();
        }
        this.#recordSync.onStoreReconnected();
    }

    /** Gives all unused tokens back. */
    async close(): Promise<void> {
        this.#isClosing = true;
        await Promise.all([...this.#byTeam.values()].map(ledger => ledger.close()));
    }
}
