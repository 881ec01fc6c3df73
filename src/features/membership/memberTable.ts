/** The known hosts: takes facts, suspects silent hosts and remembers ended ones. */
import type { Clock } from "../../base/clock.js";
import type { ListedHost } from "../../platform/platformStore.js";
import { hostKeyOf } from "../journal/journalTypes.js";
import type { EndedRecord } from "./extractEndedRecord.js";
import { hasSignificantChange, isTerminalState, supersedes } from "./memberPrecedence.js";
import type { KnownMember, MembershipBoard } from "./membershipBoard.js";
import type { MembershipSettings } from "./membershipSettings.js";
import type { Member } from "./membershipTypes.js";
import { MemberUpdateQueue } from "./memberUpdateQueue.js";
import { findNeighbours, type Neighbours } from "./ring.js";

/** What follows from the members' states. Kept until one of them changes, as 400 members are looked at with each call. */
interface FleetView {
    readonly neighbours: Neighbours;
    /** Ids of the hosts that have not ended. */
    readonly candidateHostIds: readonly string[];
    /** Ids of the hosts whose incarnation is known, and of those that were only listed. */
    readonly hostIdsWithIncarnation: readonly string[];
    readonly listedOnlyHostIds: readonly string[];
    readonly liveCount: number;
}

/** Margin by which a suspicion stays below the heartbeat that the host would have reached. */
const HeartbeatMarginMs = 1_000;

/** Writes the members and suspects of the board. */
export class MemberTable {
    readonly updateQueue = new MemberUpdateQueue();
    readonly #board: MembershipBoard;
    readonly #clock: Clock;
    readonly #settings: MembershipSettings;
    /** Host keys of incarnations that are silent or were replaced. */
    readonly #suspicions = new Set<string>();
    /** Times from which the silence of the watched hosts counts. */
    readonly #watchedSinceMs = new Map<string, number>();
    #listedIds: ReadonlySet<string> = new Set();
    #view: FleetView | undefined;

    constructor(board: MembershipBoard, clock: Clock, settings: MembershipSettings) {
        this.#board = board;
        this.#clock = clock;
        this.#settings = settings;
    }

    /** @returns What follows from the members' states for this host. */
    getFleetView(ownHostId: string): FleetView {
        this.#view ??= this.#createView(ownHostId);
        return this.#view;
    }

    /**
     * Takes a fact about another host.
     * @returns Whether it is newer than what was known.
     */
    applyUpdate(fact: Member): boolean {
        const known = this.#board.members.get(fact.hostId);
        if (!supersedes(fact, known)) {
            return false;
        }
        const heartbeatGrew = known === undefined || fact.heartbeat > known.heartbeat;
        const heardAtMs = heartbeatGrew ? this.#now() : known.heardAtMs;
        const changed = hasSignificantChange(fact, known);
        this.#board.members.set(fact.hostId, { ...fact, heardAtMs });
        if (changed) {
            this.#noteChange(fact, known);
        }
        return true;
    }

    /** Takes the platform's list. It only introduces hosts; peers know better which ones live. */
    applyHostList(hosts: readonly ListedHost[], ownHostId: string): void {
        this.#listedIds = new Set(hosts.map(host => host.hostId));
        for (const host of hosts) {
            const known = this.#board.members.get(host.hostId);
            const isNews = known === undefined || (known.incarnation === "" && known.peerAddress !== host.peerAddress);
            if (host.hostId !== ownHostId && isNews) {
                const unheard = { ...host, incarnation: "", heartbeat: 0, configVersion: 0 };
                this.#board.members.set(host.hostId, { ...unheard, heardAtMs: this.#now() });
                this.#view = undefined;
            }
        }
    }

    /** Takes the end of an incarnation from its record. */
    applyEndedRecord(record: EndedRecord): void {
        this.#suspicions.delete(hostKeyOf(record.hostId, record.incarnation));
        const known = this.#board.members.get(record.hostId);
        if (known !== undefined && known.incarnation === record.incarnation) {
            const { hostId, incarnation, zone, peerAddress, operatorAddress, heartbeat, configVersion } = known;
            const facts = { hostId, incarnation, zone, peerAddress, operatorAddress, heartbeat, configVersion };
            this.applyUpdate({ ...facts, state: record.state });
        }
    }

