/** Which budgets this host holds a standing share of. */
import { RendezvousSet } from "../../base/hashing.js";
import type { Blackboard } from "../../kernel/blackboard.js";
import { liveHostIds } from "../membership/membershipBoard.js";
import type { BudgetSettings } from "./budgetSettings.js";
import { grantBudgetName } from "./budgetTypes.js";

/** Budgets placed per step, so that a step stays well below a millisecond. */
const PlacedPerStep = 500;

/** @returns Region of a zone: the part before the last hyphen; zones without one form a single region. */
export function regionOfZone(zone: string): string {
    return zone.slice(0, Math.max(0, zone.lastIndexOf("-")));
}

/** Standing shares by configuration and live hosts; recomputed in steps after either changes. */
export class HomeBudgetAssignment {
    readonly #board: Blackboard;
    readonly #settings: BudgetSettings;
    readonly #homes = new Set<string>();
    /** Budgets that are decided for the current hosts. A change of the configuration leaves them decided. */
    readonly #placed = new Set<string>();
    #hostBasis = "";
    #configVersion = -1;
    #pending: string[] = [];
    #hostIds: string[] = [];
    #regionHosts = new RendezvousSet([]);
    #placeAll = true;

    constructor(board: Blackboard, settings: BudgetSettings) {
        this.#board = board;
        this.#settings = settings;
    }

    /** @returns Live hosts, this one included; at least 1. */
    get liveHostCount(): number {
        return Math.max(1, this.#hostIds.length);
    }

    /** @returns Budgets that this host is home of. */
    get homeBudgets(): ReadonlySet<string> {
        return this.#homes;
    }

    /** @returns Whether this host is home of a budget. */
    isHomeOf(budget: string): boolean {
        return this.#homes.has(budget) || (this.#placeAll && this.#homes.size === 0);
    }

    /** @returns Whether a host of the own region is home of a budget; undecided while every host is. */
    isHostHomeOf(budget: string, hostId: string): boolean {
        return !this.#placeAll && this.#regionHosts.isPlacedOn(budget, hostId, this.#settings.homeHostCount);
    }

    /** Follows the configuration and the live hosts; called regularly. */
    update(): void {
        this.#followHosts();
        this.#followConfiguration();
        const places = this.#placeAll ? this.#pending.length : PlacedPerStep;
        for (const budget of this.#pending.splice(0, places)) {
            this.#place(budget);
        }
    }

    #followHosts(): void {
        const { journal, membership } = this.#board;
        this.#hostIds = liveHostIds(membership, journal.hostId);
        const zone = membership.ownDigest?.self.zone ?? "";
        const basis = `${zone}|${this.#hostIds.join(",")}`;
        if (basis !== this.#hostBasis) {
            this.#hostBasis = basis;
            this.#regionHosts = new RendezvousSet(this.#hostsOfRegion(regionOfZone(zone)));
            this.#placed.clear();
            this.#configVersion = -1;
        }
    }

    #followConfiguration(): void {
        const { version, resources } = this.#board.config;
        if (version === this.#configVersion) {
            return;
        }
        this.#configVersion = version;
        const configured = new Set([...resources.budgets.keys(), ...[...resources.grants.keys()].map(grantBudgetName)]);
        const placeAll = configured.size <= this.#settings.standingBudgetCount;
        if (placeAll !== this.#placeAll) {
            this.#placeAll = placeAll;
            this.#placed.clear();
        }
        for (const budget of [...this.#homes, ...this.#placed]) {
            if (!configured.has(budget)) {
                this.#homes.delete(budget);
                this.#placed.delete(budget);
            }
        }
        this.#pending = [...configured].filter(budget => !this.#placed.has(budget));
    }

    #place(budget: string): void {
        const { hostId } = this.#board.journal;
        this.#placed.add(budget);
        if (this.#placeAll || this.#regionHosts.isPlacedOn(budget, hostId, this.#settings.homeHostCount)) {
            this.#homes.add(budget);
        }
        else {
            this.#homes.delete(budget);
        }
    }

    #hostsOfRegion(region: string): string[] {
        const { journal, membership } = this.#board;
        return this.#hostIds.filter(hostId =>
            hostId === journal.hostId || regionOfZone(membership.members.get(hostId)?.zone ?? "") === region
        );
    }
}
