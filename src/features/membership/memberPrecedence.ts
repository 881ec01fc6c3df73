/** Decides whether an update about a host replaces what is known of it. */
import type { Member } from "./membershipTypes.js";

/** Precedence of states: for equal heartbeats the higher one wins. */
const StateOrder: Readonly<Record<Member["state"], number>> = { live: 0, leaving: 1, suspect: 2, closed: 3, sealed: 4 };

/** @returns Whether an incarnation in this state never becomes live again. */
export function isTerminalState(state: Member["state"]): boolean {
    return state === "closed" || state === "sealed";
}

/**
 * A heartbeat is the wall-clock time at the start of the host plus the monotonic time since then, in milliseconds. A new
 * incarnation therefore normally has a larger one. If the clock of a host was set back, its peers send it the old value and
 * it continues above that. A suspicion carries the heartbeat that the host would have reached, so that updates from before
 * its silence do not end the suspicion, and the next digest of the host does.
 * @returns Whether an update replaces what is known.
 */
export function supersedes(update: Member, known: Member | undefined): boolean {
    if (update.incarnation === "") {
        return false;
    }
    if (known === undefined || known.incarnation === "") {
        return true;
    }
    if (update.incarnation !== known.incarnation) {
        return update.heartbeat > known.heartbeat;
    }
    if (isTerminalState(known.state) || isTerminalState(update.state)) {
        return StateOrder[update.state] > StateOrder[known.state];
    }
    return update.heartbeat > known.heartbeat ||
        (update.heartbeat === known.heartbeat && StateOrder[update.state] > StateOrder[known.state]);
}

/** @returns Whether an update changes more than heartbeat and configuration version, so that other hosts need it. */
export function hasSignificantChange(update: Member, known: Member | undefined): boolean {
    return known === undefined || update.incarnation !== known.incarnation || update.state !== known.state ||
        update.peerAddress !== known.peerAddress;
}
