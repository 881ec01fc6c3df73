import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../base/random.js";
import { sleep } from "../../base/sleep.js";
import { type RelayHostFault, RelayHostFaults, RelayTestFleet } from "../../standins/relayTestFleet.js";

/** Bounds of the grown deployments: a version in force, and the time for which a host must be sound; in milliseconds. */
const InForceMs = 3_000;
const InTouchMs = 4_000;

/** How often versions come, how long a fault lasts, and how often the bound is checked; in milliseconds. */
const VersionIntervalMs = 350;
const FaultMs = 4_000;
const StepMs = 50;

/** Hosts by zone of the largest deployment that is described. */
const Zones = { a: 32, b: 25, c: 28 };

/** Runs for a time with new versions. @returns Hosts that were in touch and out of step. */
async function run(world: RelayTestFleet, durationMs: number, onStep?: (elapsedMs: number) => void): Promise<string[]> {
    const late = new Set<string>();
    const startedMs = performance.now();
    let configuredMs = startedMs;
    while (performance.now() - startedMs < durationMs) {
        if (performance.now() - configuredMs >= VersionIntervalMs) {
            configuredMs = performance.now();
            world.commitVersion();
        }
        onStep?.(performance.now() - startedMs);
        world.findOutdatedHosts(InForceMs, InTouchMs).forEach(detail => late.add(detail));
        await sleep(StepMs);
    }
    return [...late];
}

/** Plays a fleet and checks also that each host has the last version, which no later one covers up. */
async function play(course: (world: RelayTestFleet) => Promise<string[]>): Promise<string[]> {
    const world = new RelayTestFleet(Zones);
    try {
        await world.start();
        const late = await course(world);
        await sleep(InForceMs + StepMs);
        return [...late, ...world.findOutdatedHosts(InForceMs, InTouchMs)];
    }
    finally {
        world.stop();
    }
}

describe.concurrent("a fleet of 85 hosts with watchers", () => {
    describe("given a fault of all watchers", () => {
        it.each(RelayHostFaults)(
            "keeps every host in touch in step: %s (guards against an old configuration)",
            async fault => {
                const late = await play(async world => {
                    await run(world, 1_000);
                    await Promise.all(world.watchers.map(host => host.setFault(fault)));
                    const during = await run(world, FaultMs);
                    await Promise.all(world.watchers.map(host => host.setFault(undefined)));
                    return [...during, ...await run(world, FaultMs)];
                });
                expect(late).toEqual([]);
            },
        );
    });

    describe("given faults of watchers and others in series", () => {
        it("keeps every host in touch in step (guards against an old configuration)", async () => {
            const random = new SeededRandom(17);
            let nextMs = 1_000;
            const draw = (): RelayHostFault | undefined => RelayHostFaults[random.integer(RelayHostFaults.length + 2)];
            const late = await play(world =>
                run(world, 15_000, elapsedMs => {
                    if (elapsedMs >= nextMs) {
                        nextMs += 300;
                        const among = random.integer(2) === 0 ? world.watchers : world.hosts;
                        void among[random.integer(among.length)]!.setFault(draw());
                    }
                })
            );
            expect(late).toEqual([]);
        });
    });
});
