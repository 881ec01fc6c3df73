/** Section of the blackboard for admission queues. Only the admission controller writes it. */
import type { WorkClass } from "../config/configTypes.js";

/** Number of waiting requests by class. */
export interface AdmissionBoard {
    queued: Record<WorkClass, number>;
}

/** @returns A section without waiting requests. */
export function createAdmissionBoard(): AdmissionBoard {
    return { queued: { urgent: 0, normal: 0, background: 0 } };
}
