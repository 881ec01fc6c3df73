/**
 * Measures the cost that the router adds: in one run, the same client calls the router and the upstream directly. Platform,
 * router and upstreams are separate processes, and the router runs all its controllers. Started by `npm run bench:router`;
 * prints one line of JSON.
 */
import { type ChildProcess, fork } from "node:child_process";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { sha256Hex } from "../base/hashing.js";
import { MatchAllSelector } from "../base/labels.js";
import { configureLog } from "../base/log.js";
import { createRouter } from "../router/createRouter.js";
import { RouterSettingsSchema } from "../router/routerSettings.js";
import { PlatformServer } from "../standins/platform/platformServer.js";
import { seedStore } from "../standins/router/exampleConfiguration.js";
import { BenchClient } from "./benchClient.js";
import { startBenchUpstream } from "./benchUpstream.js";

const UpstreamCount = 3;
const LatencyRounds = 3_000;
/** Rounds that are not measured, until the compilers of all processes are in a steady state. */
const WarmUpRounds = 4_000;
const RateConcurrency = 32;
const RateDurationMs = 4_000;
const StreamCount = 600;
const StreamShape = { chunkCount: 150, chunkIntervalMs: 24 };

const BenchKey = "bench-key";
/** More than the streams of a run, so that no request waits. */
const SlotsPerUpstream = 1_000;
const PaidTokens = 1_000_000_000_000;
/** Interval of checks whether the router is ready, in milliseconds. */
const ReadyCheckMs = 20;

/** Processor time of a child process since its start. */
interface CpuReport {
    readonly cpuMs: number;
}

/** Runs a child process: an upstream, the platform or the router. It sends its URL, and its processor time on request. */
async function runChild(role: string, urls: readonly string[]): Promise<void> {
    process.on("message", () => {
        const { user, system } = process.cpuUsage();
        process.send?.({ cpuMs: (user + system) / 1_000 } satisfies CpuReport);
    });
    if (role === "upstream") {
        process.send?.({ url: await startBenchUpstream(StreamShape) });
    }
    else if (role === "platform") {
        process.send?.({ url: await startPlatform(urls) });
    }
    else {
        process.send?.({ url: await startRouter(urls[0]!) });
    }
}

async function startPlatform(upstreamUrls: readonly string[]): Promise<string> {
    const platform = new PlatformServer();
    const upstreams = upstreamUrls.map((url, index) => [
        `upstream-${index}`,
        { url, models: ["assistant"], slots: SlotsPerUpstream, promptTokensPerByte: 1 },
    ]);
    seedStore(platform.objects, {
        Team: { bench: { keyHashes: [sha256Hex(BenchKey)] } },
        Budget: { bench: { teams: MatchAllSelector } },
        Rule: { all: { upstreams: MatchAllSelector } },
        Upstream: Object.fromEntries(upstreams),
    }, { bench: PaidTokens });
    return platform.start(0);
}

/** Starts the router as in production, with all its controllers. */
async function startRouter(platformUrl: string): Promise<string> {
    configureLog("warn", "text");
    const router = createRouter(RouterSettingsSchema.parse({
        hostId: "bench",
        caller: { port: 0 },
        operator: { port: 0 },
        platform: { url: platformUrl },
    }));
    await router.start();
    while (!router.readReadiness().ready) {
        await delay(ReadyCheckMs);
    }
    return `http://${router.addresses.caller}`;
}

async function startChild(
    role: string,
    upstreamUrls: readonly string[] = [],
): Promise<{ child: ChildProcess; url: string; }> {
    const child = fork(fileURLToPath(import.meta.url), [role, ...upstreamUrls]);
    const { url } = await new Promise<{ url: string; }>(resolve => {
        child.once("message", message => resolve(message as { url: string; }));
    });
    return { child, url };
}

async function cpuMsOf(child: ChildProcess): Promise<number> {
    const report = new Promise<CpuReport>(resolve => {
        child.once("message", message => resolve(message as CpuReport));
    });
    child.send("cpu");
    return (await report).cpuMs;
}

function median(values: number[]): number {
    values.sort((a, b) => a - b);
    return values[Math.floor(values.length / 2)] ?? 0;
}

/** Alternates between both paths, so that changes of the machine's load affect both. */
async function measureLatency(direct: BenchClient, routed: BenchClient): Promise<Record<string, number>> {
    const directMs: number[] = [];
    const routedMs: number[] = [];
    for (let round = 0; round < WarmUpRounds + LatencyRounds; round++) {
        const pair = [await direct.short(), await routed.short()] as const;
        if (round >= WarmUpRounds) {
            directMs.push(pair[0]);
            routedMs.push(pair[1]);
        }
    }
    const directMedianMs = median(directMs);
    const routedMedianMs = median(routedMs);
    return { directMedianMs, routedMedianMs, addedMedianMs: routedMedianMs - directMedianMs };
}

/** @returns Chunks per second in the middle half of the run, when all streams are open. */
async function measureChunks(client: BenchClient): Promise<number> {
    const durationMs = StreamShape.chunkCount * StreamShape.chunkIntervalMs;
    const startedAtMs = performance.now();
    let counted = 0;
    const streams = Array.from({ length: StreamCount }, () =>
        client.stream(count => {
            const elapsedMs = performance.now() - startedAtMs;
            if (elapsedMs >= durationMs * 0.25 && elapsedMs < durationMs * 0.75) {
                counted += count;
            }
        }));
    await Promise.all(streams);
    return counted / (durationMs * 0.5) * 1_000;
}

async function main(): Promise<void> {
    const upstreams = await Promise.all(Array.from({ length: UpstreamCount }, () => startChild("upstream")));
    const platform = await startChild("platform", upstreams.map(upstream => upstream.url));
    const router = await startChild("router", [platform.url]);
    const direct = new BenchClient(upstreams[0]!.url, BenchKey);
    const routed = new BenchClient(router.url, BenchKey);
    const latency = await measureLatency(direct, routed);
    const cpuBeforeRateMs = await cpuMsOf(router.child);
    const shortPerS = await routed.shortRate(RateConcurrency, RateDurationMs);
    const cpuBeforeChunksMs = await cpuMsOf(router.child);
    const startedAtMs = performance.now();
    const chunksPerS = await measureChunks(routed);
    const chunksCpuShare = (await cpuMsOf(router.child) - cpuBeforeChunksMs) / (performance.now() - startedAtMs);
    const result = {
        ...latency,
        directShortPerS: await direct.shortRate(RateConcurrency, RateDurationMs),
        shortPerS,
        shortCpuMsPerRequest: (cpuBeforeChunksMs - cpuBeforeRateMs) / (shortPerS * RateDurationMs / 1_000),
        offeredChunksPerS: StreamCount * 1_000 / StreamShape.chunkIntervalMs,
        chunksPerS,
        chunksCpuShare,
    };
    process.stdout.write(`${JSON.stringify(result)}\n`);
    await Promise.all([direct.close(), routed.close()]);
    for (const { child } of [router, platform, ...upstreams]) {
        child.kill();
    }
}

const [role, ...upstreamUrls] = process.argv.slice(2);
if (role === undefined) {
    await main();
}
else {
    await runChild(role, upstreamUrls);
}
