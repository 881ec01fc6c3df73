/** Detects closed and sealed host records in the results of store calls. */
import type { RouterEvent } from "../../kernel/events.js";
import { HostRecordPrefix } from "../journal/journalTypes.js";

/** The incarnation of a host whose record is closed or sealed. */
export interface EndedRecord {
    readonly hostId: string;
    readonly incarnation: string;
    readonly state: "closed" | "sealed";
}

/** @returns The ended host record that a store result contains or has written, or `undefined`. */
export function extractEndedRecord(event: RouterEvent): EndedRecord | undefined {
    if (event.type === "storeGetDone" && event.outcome.status === "found") {
        return fromValue(event.key, event.outcome.object.value);
    }
    if (event.type !== "storePutDone") {
        return undefined;
    }
    if (event.outcome.status === "conflict") {
        return fromValue(event.key, event.outcome.current?.value);
    }
    // The recovery controller writes a host record only to seal it.
    return event.outcome.status === "applied" && event.owner === "recovery" ? fromKey(event.key, "sealed") : undefined;
}

function fromValue(key: string, value: unknown): EndedRecord | undefined {
    const state = (value as { state?: unknown; } | undefined)?.state;
    return state === "closed" || state === "sealed" ? fromKey(key, state) : undefined;
}

function fromKey(key: string, state: EndedRecord["state"]): EndedRecord | undefined {
    const separator = key.lastIndexOf("~");
    if (!key.startsWith(HostRecordPrefix) || separator < 0) {
        return undefined;
    }
    return { hostId: key.slice(HostRecordPrefix.length, separator), incarnation: key.slice(separator + 1), state };
}
