/** Reads the load reports of all upstreams in turn. */
import { LoadReportSchema } from "../features/upstream/upstreamTypes.js";
import type { Kernel } from "../kernel/kernel.js";
import type { UpstreamCall, UpstreamClient } from "./upstreamClient.js";

/** Maximum wait for a report. */
const ReportTimeoutMs = 1_000;

/** Maximum size of a report, in bytes. */
const MaxReportBytes = 65_536;

/** Maximum number of polls started per second, so that the cost does not grow with the number of upstreams. */
const MaxPollsPerS = 10;

/** Polls `GET /load` of each upstream periodically and posts valid reports to the kernel; failed polls are ignored. */
export class LoadPoller {
    readonly #kernel: Kernel;
    readonly #client: UpstreamClient;
    readonly #intervalMs: number;
    readonly #running = new Map<string, UpstreamCall>();
    #queue: string[] = [];
    #timer: NodeJS.Timeout | undefined;

    constructor(kernel: Kernel, client: UpstreamClient, intervalMs: number) {
        this.#kernel = kernel;
        this.#client = client;
        this.#intervalMs = intervalMs;
    }

    /** Starts polling. */
    start(): void {
        this.#schedule();
    }

    /** Stops polling and cancels the polls in progress. */
    stop(): void {
        clearTimeout(this.#timer);
        for (const call of this.#running.values()) {
            call.cancel();
        }
        this.#running.clear();
    }

    #schedule(): void {
        const count = Math.max(1, this.#kernel.board.config.resources.upstreams.size);
        this.#timer = setTimeout(() => {
            this.#pollNext();
            this.#schedule();
        }, Math.max(this.#intervalMs / count, 1_000 / MaxPollsPerS));
        this.#timer.unref();
    }

    #pollNext(): void {
        const { upstreams } = this.#kernel.board.config.resources;
        if (this.#queue.length === 0) {
            this.#queue = [...upstreams.keys()];
        }
        const name = this.#queue.shift();
        const upstream = name === undefined ? undefined : upstreams.get(name);
        if (name !== undefined && upstream !== undefined && !this.#running.has(name)) {
            this.#poll(name, upstream.url);
        }
    }

    #poll(upstream: string, url: string): void {
        let text = "";
        let statusCode = 0;
        const call = this.#client.call({
            url,
            method: "GET",
            path: "/load",
            headers: { accept: "application/json" },
            body: undefined,
            firstByteTimeoutMs: ReportTimeoutMs,
            progressTimeoutMs: ReportTimeoutMs,
        }, {
            onHead: status => {
                statusCode = status;
            },
            onData: chunk => {
                text += chunk.toString("latin1");
                if (text.length > MaxReportBytes) {
                    call.cancel();
                    this.#running.delete(upstream);
                }
            },
            onEnd: outcome => {
                this.#running.delete(upstream);
                if (outcome.status === "ended" && statusCode === 200) {
                    this.#postReport(upstream, text);
                }
            },
        });
        this.#running.set(upstream, call);
    }

    #postReport(upstream: string, text: string): void {
        let json: unknown;
        try {
            json = JSON.parse(text);
        }
        catch {
            return;
        }
        const report = LoadReportSchema.safeParse(json);
        if (report.success) {
            this.#kernel.post({ type: "loadReported", upstream, report: report.data });
        }
    }
}