    /**
     * Suspects watched hosts that were silent for too long, and forgets hosts that ended long ago.
     * @param unanswered Hosts that did not answer the newest exchange; others are not suspected, as nobody asked them.
     */
    updateSuspects(ownHostId: string, unanswered: ReadonlySet<string>): void {
        const now = this.#now();
        const { successors } = this.getFleetView(ownHostId).neighbours;
        for (const hostId of [...this.#watchedSinceMs.keys()].filter(hostId => !successors.includes(hostId))) {
            this.#watchedSinceMs.delete(hostId);
        }
        for (const hostId of successors) {
            const member = this.#board.members.get(hostId)!;
            const watchedSinceMs = this.#watchedSinceMs.get(hostId) ?? now;
            this.#watchedSinceMs.set(hostId, watchedSinceMs);
            const silenceMs = now - Math.max(member.heardAtMs, watchedSinceMs);
            if (silenceMs > this.#settings.suspectAfterMs && unanswered.has(hostId)) {
                this.#suspect(member);
            }
        }
        this.#forgetEnded(now);
        this.#publishSuspects();
    }

    /** Restarts the watch, because this process did not run and could not hear anybody. */
    resetSilenceTimers(): void {
        for (const hostId of this.#watchedSinceMs.keys()) {
            this.#watchedSinceMs.set(hostId, this.#now());
        }
    }

    /** Suspects other hosts at an address that a newly heard host uses. */
    suspectOtherHostsAt(address: string, hostId: string): void {
        for (const member of [...this.#board.members.values()]) {
            const isOther = member.hostId !== hostId && member.peerAddress === address;
            if (isOther && !isTerminalState(member.state) && member.state !== "suspect") {
                this.#suspect(member);
            }
        }
    }

    #createView(ownHostId: string): FleetView {
        const members = [...this.#board.members.values()];
        const hosts = members.filter(member => !isTerminalState(member.state));
        const ringHosts = hosts.map(({ hostId, state }) => ({ hostId, isSuspected: state === "suspect" }));
        return {
            neighbours: findNeighbours(ownHostId, ringHosts, this.#settings.successorCount),
            candidateHostIds: hosts.map(({ hostId }) => hostId),
            hostIdsWithIncarnation: members.filter(({ incarnation }) => incarnation !== "").map(({ hostId }) => hostId),
            listedOnlyHostIds: members.filter(({ incarnation }) => incarnation === "").map(({ hostId }) => hostId),
            liveCount: members.filter(({ state }) => state === "live").length,
        };
    }

    #suspect(member: KnownMember): void {
        const silenceMs = Math.floor(this.#now() - member.heardAtMs);
        const heartbeat = member.heartbeat + Math.max(0, silenceMs - HeartbeatMarginMs);
        const suspected: KnownMember = { ...member, heartbeat, state: "suspect" };
        this.#board.members.set(member.hostId, suspected);
        this.#watchedSinceMs.delete(member.hostId);
        this.#noteChange(suspected, member);
    }

    #noteChange(fact: Member, known: KnownMember | undefined): void {
        this.#view = undefined;
        const hostKey = hostKeyOf(fact.hostId, fact.incarnation);
        if (known !== undefined && known.incarnation !== fact.incarnation && !isTerminalState(known.state)) {
            this.#addSuspicion(known);
        }
        if (fact.state === "suspect") {
            this.#addSuspicion(fact);
        }
        else {
            this.#suspicions.delete(hostKey);
        }
        // Hosts that the platform lists are known everywhere; only other news is worth telling.
        const isFirstSign = known?.incarnation === "" && fact.state === "live";
        if (fact.incarnation !== "" && !isFirstSign) {
            const isNewHost = known === undefined && fact.state === "live";
            this.updateQueue.add(fact.hostId, this.#board.members.size, isNewHost);
        }
    }

    /** A host that was only listed has no record that could be sealed. */
    #addSuspicion({ hostId, incarnation }: Member): void {
        if (incarnation !== "") {
            this.#suspicions.add(hostKeyOf(hostId, incarnation));
        }
    }

    #publishSuspects(): void {
        this.#board.suspects.clear();
        for (const hostKey of this.#suspicions) {
            this.#board.suspects.add(hostKey);
        }
    }

    #forgetEnded(now: number): void {
        for (const member of [...this.#board.members.values()]) {
            const canForget = isTerminalState(member.state) ||
                (member.state === "suspect" && member.incarnation === "");
            const isOld = now - member.heardAtMs > this.#settings.forgetAfterMs;
            if (canForget && isOld && !this.#listedIds.has(member.hostId)) {
                this.#board.members.delete(member.hostId);
                this.#view = undefined;
            }
        }
    }

    #now(): number {
        return this.#clock.monotonicMs();
    }
}
