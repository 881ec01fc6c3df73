/** Board section of the configuration in force. Written by the config controller only. */
import type { ConfigResources } from "./configTypes.js";

/** The configuration in force on this host, and what is known of newer versions. */
export interface ConfigBoard {
    /** Version in force; 0 until a configuration is loaded. */
    version: number;
    /** Highest version that the store or a peer has reported; never below `version`. */
    floorVersion: number;
    /** Whether the store or a peer has confirmed the newest version since the start. */
    confirmed: boolean;
    /** Resources of the version in force. Replaced as a whole with each version, never modified. */
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
