/** Remembers which evidence other hosts have stated lately, so that not every host repeats it. */
import type { PartEvidence } from "./quarantineTypes.js";

/** Number of other hosts whose statement takes the place of this host's: a host does not decide on the word of one. */
const SufficientHosts = 2;

/** Maximum number of parts, and of hosts for each of them. */
const MaxParts = 1_000;
const MaxHostsPerPart = 4;

/** Crashes of one part that one host has stated. */
interface Statement {
    readonly crashKeys: ReadonlySet<string>;
    readonly heardAtMs: number;
}

/** What other hosts have stated about one part. All times are monotonic, in milliseconds. */
interface HeardPart {
    readonly statements: Map<string, Statement>;
    newestCrashAtMs: number;
    /** Newest clearance, and the time at which it was last heard. */
    clearedAtMs: number;
    clearanceHeardAtMs: number;
}

/** Latest statements of other hosts by part. */
export class HeardEvidence {
    readonly #parts = new Map<string, HeardPart>();

    /** Records what a host has stated. */
    record({ partId, crashes, clearedAgeMs }: PartEvidence, hostId: string, nowMs: number): void {
        const part = this.#parts.get(partId) ?? {
            statements: new Map<string, Statement>(),
            newestCrashAtMs: Number.NEGATIVE_INFINITY,
            clearedAtMs: Number.NEGATIVE_INFINITY,
            clearanceHeardAtMs: Number.NEGATIVE_INFINITY,
        };
        this.#parts.delete(partId);
        this.#parts.set(partId, part);
        dropOldest(this.#parts, MaxParts);
        if (clearedAgeMs !== undefined && nowMs - clearedAgeMs >= part.clearedAtMs) {
            part.clearedAtMs = nowMs - clearedAgeMs;
            part.clearanceHeardAtMs = nowMs;
        }
        if (crashes.length > 0) {
            part.statements.delete(hostId);
            part.statements.set(hostId, { crashKeys: new Set(crashes.map(crashKey)), heardAtMs: nowMs });
            dropOldest(part.statements, MaxHostsPerPart);
            part.newestCrashAtMs = Math.max(part.newestCrashAtMs, ...crashes.map(({ ageMs }) => nowMs - ageMs));
        }
    }

    /** @returns Whether enough other hosts have stated all crashes of a part since a time. */
    isStatedByOthers(part: PartEvidence, sinceMs: number): boolean {
        const crashKeys = part.crashes.map(crashKey);
        const statements = [...this.#parts.get(part.partId)?.statements.values() ?? []].filter(statement =>
            statement.heardAtMs >= sinceMs && crashKeys.every(key => statement.crashKeys.has(key))
        );
        return statements.length >= SufficientHosts;
    }

    /** @returns Whether another host has stated since a time that the part was cleared after all crashes heard of. */
    isClearedByOthers(partId: string, sinceMs: number): boolean {
        const part = this.#parts.get(partId);
        return part !== undefined && part.clearanceHeardAtMs >= sinceMs && part.clearedAtMs >= part.newestCrashAtMs;
    }
}

/** @returns Key of a crash, the same at all hosts. */
function crashKey({ upstreamId, startedAtMs }: PartEvidence["crashes"][number]): string {
    return `${upstreamId}@${startedAtMs}`;
}

function dropOldest(map: Map<string, unknown>, maxSize: number): void {
    if (map.size > maxSize) {
        const [oldest] = map.keys();
        map.delete(oldest!);
    }
}
