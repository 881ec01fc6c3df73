/**
 * Passes the lending of teams' tokens from a home host that shuts down to a stand-in: the host that borrowers ask next. The
 * home host lends until the stand-in has had time to open the ledgers, and for longer while the store is unreachable, as
 * the stand-in cannot draw tokens then.
 */
import type { Clock } from "../../base/clock.js";
import { log } from "../../base/log.js";
import type { PeerChannel } from "../peers/peerChannel.js";

/** Time in which a stand-in takes over its record and opens the ledgers, in milliseconds: some calls to a slow store. */
const TakeoverMs = 800;

/** Delay before the message to the stand-ins is repeated, in milliseconds, as a datagram may be lost. */
const RepeatDelayMs = 100;

/** Number of times that the message is sent. */
const SendCount = 3;

/** Time after the last loan request of a team after which a stand-in returns its tokens, in milliseconds. */
const StandInMs = 10_000;

/** Maximum number of teams in one message, so that it fits into a datagram. */
const MaxTeamsPerMessage = 25;

/** Collaborators of a {@link LendingHandover}. */
export interface LendingHandoverDependencies {
    readonly clock: Clock;
    readonly channel: PeerChannel;
    /** @returns Teams whose tokens this host lends as a home or as a stand-in. */
    lentTeams(): readonly string[];
    /** @returns Address of the host that is to lend a team's tokens in place of this one; `undefined` if there is none. */
    standInAddress(team: string): string | undefined;
    /** @returns Whether this host cannot write the team's ledger. */
    isStoreUnavailable(team: string): boolean;
    /** Called when this host is asked to lend the tokens of a team of which it is no home. */
    onStandIn(team: string): void;
}

/** Knows for which teams this host lends although it is no home, or no longer lends because it shuts down. */
export class LendingHandover {
    readonly #dependencies: LendingHandoverDependencies;
    readonly #standInUntilMs = new Map<string, number>();
    #leavingSinceMs: number | undefined;
    #pendingSends = 0;
    #nextSendMs = 0;

    constructor(dependencies: LendingHandoverDependencies) {
        this.#dependencies = dependencies;
        dependencies.channel.onMessage((message, sender) => {
            if (message.k === "h") {
                this.#onHandover(message.t, sender);
            }
        });
    }

    /** @returns Whether this host is shutting down. */
    get isLeaving(): boolean {
        return this.#leavingSinceMs !== undefined;
    }

    /** @returns Whether this host lends the team's tokens in place of a home host. */
    isStandIn(team: string): boolean {
        return this.#nowMs < (this.#standInUntilMs.get(team) ?? Number.NEGATIVE_INFINITY);
    }

    /** @returns Whether this host, which is shutting down, no longer lends the team's tokens. */
    hasHandedOver(team: string): boolean {
        return this.#leavingSinceMs !== undefined && this.#nowMs - this.#leavingSinceMs >= TakeoverMs &&
            !this.#dependencies.isStoreUnavailable(team);
    }

    /** Lends as a stand-in for some time, as another host has asked for tokens of a team of which this host is no home. */
    recordStandInRequest(team: string): void {
        if (this.isLeaving) {
            return;
        }
        if (!this.isStandIn(team)) {
            log.info("stand-in lends", { team });
            this.#dependencies.onStandIn(team);
        }
        this.#standInUntilMs.set(team, this.#nowMs + StandInMs);
    }

    /** Asks the stand-ins to take over, at once and repeatedly. */
    startLeaving(): void {
        if (this.isLeaving) {
            return;
        }
        this.#leavingSinceMs = this.#nowMs;
        this.#pendingSends = SendCount;
        this.tick();
    }

    /** Repeats the messages that are due. Must be called every few tens of milliseconds. */
    tick(): void {
        if (this.#pendingSends === 0 || this.#nowMs < this.#nextSendMs) {
            return;
        }
        const isFirst = this.#pendingSends === SendCount;
        this.#pendingSends--;
        this.#nextSendMs = this.#nowMs + RepeatDelayMs;
        for (const [address, teams] of this.#teamsByStandIn()) {
            if (isFirst) {
                log.info("lending handed over", { standIn: address, teams: teams.join(",") });
            }
            for (let start = 0; start < teams.length; start += MaxTeamsPerMessage) {
                const t = teams.slice(start, start + MaxTeamsPerMessage);
                this.#dependencies.channel.send(address, { k: "h", t });
            }
        }
    }

    get #nowMs(): number {
        return this.#dependencies.clock.monotonicMs();
    }

    #teamsByStandIn(): Map<string, string[]> {
        const teamsByAddress = new Map<string, string[]>();
        for (const team of this.#dependencies.lentTeams()) {
            const address = this.#dependencies.standInAddress(team);
            if (address === undefined) {
                log.warn("no host can lend in place of this one", { team });
                continue;
            }
            const teams = teamsByAddress.get(address) ?? [];
            teams.push(team);
            teamsByAddress.set(address, teams);
        }
        return teamsByAddress;
    }

    #onHandover(teams: readonly string[], sender: string): void {
        log.debug("lending taken over", { from: sender, teams: teams.join(",") });
        for (const team of teams) {
            this.recordStandInRequest(team);
        }
    }
}
