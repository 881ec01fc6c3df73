/** Which configuration version is in force on each host. */
import { Result } from "true-myth";
import { z } from "zod";
import { hostKeyOf, type HostRecord, HostRecordPrefix, HostRecordSchema } from "../features/journal/journalTypes.js";
import type { ListedHost } from "../platform/platformStore.js";
import type { CommandFailure, Table } from "./commandResult.js";
import type { ControlContext } from "./controlContext.js";
import { listAll } from "./storeAccess.js";

const PollMs = 250;

/** A host with the version in force. */
export interface HostStatus {
    readonly hostId: string;
    readonly hostKey: string;
    readonly zone: string;
    readonly state: string;
    /** Version in force; 0 when it is not known. */
    readonly configVersion: number;
    readonly source: "endpoint" | "record" | "none";
    /** Whether the platform lists the host. */
    readonly listed: boolean;
    readonly ready: boolean | undefined;
}

const StateBodySchema = z.object({
    board: z.object({
        config: z.object({ version: z.number().int().nonnegative() }),
        journal: z.object({ hostKey: z.string() }).optional(),
        lifecycle: z.object({ ready: z.boolean() }).optional(),
    }),
});

interface NewestRecord {
    readonly record: HostRecord;
    readonly revision: number;
}

/** Reads the status of all hosts that are listed or whose record is live or leaving. */
export async function readFleetStatus(context: ControlContext): Promise<Result<HostStatus[], CommandFailure>> {
    const objects = await listAll(context, HostRecordPrefix);
    if (objects.isErr) {
        return Result.err(objects.error);
    }
    const records = new Map<string, NewestRecord>();
    for (const object of objects.value) {
        const record = HostRecordSchema.safeParse(object.value);
        const known = records.get(record.data?.hostId ?? "");
        // A restarted host leaves records of earlier incarnations behind.
        if (record.success && (known === undefined || known.revision < object.revision)) {
            records.set(record.data.hostId, { record: record.data, revision: object.revision });
        }
    }
    const list = await context.hostList.hosts(-1);
    const listed = new Map((list.status === "changed" ? list.hosts : []).map(host => [host.hostId, host]));
    const hostIds = [...new Set([...records.keys(), ...listed.keys()])].sort();
    const statuses = await Promise.all(
        hostIds.map(hostId => readStatus(context, hostId, records.get(hostId)?.record, listed.get(hostId))),
    );
    return Result.ok(statuses.filter(status => status.listed || ["live", "leaving"].includes(status.state)));
}

async function readStatus(
    context: ControlContext,
    hostId: string,
    record: HostRecord | undefined,
    listed: ListedHost | undefined,
): Promise<HostStatus> {
    const status: HostStatus = {
        hostId,
        hostKey: record === undefined ? "" : hostKeyOf(hostId, record.incarnation),
        zone: record?.zone ?? listed?.zone ?? "",
        state: record?.state ?? listed?.state ?? "",
        configVersion: record?.configVersion ?? 0,
        source: record === undefined ? "none" : "record",
        listed: listed !== undefined,
        ready: undefined,
    };
    if (listed === undefined || listed.operatorAddress === "" || !context.operatorClient.hasToken) {
        return status;
    }
    const answer = await context.operatorClient.call(listed.operatorAddress, "GET", "/state");
    const state = StateBodySchema.safeParse(answer?.body);
    if (answer?.httpStatus !== 200 || !state.success) {
        return status;
    }
    const { config, journal, lifecycle } = state.data.board;
    const hostKey = journal?.hostKey ?? status.hostKey;
    return { ...status, hostKey, configVersion: config.version, source: "endpoint", ready: lifecycle?.ready };
}

/** @returns The hosts on which a version is not in force yet; listed hosts only, unless none is listed. */
export function hostsBehind(statuses: readonly HostStatus[], version: number): HostStatus[] {
    const anyListed = statuses.some(status => status.listed);
    return statuses.filter(status => (status.listed || !anyListed) && status.configVersion < version);
}

/**
 * Waits until a version is in force on every host.
 * @returns The hosts on which it is not when the time is up.
 */
export async function waitUntilInForce(
    context: ControlContext,
    version: number,
    timeoutMs: number,
): Promise<Result<HostStatus[], CommandFailure>> {
    const deadlineMs = context.clock.monotonicMs() + timeoutMs;
    for (;;) {
        const statuses = await readFleetStatus(context);
        const behind = statuses.map(list => hostsBehind(list, version));
        const isDone = behind.isOk && behind.value.length === 0;
        if (isDone || context.clock.monotonicMs() >= deadlineMs) {
            return behind;
        }
        await context.sleep(PollMs);
    }
}

/** @returns The statuses as a table. */
export function statusTable(statuses: readonly HostStatus[]): Table {
    const rows = statuses.map(status => [
        status.hostId,
        status.zone,
        status.state,
        status.configVersion,
        status.source,
        status.listed ? "yes" : "no",
        status.ready === undefined ? "" : status.ready ? "yes" : "no",
    ]);
    return { columns: ["HOST", "ZONE", "STATE", "CONFIG", "SOURCE", "LISTED", "READY"], rows };
}
