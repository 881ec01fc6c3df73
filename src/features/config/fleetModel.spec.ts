import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { KernelTestFleet, type KernelTestHost } from "../../standins/kernelTestFleet.js";
import { hostKeyOf } from "../journal/journalTypes.js";

const HostCount = 8;
const Second = 1_000;

/** Newest version that each process has had in force. */
type Model = Map<KernelTestHost, number>;

/** The steps that a random sequence consists of: commits, failures, recoveries and the passing of time. */
const Steps = {
    commit: (fleet: KernelTestFleet): void => void fleet.commitVersion(),
    partition: (fleet: KernelTestFleet, hostId: string, amount: number): void =>
        void fleet.partitionByHost.set(hostId, amount % 3),
    healPartitions: (fleet: KernelTestFleet): void => fleet.partitionByHost.clear(),
    disconnectStore: (fleet: KernelTestFleet, hostId: string): void => {
        fleet.hosts.get(hostId)!.isStoreReachable = false;
    },
    reconnectStore: (fleet: KernelTestFleet, hostId: string): void => {
        fleet.hosts.get(hostId)!.isStoreReachable = true;
    },
    kill: (fleet: KernelTestFleet, hostId: string): void => {
        fleet.hosts.get(hostId)!.isRunning = false;
    },
    restart: (fleet: KernelTestFleet, hostId: string): void => void fleet.start(hostId),
    restartStale: (fleet: KernelTestFleet, hostId: string, amount: number): void => {
        fleet.start(hostId, host => host.newestVisibleVersion = Math.max(0, fleet.changeLog.length - amount));
    },
    pause: (fleet: KernelTestFleet, hostId: string): void => {
        fleet.hosts.get(hostId)!.isPaused = true;
    },
    resume: (fleet: KernelTestFleet, hostId: string): void => {
        fleet.hosts.get(hostId)!.isPaused = false;
    },
    wait: (fleet: KernelTestFleet, _hostId: string, amount: number): void => fleet.advance(amount * 2 * Second),
} as const;

type StepName = keyof typeof Steps;

/** One step of a random sequence, with its target host and a number whose meaning depends on the step. */
class Step implements fc.Command<Model, KernelTestFleet> {
    readonly name: StepName;
    readonly host: number;
    readonly amount: number;

    constructor(name: StepName, host: number, amount: number) {
        this.name = name;
        this.host = host;
        this.amount = amount;
    }

    check(): boolean {
        return true;
    }

    run(model: Model, fleet: KernelTestFleet): void {
        Steps[this.name](fleet, `h${this.host}`, this.amount);
        fleet.advance(200, () => checkVersions(model, fleet));
    }

    toString(): string {
        return `${this.name}(${this.host}, ${this.amount})`;
    }
}

/** Checks that versions only increase, and that the resources are those of the change log up to the version. */
function checkVersions(model: Model, fleet: KernelTestFleet): void {
    for (const host of fleet.runningHosts) {
        expect(host.version).toBeGreaterThanOrEqual(model.get(host) ?? 0);
        if (host.version !== model.get(host)) {
            const expected = new Map<string, string>();
            for (const change of fleet.changeLog.slice(0, host.version)) {
                expected.set(change.changes[0]!.name, String(change.version));
            }
            const teams = [...host.kernel.board.config.resources.teams];
            expect(new Map(teams.map(([name, team]) => [name, team.labels["version"]]))).toEqual(expected);
        }
        const { version, floorVersion } = host.kernel.board.config;
        expect(floorVersion).toBeGreaterThanOrEqual(version);
        expect(floorVersion).toBeLessThanOrEqual(fleet.changeLog.length);
        model.set(host, host.version);
    }
}

function expectNewest(fleet: KernelTestFleet): void {
    expect(fleet.runningHosts.map(host => host.version)).toEqual(fleet.runningHosts.map(() => fleet.changeLog.length));
}

function healAll(fleet: KernelTestFleet): void {
    fleet.partitionByHost.clear();
    for (const host of fleet.runningHosts) {
        host.isStoreReachable = true;
        host.isPaused = false;
        host.newestVisibleVersion = Number.POSITIVE_INFINITY;
    }
}

/** Checks that no running host is suspected, and that all hosts know the running incarnation of each other. */
function expectAgreement(fleet: KernelTestFleet): void {
    const keys = fleet.runningHosts.map(host => hostKeyOf(host.hostId, host.incarnation));
    for (const { hostId, kernel } of fleet.runningHosts) {
        const { members, suspects } = kernel.board.membership;
        expect([...suspects].filter(hostKey => keys.includes(hostKey))).toEqual([]);
        const live = [...members.values()].filter(member => member.state === "live")
            .map(member => hostKeyOf(member.hostId, member.incarnation));
        expect(live.sort()).toEqual(keys.filter(key => !key.startsWith(`${hostId}~`)).sort());
    }
}

/** Number of random sequences. CI runs a fixed set; the environment can set a larger number. */
const RunCount = Number(process.env["FLEET_RUNS"] ?? 40);
const Seed = Number(process.env["FLEET_SEED"] ?? 1);
const TimeoutMs = 60_000 + RunCount * 2_000;

describe("config and membership under random failures", () => {
    it(
        "keep their guarantees (guards against reverted, skipped or undelivered versions and hosts that are not found again)",
        () => {
            const step = fc.tuple(
                fc.constantFrom(...Object.keys(Steps) as StepName[], "commit" as const, "wait" as const),
                fc.nat(HostCount - 1),
                fc.integer({ min: 1, max: 10 }),
            ).map(([name, host, amount]) => new Step(name, host, amount));
            const run = (commands: Iterable<fc.Command<Model, KernelTestFleet>>): void => {
                const fleet = new KernelTestFleet();
                const model: Model = new Map();
                fleet.startMany(HostCount);
                fleet.advance(2 * Second);
                fc.modelRun(() => ({ model, real: fleet }), commands);
                healAll(fleet);
                fleet.advance(5 * Second, () => checkVersions(model, fleet));
                expectNewest(fleet);
                fleet.advance(25 * Second, () => checkVersions(model, fleet));
                expectAgreement(fleet);
                fleet.runningHosts.slice(1).forEach(host => host.isStoreReachable = false);
                fleet.commitVersion();
                fleet.advance(5 * Second, () => checkVersions(model, fleet));
                expectNewest(fleet);
            };
            fc.assert(fc.property(fc.commands([step], { maxCommands: 40 }), run), { numRuns: RunCount, seed: Seed });
        },
        TimeoutMs,
    );
});
