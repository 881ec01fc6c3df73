/** Which budgets this host holds a standing share of. */
import { rendezvousOrder } from "../../base/hashing.js";
import type { Blackboard } from "../../kernel/blackboard.js";
import { liveHostIds } from "../membership/membershipBoard.js";
import type { BudgetSettings } from "./budgetSettings.js";
import { grantBudgetName } from "./budgetTypes.js";

/** Budgets placed per step, so that one step stays well below a millisecond per hundred hosts. */
const PlacedPerStep = 200;

/** @returns Region of a zone: the part before the last hyphen; zones without one form a single region. */
export function regionOfZone(zone: string): string {
    return zone.slice(0, Math.max(0, zone.lastIndexOf("-")));
}

/** Standing shares by configuration and live hosts; recomputed in steps after either changes. */
export class HomePlacement {
    readonly #board: Blackboard;
    readonly #settings: BudgetSettings;
    readonly #homes = new Set<string>();
    #basis = "";
    #pending: string[] = [];
    #hostIds: string[] = [];
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
    get homes(): ReadonlySet<string> {
        return this.#homes;
    }

    /** @returns Whether this host is home of a budget. */
    isHome(budget: string): boolean {
        return this.#homes.has(budget) || (this.#placeAll && this.#homes.size === 0);
    }

    /** Follows the configuration and the live hosts; called regularly. */
    step(): void {
        const { config, journal, membership } = this.#board;
        this.#hostIds = liveHostIds(membership, journal.hostId);
        const basis = `${config.version}|${this.#hostIds.join(",")}`;
        if (basis !== this.#basis) {
            this.#basis = basis;
            const grants = [...config.resources.grants.keys()].map(grantBudgetName);
            this.#pending = [...config.resources.budgets.keys(), ...grants];
            this.#placeAll = this.#pending.length <= this.#settings.standingBudgetCount;
            const configured = new Set(this.#pending);
            for (const budget of [...this.#homes].filter(name => !configured.has(name))) {
                this.#homes.delete(budget);
            }
        }
        const hosts = this.#placeAll ? [] : this.#hostsOfOwnRegion();
        const places = this.#placeAll ? this.#pending.length : PlacedPerStep;
        for (const budget of this.#pending.splice(0, places)) {
            const order = this.#placeAll ? [] : rendezvousOrder(budget, hosts).slice(0, this.#settings.homeHostCount);
            if (this.#placeAll || order.includes(journal.hostId)) {
                this.#homes.add(budget);
            }
            else {
                this.#homes.delete(budget);
            }
        }
    }

    #hostsOfOwnRegion(): string[] {
        const { journal, membership } = this.#board;
        const region = regionOfZone(membership.ownDigest?.self.zone ?? "");
        return this.#hostIds.filter(hostId =>
            hostId === journal.hostId || regionOfZone(membership.members.get(hostId)?.zone ?? "") === region
        );
    }
}
