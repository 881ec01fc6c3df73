/** Tells whether the hosts of a fleet compete for the slots of each engine. */

/**
 * Number of hosts for each slot of an engine from which a host's own requests say little about the load of an engine. So few requests run
 * on one engine that fixed penalties in numbers of requests exceed its slots.
 */
const HostsPerSlot = 2;

/**
 * @param slots Requests that one engine of the service runs at the same time; `undefined` for a service without an engine.
 * @param hostCount Number of hosts of the fleet.
 * @returns Whether a host's share of an engine is less than half a slot, so that the hosts have to decide together.
 */
export function isSlotContended(slots: number | undefined, hostCount: number): boolean {
    return slots !== undefined && hostCount > slots * HostsPerSlot;
}
