/** Decides which of two facts about a host is the newer one. */
import type { Member } from "./membershipTypes.js";

/** At equal heartbeats the higher state wins. */
const StateOrder: Readonly<Record<Member["state"], number>> = { live: 0, leaving: 1, suspect: 2, closed: 3, sealed: 4 };

/** @returns Whether an incarnation in this state never becomes live again. */
export function isTerminalState(state: Member["state"]): boolean {
    return state === "closed" || state === "sealed";
}

/**
 * A heartbeat is the host's own time: the wall-clock time of its start plus the time since then. A new incarnation
 * therefore normally has a larger one; a host whose clock went back is told the old value by its peers and continues
 * above it. A suspicion carries the heartbeat that the host would have reached, so that facts from before its silence
 * do not end it, and the next sign of life does.
 * @returns Whether a fact replaces what is known.
 */
export function supersedes(fact: Member, known: Member | undefined): boolean {
    if (fact.incarnation === "") {
        return false;
    }
    if (known === undefined || known.incarnation === "") {
        return true;
    }
    if (fact.incarnation !== known.incarnation) {
        return fact.heartbeat > known.heartbeat;
    }
    if (isTerminalState(known.state) || isTerminalState(fact.state)) {
        return StateOrder[fact.state] > StateOrder[known.state];
    }
    return fact.heartbeat > known.heartbeat ||
        (fact.heartbeat === known.heartbeat && StateOrder[fact.state] > StateOrder[known.state]);
}

/** @returns Whether a fact is worth telling other hosts, beyond its heartbeat and configuration version. */
export function hasSignificantChange(fact: Member, known: Member | undefined): boolean {
    return known === undefined || fact.incarnation !== known.incarnation || fact.state !== known.state ||
        fact.peerAddress !== known.peerAddress;
}
