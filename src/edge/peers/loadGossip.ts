/** Exchanges load reports with other hosts over UDP. A lost report costs accuracy only. */
import { createSocket, type Socket } from "node:dgram";
import { splitAddress } from "../../base/address.js";
import type { Clock } from "../../base/clock.js";
import { log } from "../../base/log.js";
import type { Random } from "../../base/random.js";
import type { UpstreamDirectory } from "../upstream/upstreamDirectory.js";
import { type LoadReport, LoadReportSchema, type PeerLoad, PeerLoads } from "./peerLoads.js";

/** Interval of reports, in milliseconds: several in the time that an engine takes to read a long prompt. */
const ReportIntervalMs = 150;

/** Most hosts that get a report; in a larger fleet they are drawn anew for each one. */
const MostReceivers = 8;

/** Largest report, in bytes; stays within one datagram on common links. */
const MaxReportBytes = 1_400;

/** What the exchange is built from. */
export interface LoadGossipParts {
    readonly clock: Clock;
    readonly random: Random;
    readonly directory: UpstreamDirectory;
    readonly hostId: string;
    readonly incarnation: string;
    /** @returns `IP:port` of the other hosts. */
    peerAddresses(): readonly string[];
}

/** Sends this host's load and keeps that of others. */
export class LoadGossip {
    readonly #parts: LoadGossipParts;
    readonly #loads = new PeerLoads();
    #socket: Socket | undefined;
    #timer: NodeJS.Timeout | undefined;
    #number = 0;
    #wasIdle = false;

    constructor(parts: LoadGossipParts) {
        this.#parts = parts;
    }

    /** @returns Load of the other hosts at an upstream. */
    loadAt(upstream: string): PeerLoad {
        return this.#loads.loadAt(upstream, this.#parts.clock.monotonicMs());
    }

    /** Starts to exchange reports. */
    start(host: string, port: number): void {
        const socket = createSocket("udp4");
        this.#socket = socket;
        socket.on("error", error => log.warn("load reports cannot be exchanged", { error: error.message }));
        socket.on("message", (bytes, sender) => this.#receive(bytes, `${sender.address}:${sender.port}`));
        socket.bind(port, host, () => {
            this.#timer = setInterval(() => this.#send(), ReportIntervalMs);
        });
    }

    /** Stops. */
    stop(): void {
        clearInterval(this.#timer);
        this.#socket?.close();
        this.#socket = undefined;
    }

    #send(): void {
        const load: LoadReport["l"] = {};
        for (const upstream of this.#parts.directory.all) {
            if (upstream.openCount > 0) {
                load[upstream.entry.id] = [upstream.openCount, upstream.waitingPrefillTokens];
            }
        }
        const isIdle = Object.keys(load).length === 0;
        if (isIdle && this.#wasIdle) {
            return;
        }
        this.#wasIdle = isIdle;
        const report: LoadReport = { h: this.#parts.hostId, i: this.#parts.incarnation, n: ++this.#number, l: load };
        const bytes = Buffer.from(JSON.stringify(report));
        if (bytes.length > MaxReportBytes) {
            return;
        }
        for (const address of this.#receivers()) {
            const { host, port } = splitAddress(address);
            this.#socket?.send(bytes, port, host, () => undefined);
        }
    }

    #receivers(): readonly string[] {
        const addresses = [...this.#parts.peerAddresses()];
        while (addresses.length > MostReceivers) {
            addresses.splice(this.#parts.random.integer(addresses.length), 1);
        }
        return addresses;
    }

    /** Only hosts that the ledger lists are believed. */
    #receive(bytes: Buffer, sender: string): void {
        const report = this.#parts.peerAddresses().includes(sender) ? parseReport(bytes) : undefined;
        if (report !== undefined) {
            this.#loads.note(report, this.#parts.clock.monotonicMs());
        }
    }
}

function parseReport(bytes: Buffer): LoadReport | undefined {
    try {
        const report = LoadReportSchema.safeParse(JSON.parse(bytes.toString("utf8")));
        return report.success ? report.data : undefined;
    }
    catch (error) {
        log.debug("load report not readable", { error: String(error) });
        return undefined;
    }
}
