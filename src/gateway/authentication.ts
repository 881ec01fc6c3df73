/** Authentication of callers and operators by hashed keys. */
import { equalHashes, sha256Hex } from "../base/hashing.js";
import type { ConfigBoard } from "../features/config/configBoard.js";

const BearerPrefixLength = "Bearer ".length;

/** @returns The key in an `Authorization: Bearer` header; the header must have been validated. */
export function extractBearerKey(authorization: string | undefined): string | undefined {
    return authorization?.slice(BearerPrefixLength);
}

/** @returns Name of the team that the key belongs to; `undefined` if the key is missing or unknown. */
export function authenticateTeam(config: ConfigBoard, authorization: string | undefined): string | undefined {
    const key = extractBearerKey(authorization);
    if (key === undefined) {
        return undefined;
    }
    const hash = sha256Hex(key);
    const name = config.teamByKeyHash.get(hash);
    const hashes = name === undefined ? [] : config.resources.teams.get(name)?.keyHashes ?? [];
    return hashes.some(stored => equalHashes(stored, hash)) ? name : undefined;
}
