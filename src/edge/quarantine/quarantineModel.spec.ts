import fc from "fast-check";
import { afterAll, describe, expect, it } from "vitest";
import { QuarantineTestFleet } from "./quarantineTestFleet.js";
import type { DeadlyTraffic, FaultPlan, QuarantineFigures, QuarantinePlan } from "./quarantineTestPlan.js";

/** Plays of each fleet; more are played by hand. */
const PlayCount = Number(process.env["QUARANTINE_PLAYS"] ?? 1);
const Seed = Number(process.env["QUARANTINE_SEED"] ?? 1);
const MinSeconds = Number(process.env["QUARANTINE_SECONDS"] ?? 0);
const isTablePrinted = process.env["QUARANTINE_TABLE"] !== undefined;

/** Requests with the part that may reach upstreams later than 3 s after the fifth crash. */
const MaxLateSends = 3;

const OrdinaryFaults: FaultPlan = {
    crashIntervalMs: 8_000,
    rackMs: [7_000],
    releaseMs: [12_000],
    messageLoss: 0.1,
    hostRestartIntervalMs: 15_000,
};
const Outage: FaultPlan = { outageMs: [9_000], outageDurationMs: 12_000, messageLoss: 0.1 };

/** Large fleets send many messages, so they are played for a shorter time; longer plays are run by hand. */
const Fleets = [
    { hosts: 8, durationMs: 124_000, shares: [1 / 20, 1 / 50, 1 / 200] },
    { hosts: 65, durationMs: 26_000, shares: [1 / 20, 1 / 50] },
    { hosts: 195, durationMs: 20_000, shares: [1 / 20] },
].map(fleet => ({ ...fleet, durationMs: Math.max(fleet.durationMs, MinSeconds * 1_000) }));
const Places: readonly DeadlyTraffic["place"][] = ["before", "after", "second", "oneFirst"];

const rows: string[] = [];

function play(name: string, plan: QuarantinePlan): QuarantineFigures {
    const figures = new QuarantineTestFleet(plan).run();
    const share = plan.deadly === undefined ? "" : `1/${Math.round(1 / plan.deadly.share)} ${plan.deadly.place}`;
    const { deadlySends, lateDeadlySends, maxCrashesAtQuarantine, informedHosts, informedHostsWithoutQuarantine } =
        figures;
    const { refusedByFirstPart, refusedBySecondPart, falseQuarantines, soundCompleted, soundRequests } = figures;
    rows.push(
        [
            plan.hosts,
            plan.requestsPerS,
            plan.seed,
            name,
            share,
            deadlySends,
            lateDeadlySends,
            maxCrashesAtQuarantine,
            `${informedHosts - informedHostsWithoutQuarantine}/${informedHosts}`,
            `${refusedByFirstPart}+${refusedBySecondPart}`,
            falseQuarantines,
            figures.soundNotRepeated,
            `${soundCompleted}/${soundRequests}`,
        ].join(" | "),
    );
    return figures;
}

function expectBounds(figures: QuarantineFigures): void {
    expect(figures.lateDeadlySends).toBeLessThanOrEqual(MaxLateSends);
    expect(figures.informedHostsWithoutQuarantine).toBe(0);
    expect(figures.refusedByFirstPart).toBe(0);
}

describe("Quarantine of a fleet", () => {
    afterAll(() => {
        if (isTablePrinted) {
            const head = "hosts | requests/s | seed | faults | part | sends | late | crashes at first quarantine" +
                " | informed hosts with it | sound refused by first+second part | false quarantines | not repeated | completed";
            console.log([head, ...rows].join("\n"));
        }
    });

    describe.each(Fleets)("given $hosts hosts", ({ hosts, durationMs, shares }) => {
        const plans = [...Array(PlayCount).keys()].map(index => Seed + index).flatMap(seed =>
            shares.map((share, index) => ({
                seed,
                hosts,
                requestsPerS: (seed + index) % 2 === 0 ? 15 : 35,
                durationMs,
                deadly: { share, startMs: 4_000, durationMs, place: Places[(seed + index) % Places.length]! },
            }))
        );

        it("stops requests with the part within 3 s of the fifth crash (guards against engines that crash one after the other)", () => {
            for (const plan of plans) {
                const figures = play("none", plan);
                expectBounds(figures);
                expect(figures.refusedBySecondPart).toBe(0);
            }
        });

        it("does so beside crashes, a rack, a release, restarts and lost messages (guards against evidence that is lost or mixed up)", () => {
            plans.forEach(plan => expectBounds(play("ordinary", { ...plan, ...OrdinaryFaults })));
        });

        it("quarantines nothing on days with ordinary crashes only (guards against sound requests that are refused)", () => {
            for (const { seed, requestsPerS } of plans.slice(0, PlayCount)) {
                const figures = play("ordinary", { seed, hosts, requestsPerS, durationMs, ...OrdinaryFaults });
                expect(figures.falseQuarantines).toBe(0);
                expect(figures.refusedByFirstPart + figures.refusedBySecondPart).toBe(0);
            }
        });

        it("quarantines no first part in an outage of all upstreams (guards against a route that is refused after it)", () => {
            for (const { seed, requestsPerS, deadly } of plans.slice(0, PlayCount)) {
                for (const traffic of [{}, { deadly }]) {
                    const figures = play("outage", { seed, hosts, requestsPerS, durationMs, ...traffic, ...Outage });
                    expect(figures.refusedByFirstPart).toBe(0);
                }
            }
        });
    });

    describe("given any share, traffic, place of the part and ordinary faults", () => {
        const plan = fc.record({
            seed: fc.nat(),
            hosts: fc.constantFrom(3, 8, 20),
            requestsPerS: fc.integer({ min: 15, max: 35 }),
            durationMs: fc.constantFrom(26_000, 64_000, 124_000),
            deadly: fc.record({
                share: fc.double({ min: 1 / 200, max: 1 / 20, noNaN: true }),
                startMs: fc.integer({ min: 0, max: 8_000 }),
                durationMs: fc.constant(124_000),
                place: fc.constantFrom(...Places),
            }),
            crashIntervalMs: fc.integer({ min: 5_000, max: 60_000 }),
            hostRestartIntervalMs: fc.integer({ min: 10_000, max: 100_000 }),
            rackMs: fc.array(fc.integer({ min: 0, max: 60_000 }), { maxLength: 1 }),
            messageLoss: fc.double({ min: 0, max: 0.2, noNaN: true }),
        });

        it("keeps the bounds (guards against combinations that no play above has)", () => {
            fc.assert(
                fc.property(plan, drawn => expectBounds(play("drawn", drawn))),
                { numRuns: 10 * PlayCount, seed: 20_261_204 },
            );
        });
    });
});
