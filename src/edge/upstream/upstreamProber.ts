/** Tells whether an upstream has ended, by opening a connection to its address. */
import { connect } from "node:net";
import { splitAddress } from "../../base/address.js";
import type { Clock } from "../../base/clock.js";
import { log } from "../../base/log.js";
import { startResponseTimeout } from "../../base/responseTimeout.js";
import { sleep } from "../../base/sleep.js";
import type { Upstream } from "./upstream.js";

/** What a probe shows: nothing listens at the address, something does, or neither is known. */
export type ProbeResult = "ended" | "alive" | "undecided";

/** Time limit of a probe, in milliseconds. */
const ProbeTimeoutMs = 400;

/**
 * Wait before a probe, in milliseconds: a process that ends closes its connections and its listener together, but in no
 * certain order.
 */
const ProbeDelayMs = 10;

/** Time for which a result is used again, in milliseconds; all connections to an upstream that ends break off together. */
const ResultValidMs = 100;

/** A probe that runs or has ended. */
interface Probe {
    readonly startedAtMs: number;
    readonly result: Promise<ProbeResult>;
    isRunning: boolean;
}

/** Probes upstreams; requests for which the same upstream broke off at the same time share one probe. */
export class UpstreamProber {
    readonly #clock: Clock;
    readonly #onProbe: () => void;
    readonly #probes = new WeakMap<Upstream, Probe>();

    /** @param onProbe Called for each connection that is tried. */
    constructor(clock: Clock, onProbe: () => void) {
        this.#clock = clock;
        this.#onProbe = onProbe;
    }

    /** @returns What a probe of the upstream's address shows, within {@link ProbeTimeoutMs}. */
    probe(upstream: Upstream): Promise<ProbeResult> {
        const known = this.#probes.get(upstream);
        const nowMs = this.#clock.monotonicMs();
        if (known !== undefined && (known.isRunning || nowMs - known.startedAtMs <= ResultValidMs)) {
            return known.result;
        }
        const probe: Probe = {
            startedAtMs: nowMs,
            result: this.#run(upstream).finally(() => probe.isRunning = false),
            isRunning: true,
        };
        this.#probes.set(upstream, probe);
        return probe.result;
    }

    async #run({ entry }: Upstream): Promise<ProbeResult> {
        await sleep(ProbeDelayMs);
        this.#onProbe();
        const startedMs = this.#clock.monotonicMs();
        const { result, detail } = await tryConnect(entry.address);
        log.info("upstream probed", {
            upstream: entry.id,
            address: entry.address,
            result,
            detail,
            elapsedMs: Math.round(this.#clock.monotonicMs() - startedMs),
        });
        return result;
    }
}

/** Opens a connection and closes it. Only a refusal shows that nothing listens: other errors may come from the network. */
function tryConnect(address: string): Promise<{ result: ProbeResult; detail: string | undefined; }> {
    return new Promise(resolve => {
        const socket = connect(splitAddress(address));
        const finish = (result: ProbeResult, detail?: string) => {
            timeout.cancel();
            socket.destroy();
            resolve({ result, detail });
        };
        const timeout = startResponseTimeout(() => finish("undecided", "no answer in time"), ProbeTimeoutMs);
        socket.once("connect", () => finish("alive"));
        socket.on("error", (error: NodeJS.ErrnoException) => {
            finish(error.code === "ECONNREFUSED" ? "ended" : "undecided", error.message);
        });
    });
}
