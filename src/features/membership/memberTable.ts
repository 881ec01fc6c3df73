/** Table of the known hosts: applies updates, suspects silent hosts and keeps ended ones for some time. */
import type { Clock } from "../../base/clock.js";
import type { ListedHost } from "../../platform/platformStore.js";
import { hostKeyOf } from "../journal/journalTypes.js";
import type { EndedRecord } from "./extractEndedRecord.js";
import { MemberIndex } from "./memberIndex.js";
import { hasSignificantChange, isTerminalState, supersedes } from "./memberPrecedence.js";
import type { KnownMember, MembershipBoard } from "./membershipBoard.js";
import type { MembershipSettings } from "./membershipSettings.js";
import type { Member } from "./membershipTypes.js";
import { MemberUpdateQueue } from "./memberUpdateQueue.js";

/** Margin by which the heartbeat of a suspicion stays below the one that the host would have reached. */
const HeartbeatMarginMs = 1_000;

/** Writes the members and suspects of the membership section of the board. */
export class MemberTable {
    /** Updates about other hosts that digests still have to carry. */
    readonly updateQueue = new MemberUpdateQueue();
    /** The members by state and by place on the ring. */
    readonly index: MemberIndex;
    readonly #board: MembershipBoard;
    readonly #clock: Clock;
    readonly #settings: MembershipSettings;
    readonly #ownHostId: string;
    /** Host keys of incarnations that are silent or have been replaced by a newer one. */
    readonly #suspicions = new Set<string>();
    /** Monotonic times from which the silence of each watched host counts, by host id. */
    readonly #watchedSinceMs = new Map<string, number>();
    #listedIds: ReadonlySet<string> = new Set();

    /** @param ownHostId Id of this host, which is not in the table. */
    constructor(board: MembershipBoard, clock: Clock, settings: MembershipSettings, ownHostId: string) {
        this.#board = board;
        this.#clock = clock;
        this.#settings = settings;
        this.#ownHostId = ownHostId;
        this.index = new MemberIndex(ownHostId, settings.successorCount);
    }

    /**
     * Applies an update about another host.
     * @returns Whether it replaced what was known.
     */
    applyUpdate(update: Member): boolean {
        const known = this.#board.members.get(update.hostId);
        if (!supersedes(update, known)) {
            return false;
        }
        const isHeartbeatHigher = known === undefined || update.heartbeat > known.heartbeat;
        const heardAtMs = isHeartbeatHigher ? this.#now() : known.heardAtMs;
        const isSignificant = hasSignificantChange(update, known);
        const member = { ...update, heardAtMs };
        if (isSignificant) {
            this.#setMember(member);
            this.#recordChange(update, known);
        }
        else {
            this.#board.members.set(update.hostId, member);
        }
        return true;
    }

    /** Applies the host list of the platform. It only adds unknown hosts; their states come from peers. */
    applyHostList(hosts: readonly ListedHost[]): void {
        this.#listedIds = new Set(hosts.map(host => host.hostId));
        for (const host of hosts) {
            const known = this.#board.members.get(host.hostId);
            const isNewOrMoved = known === undefined ||
                (known.incarnation === "" && known.peerAddress !== host.peerAddress);
            if (host.hostId !== this.#ownHostId && isNewOrMoved) {
                const listedMember = { ...host, incarnation: "", heartbeat: 0, configVersion: 0 };
                this.#setMember({ ...listedMember, heardAtMs: this.#now() });
            }
        }
    }

    /** Applies the end of an incarnation, as found in its host record. */
    applyEndedRecord(record: EndedRecord): void {
        this.#suspicions.delete(hostKeyOf(record.hostId, record.incarnation));
        const known = this.#board.members.get(record.hostId);
        if (known !== undefined && known.incarnation === record.incarnation) {
            const { hostId, incarnation, zone, peerAddress, operatorAddress, heartbeat, configVersion } = known;
            const memberFields = { hostId, incarnation, zone, peerAddress, operatorAddress, heartbeat, configVersion };
            this.applyUpdate({ ...memberFields, state: record.state });
        }
    }

    /**
     * Suspects watched hosts that were silent for too long, removes hosts that ended long ago and publishes the suspects.
     * @param unresponsiveHostIds Hosts that did not reply to the newest exchange; only these can be suspected, because the
     * silence of a host that was not asked means nothing.
     */
    updateSuspects(unresponsiveHostIds: ReadonlySet<string>): void {
        const now = this.#now();
        const { successors } = this.index.neighbours;
        for (const hostId of [...this.#watchedSinceMs.keys()].filter(hostId => !successors.includes(hostId))) {
            this.#watchedSinceMs.delete(hostId);
        }
        for (const hostId of successors) {
            const member = this.#board.members.get(hostId)!;
            const watchedSinceMs = this.#watchedSinceMs.get(hostId) ?? now;
            this.#watchedSinceMs.set(hostId, watchedSinceMs);
            const silenceMs = now - Math.max(member.heardAtMs, watchedSinceMs);
            if (silenceMs > this.#settings.suspectAfterMs && unresponsiveHostIds.has(hostId)) {
                this.#suspect(member);
            }
        }
        this.#forgetEnded(now);
        this.#publishSuspects();
    }

    /** Restarts the silence timers; needed after a pause of this process, during which it could not receive digests. */
    resetSilenceTimers(): void {
        for (const hostId of this.#watchedSinceMs.keys()) {
            this.#watchedSinceMs.set(hostId, this.#now());
        }
    }

    /** Suspects all other hosts that are known at the address of a newly known host. */
    suspectOtherHostsAt(address: string, hostId: string): void {
        for (const member of this.index.hostIdsAt(address).map(id => this.#board.members.get(id)!)) {
            if (member.hostId !== hostId && !isTerminalState(member.state) && member.state !== "suspect") {
                this.#suspect(member);
            }
        }
    }

    #setMember(member: KnownMember): void {
        this.#board.members.set(member.hostId, member);
        this.index.update(member.hostId, member);
    }

    #suspect(member: KnownMember): void {
        const silenceMs = Math.floor(this.#now() - member.heardAtMs);
        const heartbeat = member.heartbeat + Math.max(0, silenceMs - HeartbeatMarginMs);
        const suspected: KnownMember = { ...member, heartbeat, state: "suspect" };
        this.#setMember(suspected);
        this.#watchedSinceMs.delete(member.hostId);
        this.#recordChange(suspected, member);
    }

    #recordChange(update: Member, known: KnownMember | undefined): void {
        const hostKey = hostKeyOf(update.hostId, update.incarnation);
        if (known !== undefined && known.incarnation !== update.incarnation && !isTerminalState(known.state)) {
            this.#addSuspicion(known);
        }
        if (update.state === "suspect") {
            this.#addSuspicion(update);
        }
        else {
            this.#suspicions.delete(hostKey);
        }
        // All hosts know the hosts on the platform's list, so the first contact with a listed host need not be propagated.
        const isFirstContact = known?.incarnation === "" && update.state === "live";
        if (update.incarnation !== "" && !isFirstContact) {
            const isNewHost = known === undefined && update.state === "live";
            this.updateQueue.add(update.hostId, this.#board.members.size, isNewHost);
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
        for (const hostId of [...this.index.forgettableHostIds]) {
            const isExpired = now - this.#board.members.get(hostId)!.heardAtMs > this.#settings.forgetAfterMs;
            if (isExpired && !this.#listedIds.has(hostId)) {
                this.#board.members.delete(hostId);
                this.index.update(hostId, undefined);
            }
        }
    }

    #now(): number {
        return this.#clock.monotonicMs();
    }
}
