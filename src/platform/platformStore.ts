/** Interfaces of the platform's object API and host list, independent of the transport. */
import { z } from "zod";

/** Expected version that means "create only if the key is absent". */
export const AbsentVersion = 0;

/** Maximum size of a value that the object API accepts, in bytes of JSON. */
export const MaxValueBytes = 1_000_000;

/** A stored object with its version. Versions start at 1 and increase with each change of the key. */
export const StoredObjectSchema = z.object({
    key: z.string(),
    version: z.number().int().nonnegative(),
    /** Store-wide revision of the last change of this key. */
    revision: z.number().int().nonnegative(),
    value: z.unknown(),
    /** Whether the object is being removed and only waits for those who have to act on it first. */
    isDeleting: z.boolean().optional(),
    /** What the system states about the object, where the store keeps that beside the value and it is of use here. */
    status: z.unknown().optional(),
});
/** A stored object; see {@link StoredObjectSchema}. */
export type StoredObject = z.infer<typeof StoredObjectSchema>;

/** Outcome of a read. Reads may be stale. */
export type ReadOutcome =
    | { readonly status: "found"; readonly object: StoredObject; }
    | { readonly status: "absent"; }
    | { readonly status: "unavailable"; readonly reason: string; };

/** Outcome of a conditional write. */
export type WriteOutcome =
    | { readonly status: "applied"; readonly version: number; }
    /** Definitely not applied; `current` is `undefined` when the key is absent. */
    | { readonly status: "conflict"; readonly current: StoredObject | undefined; }
    /** Definitely not applied. */
    | { readonly status: "refused"; readonly reason: string; }
    /** May have been applied, or may still be applied later. */
    | { readonly status: "unknown"; readonly reason: string; };

/** Outcome of a listing. */
export type ListOutcome =
    | {
        readonly status: "listed";
        readonly objects: readonly StoredObject[];
        readonly more: boolean;
        /** Store-wide revision of the listing, where the store reports one. A watch can continue from it. */
        readonly revision?: number | undefined;
    }
    | { readonly status: "unavailable"; readonly reason: string; };

/** A change reported by a watch; `object` is `undefined` after a deletion. */
export interface WatchedChange {
    readonly key: string;
    readonly object: StoredObject | undefined;
}

/** Outcome of a watch. Without changes the list is empty and the revision is the newest one. */
export type WatchOutcome =
    | {
        readonly status: "changed";
        readonly changes: readonly WatchedChange[];
        readonly revision: number;
        /** Age of the store's response in milliseconds, where another host relayed it. */
        readonly ageMs?: number | undefined;
    }
    /** The changes since that revision are no longer kept, or are too many to read. The prefix must be listed again. */
    | { readonly status: "tooOld"; readonly revision: number; }
    | { readonly status: "unavailable"; readonly reason: string; };

/** A host as the platform's host list shows it. The list lags behind the actual state. */
export const ListedHostSchema = z.object({
    hostId: z.string(),
    zone: z.string(),
    /** `IP:port` of the peer listener. */
    peerAddress: z.string(),
    /** `IP:port` of the operator listener. */
    operatorAddress: z.string().default(""),
    state: z.enum(["live", "leaving"]),
});
/** An entry of the host list; see {@link ListedHostSchema}. */
export type ListedHost = z.infer<typeof ListedHostSchema>;

/** Outcome of reading the host list. */
export type HostsOutcome =
    | { readonly status: "changed"; readonly hosts: readonly ListedHost[]; readonly revision: number; }
    | { readonly status: "unchanged"; readonly revision: number; }
    | { readonly status: "unavailable"; readonly reason: string; };

/**
 * The platform's object API. Values are plain JSON. When the store has come back from a copy, versions and revisions belong to a new
 * history and are greater than before; see `storeHistory.ts`. Those of earlier histories are out of date for writes and watches.
 */
export abstract class PlatformStore {
    /** Reads a key. */
    abstract get(key: string): Promise<ReadOutcome>;

    /**
     * Writes a key if its version is the expected one.
     * @param expectedVersion Version to replace; {@link AbsentVersion} creates the key.
     */
    abstract put(key: string, value: unknown, expectedVersion: number): Promise<WriteOutcome>;

    /**
     * Writes what the system states about an object, beside the value that operators wrote. Refused by stores that keep no status.
     * @param expectedVersion Version of the object to which the status is added.
     */
    putStatus(key: string, status: unknown, expectedVersion: number): Promise<WriteOutcome> {
        void [key, status, expectedVersion];
        return Promise.resolve({ status: "refused", reason: "the store keeps no status" });
    }

    /** Deletes a key if its version is the expected one. */
    abstract delete(key: string, expectedVersion: number): Promise<WriteOutcome>;

    /**
     * Lists keys in order.
     * @param prefix Common prefix of the keys.
     * @param afterKey Last key of the previous page; empty for the first page.
     * @param limit Maximum number of objects to return.
     */
    abstract list(prefix: string, afterKey: string, limit: number): Promise<ListOutcome>;

    /**
     * Waits for changes below a prefix (long poll).
     * @param afterRevision Changes after this store revision are reported.
     * @param waitMs Maximum wait in milliseconds.
     */
    abstract watch(prefix: string, afterRevision: number, waitMs: number): Promise<WatchOutcome>;
}

/** The platform's list of live and leaving hosts. */
export abstract class HostList {
    /**
     * Reads the host list.
     * @param sinceRevision Revision of the list already known; -1 for none.
     */
    abstract hosts(sinceRevision: number): Promise<HostsOutcome>;
}
