/** Board section of queues. Written by the admission controller only. */
import type { WorkClass } from "../config/configTypes.js";

/** Lengths of the queues. */
export interface AdmissionBoard {
    queued: Record<WorkClass, number>;
}

/** @returns An empty section. */
export function createAdmissionBoard(): AdmissionBoard {
    return { queued: { urgent: 0, normal: 0, background: 0 } };
}
