/** Simulates the result of the digest exchanges: hosts without contact for {@link SuspectAfterMs} become suspects. */
import { hostKeyOf } from "../../src/features/journal/journalTypes.js";
import type { MembershipBoard } from "../../src/features/membership/membershipBoard.js";
import type { HostProcess } from "./hostProcess.js";

/** Time without contact after which a host is suspected. */
const SuspectAfterMs = 1_500;

/** Membership as one process observes it. */
export class FakeMembership {
    readonly #lastContactMs = new Map<string, number>();

    /**
     * Updates the board section of a process.
     * @param reachable Running processes that the process can exchange digests with.
     * @param showReplaced Whether replaced incarnations are listed as suspects.
     */
    update(process: HostProcess, reachable: readonly HostProcess[], showReplaced: boolean, nowMs: number): void {
        const { membership } = process.board;
        for (const other of reachable) {
            this.#recordContact(membership, other, showReplaced, nowMs);
        }
        for (const member of membership.members.values()) {
            const hostKey = hostKeyOf(member.hostId, member.incarnation);
            const isSilent = nowMs - (this.#lastContactMs.get(hostKey) ?? nowMs) >= SuspectAfterMs;
            if (isSilent && member.state !== "suspect") {
                member.state = "suspect";
                membership.suspects.add(hostKey);
            }
        }
        const { phase } = process.board.lifecycle;
        membership.ownDigest = {
            protocolVersion: 1,
            self: {
                hostId: process.hostId,
                incarnation: process.board.journal.incarnation,
                zone: "z",
                peerAddress: process.hostId,
                operatorAddress: "",
                state: phase === "serving" ? "live" : "leaving",
                heartbeat: nowMs,
                configVersion: 1,
            },
            inFlight: {},
            leavingUpstreams: [],
            members: [],
        };
    }

    #recordContact(membership: MembershipBoard, other: HostProcess, showReplaced: boolean, nowMs: number): void {
        const { incarnation } = other.board.journal;
        const hostKey = hostKeyOf(other.hostId, incarnation);
        const known = membership.members.get(other.hostId);
        if (known !== undefined && known.incarnation !== incarnation && showReplaced) {
            membership.suspects.add(hostKeyOf(known.hostId, known.incarnation));
        }
        this.#lastContactMs.set(hostKey, nowMs);
        membership.suspects.delete(hostKey);
        membership.members.set(other.hostId, {
            hostId: other.hostId,
            incarnation,
            zone: "z",
            peerAddress: other.hostId,
            operatorAddress: "",
            state: other.board.lifecycle.phase === "serving" ? "live" : "leaving",
            heartbeat: nowMs,
            configVersion: 1,
            heardAtMs: nowMs,
        });
    }
}
