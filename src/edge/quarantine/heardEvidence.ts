/** Remembers which evidence other hosts have stated lately, so that not every host repeats it. */
import type { PartEvidence } from "./quarantineTypes.js";

/** Number of other hosts whose statement takes the place of this host's: a host does not decide on the word of one. */
const SufficientHosts = 2;

/** Maximum number of parts, and of hosts for each of them. */
const MaxParts = 1_000;
const MaxHostsPerPart = 4;

/** What one host has stated about one part. */
interface Statement {
    readonly crashKeys: ReadonlySet<string>;
    readonly heardAtMs: number;
}

/** Latest statements of other hosts by part. */
export class HeardEvidence {
    readonly #statements = new Map<string, Map<string, Statement>>();

    /** Records what a host has stated. */
    record(part: PartEvidence, hostId: string, nowMs: number): void {
        if (part.crashes.length === 0) {
            return;
        }
        const byHost = this.#statements.get(part.partId) ?? new Map<string, Statement>();
        this.#statements.delete(part.partId);
        this.#statements.set(part.partId, byHost);
        byHost.delete(hostId);
        byHost.set(hostId, { crashKeys: new Set(part.crashes.map(crashKey)), heardAtMs: nowMs });
        dropOldest(byHost, MaxHostsPerPart);
        dropOldest(this.#statements, MaxParts);
    }

    /** @returns Whether enough other hosts have stated all crashes of a part since a time. */
    isStatedByOthers(part: PartEvidence, sinceMs: number): boolean {
        const crashKeys = part.crashes.map(crashKey);
        const statements = [...this.#statements.get(part.partId)?.values() ?? []].filter(statement =>
            statement.heardAtMs >= sinceMs && crashKeys.every(key => statement.crashKeys.has(key))
        );
        return statements.length >= SufficientHosts;
    }
}

function crashKey({ upstreamId, startedAtMs }: PartEvidence["crashes"][number]): string {
    return `${upstreamId}@${startedAtMs}`;
}

function dropOldest(map: Map<string, unknown>, maxSize: number): void {
    if (map.size > maxSize) {
        const [oldest] = map.keys();
        map.delete(oldest!);
    }
}
