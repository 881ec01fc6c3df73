import { type AddressInfo, createServer, type Server } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "../../base/clock.js";
import type { UpstreamEntry } from "../edgeTypes.js";
import type { Upstream } from "../upstream/upstream.js";
import { UpstreamDirectory } from "../upstream/upstreamDirectory.js";
import { type ProbeResult, UpstreamProber } from "../upstream/upstreamProber.js";
import { CrashDetector } from "./crashDetector.js";

/** Time for which the list of upstreams may confirm a crash, in milliseconds. */
const ConfirmationMs = 5_000;

/** Prober whose probes get no answer. */
class UndecidedProber extends UpstreamProber {
    override probe(): Promise<ProbeResult> {
        return Promise.resolve("undecided");
    }
}

describe("CrashDetector", () => {
    let clock: ManualClock;
    let directory: UpstreamDirectory;
    let server: Server;
    let address: string;
    let connectionCount: number;
    let crashes: string[];
    let detector: CrashDetector;
    let probeCount: number;

    const createDetector = (prober: UpstreamProber): CrashDetector =>
        new CrashDetector({
            clock,
            directory,
            prober,
            onCrash: (crash, parts) => crashes.push(`${crash.upstreamId}@${crash.startedAtMs} ${parts.join(",")}`),
        });

    const entry = (changes: Partial<UpstreamEntry> = {}): UpstreamEntry => ({
        id: "i-1",
        service: "lm",
        address,
        zone: "a",
        slots: 6,
        isLeaving: false,
        startedAtMs: 1,
        ...changes,
    });

    /** Lists an upstream. */
    const list = (changes: Partial<UpstreamEntry> = {}): Upstream => {
        directory.put(entry(changes));
        return directory.all.find(upstream => upstream.entry.id === (changes.id ?? "i-1") && !upstream.isLeaving) ??
            directory.all[0]!;
    };

    const stopServer = () => new Promise(resolve => server.close(resolve));

    beforeEach(async () => {
        clock = new ManualClock();
        directory = new UpstreamDirectory(clock);
        connectionCount = 0;
        server = createServer(socket => {
            connectionCount++;
            socket.on("error", () => undefined);
            socket.resume();
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        crashes = [];
        probeCount = 0;
        detector = createDetector(new UpstreamProber(clock, () => probeCount++));
    });

    afterEach(async () => {
        if (server.listening) {
            await stopServer();
        }
    });

    describe("given an upstream that refuses connections", () => {
        it("reports a crash for each request, after one probe for all (guards against a probe for each request)", async () => {
            const upstream = list();
            await stopServer();
            await Promise.all([detector.examine(upstream, ["a", "b"]), detector.examine(upstream, ["a", "c"])]);
            await detector.examine(upstream, ["d"]);
            expect(crashes).toEqual(["i-1@1 a,b", "i-1@1 a,c", "i-1@1 d"]);
            expect(probeCount).toBe(1);
        });

        it("reports none if the upstream was leaving (guards against releases that count as crashes)", async () => {
            const upstream = list({ isLeaving: true });
            await stopServer();
            await detector.examine(upstream, ["a"]);
            expect(crashes).toEqual([]);
            expect(probeCount).toBe(0);
        });
    });

    describe("given an upstream that accepts connections", () => {
        it("reports none, also when its entry goes later (guards against truncated responses that count as crashes)", async () => {
            await detector.examine(list(), ["a"]);
            directory.remove("i-1", 0);
            detector.tick();
            expect(crashes).toEqual([]);
            expect(connectionCount).toBe(1);
        });

        it.each([["the same id", {}], ["another id", { id: "i-2" }]])(
            "reports a crash when a new incarnation with %s is listed at its address (guards against fast restarts that go unseen)",
            async (_name, changes) => {
                await detector.examine(list(), ["a"]);
                detector.tick();
                expect(crashes).toEqual([]);
                directory.put(entry({ startedAtMs: 2, ...changes }));
                detector.tick();
                detector.tick();
                expect(crashes).toEqual(["i-1@1 a"]);
            },
        );

        it("reports none when it is replaced much later (guards against releases that count as crashes)", async () => {
            await detector.examine(list(), ["a"]);
            clock.advance(ConfirmationMs + 1);
            directory.put(entry({ startedAtMs: 2 }));
            detector.tick();
            expect(crashes).toEqual([]);
        });
    });

    describe("given an upstream that does not answer", () => {
        it("reports a crash only once its entry is gone (guards against cut links that count as crashes)", async () => {
            detector = createDetector(new UndecidedProber(clock, () => undefined));
            await detector.examine(list(), ["a"]);
            detector.tick();
            expect(crashes).toEqual([]);
            directory.remove("i-1", 0);
            detector.tick();
            expect(crashes).toEqual(["i-1@1 a"]);
        });
    });
});
