/** Assigns budgets to home hosts, which hold a share of them even without demand. */
import { RendezvousSet } from "../../base/hashing.js";
import type { Blackboard } from "../../kernel/blackboard.js";
import { liveHostIds } from "../membership/membershipBoard.js";
import type { BudgetSettings } from "./budgetSettings.js";
import { grantBudgetName } from "./budgetTypes.js";

/** Maximum number of budgets placed per update, so that an update takes well below a millisecond. */
const MaxPlacementsPerStep = 500;

/** @returns Region of a zone: its name up to the last hyphen. Zones without a hyphen form a single region. */
export function regionOfZone(zone: string): string {
    return zone.slice(0, Math.max(0, zone.lastIndexOf("-")));
}

/**
 * Determines the budgets that this host is home of, from the configuration and the live hosts of its region. The
 * assignment is recomputed in steps after either changes.
 */
export class HomeBudgetAssignment {
    readonly #board: Blackboard;
    readonly #settings: BudgetSettings;
    readonly #homeBudgets = new Set<string>();
    /** Budgets that are placed for the current hosts. They stay placed when the configuration changes. */
    readonly #placedBudgets = new Set<string>();
    #hostsFingerprint = "";
    #configVersion = -1;
    #pendingBudgets: string[] = [];
    #hostIds: string[] = [];
    #regionHosts = new RendezvousSet([]);
    #isHomeOfAll = true;

    constructor(board: Blackboard, settings: BudgetSettings) {
        this.#board = board;
        this.#settings = settings;
    }

    /** @returns Number of live hosts, this one included; at least 1. */
    get liveHostCount(): number {
        return Math.max(1, this.#hostIds.length);
    }

    /** @returns Names of the budgets that this host is home of. */
    get homeBudgets(): ReadonlySet<string> {
        return this.#homeBudgets;
    }

    /** @returns Whether this host is home of a budget. */
    isHomeOf(budget: string): boolean {
        return this.#homeBudgets.has(budget) || (this.#isHomeOfAll && this.#homeBudgets.size === 0);
    }

    /** @returns Whether a host of this host's region is home of a budget; always false while every host is home of all. */
    isHostHomeOf(budget: string, hostId: string): boolean {
        return !this.#isHomeOfAll && this.#regionHosts.isPlacedOn(budget, hostId, this.#settings.homeHostCount);
    }

    /** Updates the assignment to the current configuration and live hosts; called regularly. */
    update(): void {
        this.#updateHosts();
        this.#updateConfiguration();
        const placementCount = this.#isHomeOfAll ? this.#pendingBudgets.length : MaxPlacementsPerStep;
        for (const budget of this.#pendingBudgets.splice(0, placementCount)) {
            this.#place(budget);
        }
    }

    #updateHosts(): void {
        const { journal, membership } = this.#board;
        this.#hostIds = liveHostIds(membership, journal.hostId);
        const zone = membership.ownDigest?.self.zone ?? "";
        const fingerprint = `${zone}|${this.#hostIds.join(",")}`;
        if (fingerprint !== this.#hostsFingerprint) {
            this.#hostsFingerprint = fingerprint;
            this.#regionHosts = new RendezvousSet(this.#hostsOfRegion(regionOfZone(zone)));
            this.#placedBudgets.clear();
            this.#configVersion = -1;
        }
    }

    #updateConfiguration(): void {
        const { version, resources } = this.#board.config;
        if (version === this.#configVersion) {
            return;
        }
        this.#configVersion = version;
        const configured = new Set([...resources.budgets.keys(), ...[...resources.grants.keys()].map(grantBudgetName)]);
        const isHomeOfAll = configured.size <= this.#settings.standingBudgetCount;
        if (isHomeOfAll !== this.#isHomeOfAll) {
            this.#isHomeOfAll = isHomeOfAll;
            this.#placedBudgets.clear();
        }
        for (const budget of [...this.#homeBudgets, ...this.#placedBudgets]) {
            if (!configured.has(budget)) {
                this.#homeBudgets.delete(budget);
                this.#placedBudgets.delete(budget);
            }
        }
        this.#pendingBudgets = [...configured].filter(budget => !this.#placedBudgets.has(budget));
    }

    #place(budget: string): void {
        const { hostId } = this.#board.journal;
        this.#placedBudgets.add(budget);
        if (this.#isHomeOfAll || this.#regionHosts.isPlacedOn(budget, hostId, this.#settings.homeHostCount)) {
            this.#homeBudgets.add(budget);
        }
        else {
            this.#homeBudgets.delete(budget);
        }
    }

    #hostsOfRegion(region: string): string[] {
        const { journal, membership } = this.#board;
        return this.#hostIds.filter(hostId =>
            hostId === journal.hostId || regionOfZone(membership.members.get(hostId)?.zone ?? "") === region
        );
    }
}
