/** Events that the config feature handles. */
import type { ReceivedChange } from "./configTypes.js";

/** All resources of the configuration at one version, as read from the store. */
export interface ConfigSnapshot {
    readonly version: number;
    readonly resources: readonly { readonly kind: string; readonly name: string; readonly value: unknown; }[];
}

/** Events of the config feature. */
export type ConfigEvent =
    /** Changes in any order, possibly repeated. An empty list from the store means that it has no newer ones. */
    | {
        readonly type: "configChangesReceived";
        readonly changes: readonly ReceivedChange[];
        readonly fromStore: boolean;
    }
    | { readonly type: "configSnapshotLoaded"; readonly snapshot: ConfigSnapshot; }
    /** A peer reports that this version is in force there. */
    | { readonly type: "configVersionSeen"; readonly version: number; };
