/** Board section of the configuration in force. Written by the config controller only. */
import type { ConfigResources } from "./configTypes.js";

/** Configuration in force. */
export interface ConfigBoard {
    /** Version in force; 0 before any was loaded. */
    version: number;
    /** Highest version learnt from the store or from peers. */
    floorVersion: number;
    /** Whether the store or a peer has confirmed the newest version since the start. */
    confirmed: boolean;
    resources: ConfigResources;
    /** Team name by SHA-256 of its API keys. */
    teamByKeyHash: ReadonlyMap<string, string>;
}

/** @returns The section before any configuration is loaded. */
export function createConfigBoard(): ConfigBoard {
    return {
        version: 0,
        floorVersion: 0,
        confirmed: false,
        resources: {
            teams: new Map(),
            budgets: new Map(),
            grants: new Map(),
            requestKinds: new Map(),
            rules: new Map(),
            upstreams: new Map(),
        },
        teamByKeyHash: new Map(),
    };
}
