/** Reads which configuration version is in force on each host, and waits for a version to be in force. */
import { Result } from "true-myth";
import { z } from "zod";
import { hostKeyOf, type HostRecord, HostRecordPrefix, HostRecordSchema } from "../features/journal/journalTypes.js";
import type { ListedHost } from "../platform/platformStore.js";
import type { CommandFailure, Table } from "./commandResult.js";
import type { ControlContext } from "./controlContext.js";
import { listAll } from "./storeAccess.js";

/** Interval between two reads while waiting for a version. */
const PollMs = 250;

/** Status of a host with the configuration version that is in force on it. */
export interface HostStatus {
    readonly hostId: string;
    readonly hostKey: string;
    readonly zone: string;
    readonly state: string;
    /** Configuration version in force; 0 if unknown. */
    readonly configVersion: number;
    /** Where the version comes from: the operator endpoint, the host record in the store, or neither. */
    readonly source: "endpoint" | "record" | "none";
    /** Whether the host is on the platform's host list. */
    readonly listed: boolean;
    /** Readiness of the router; `undefined` if its operator endpoint did not report it. */
    readonly ready: boolean | undefined;
}

/** The fields of `GET /state` that a status needs. */
const StateBodySchema = z.object({
    board: z.object({
        config: z.object({ version: z.number().int().nonnegative() }),
        journal: z.object({ hostKey: z.string() }).optional(),
        lifecycle: z.object({ ready: z.boolean() }).optional(),
    }),
});

/** The newest record of a host, with the store revision that wrote it. */
interface NewestRecord {
    readonly record: HostRecord;
    readonly revision: number;
}

/** Reads the status of all hosts that are on the host list, or whose state is live or leaving. */
export async function readFleetStatus(context: ControlContext): Promise<Result<HostStatus[], CommandFailure>> {
    const objects = await listAll(context, HostRecordPrefix);
    if (objects.isErr) {
        return Result.err(objects.error);
    }
    const records = new Map<string, NewestRecord>();
    for (const object of objects.value) {
        const record = HostRecordSchema.safeParse(object.value);
        const newest = records.get(record.data?.hostId ?? "");
        // Records of earlier incarnations of a restarted host stay in the store.
        if (record.success && (newest === undefined || newest.revision < object.revision)) {
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
    const response = await context.operatorClient.call(listed.operatorAddress, "GET", "/state");
    const state = StateBodySchema.safeParse(response?.body);
    if (response?.httpStatus !== 200 || !state.success) {
        return status;
    }
    const { config, journal, lifecycle } = state.data.board;
    const hostKey = journal?.hostKey ?? status.hostKey;
    return { ...status, hostKey, configVersion: config.version, source: "endpoint", ready: lifecycle?.ready };
}

/**
 * @returns The hosts on which a version is not in force yet. If any host is on the host list, hosts that are not on it
 * are ignored.
 */
export function hostsBehind(statuses: readonly HostStatus[], version: number): HostStatus[] {
    const isAnyListed = statuses.some(status => status.listed);
    return statuses.filter(status => (status.listed || !isAnyListed) && status.configVersion < version);
}

/**
 * Waits until a version is in force on every host, or until the timeout.
 * @returns The hosts on which it is not in force at the end.
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

/** @returns The statuses as a table with one row per host. */
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
