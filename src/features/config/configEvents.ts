/** Events of the config feature. */
import type { ReceivedChange } from "./configTypes.js";

/** A snapshot of all resources at a version. */
export interface ConfigSnapshot {
    readonly version: number;
    readonly resources: readonly { readonly kind: string; readonly name: string; readonly value: unknown; }[];
}

/** Events of the config feature. */
export type ConfigEvent =
    /** Accepted changes from the store's watch, in any order; may repeat. From the store, an empty list means "no newer ones". */
    | {
        readonly type: "configChangesReceived";
        readonly changes: readonly ReceivedChange[];
        readonly fromStore: boolean;
    }
    | { readonly type: "configSnapshotLoaded"; readonly snapshot: ConfigSnapshot; }
    /** A peer has this version in force. */
    | { readonly type: "configVersionSeen"; readonly version: number; };
