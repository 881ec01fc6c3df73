import { beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "../../base/clock.js";
import { Counters } from "../../base/counters.js";
import { SeededRandom } from "../../base/random.js";
import { type Blackboard, createBlackboard } from "../../kernel/blackboard.js";
import type { Effect } from "../../kernel/effects.js";
import { Kernel } from "../../kernel/kernel.js";
import { decodeReply, encodeMessage } from "../../peer/peerCodec.js";
import { KernelTestFleet } from "../../standins/kernelTestFleet.js";
import { ConfigController } from "./configController.js";
import { ConfigSettingsSchema } from "./configSettings.js";
import type { ReceivedChange } from "./configTypes.js";

const Second = 1_000;
const hashOf = (digit: string): string => digit.repeat(64);

describe("ConfigController", () => {
    let clock: ManualClock;
    let board: Blackboard;
    let kernel: Kernel;
    let effects: Effect[];

    beforeEach(() => {
        clock = new ManualClock();
        board = createBlackboard("h0", "i0");
        effects = [];
        kernel = new Kernel({
            board,
            clock,
            random: new SeededRandom(1),
            counters: new Counters(),
            createControllers: context => [new ConfigController(context, ConfigSettingsSchema.parse({}))],
        });
        kernel.setEffectRunner({ run: effect => effects.push(effect) });
    });

    function change(version: number, ...edits: ReceivedChange["changes"]): ReceivedChange {
        return { version, changes: edits };
    }

    function receive(...changes: ReceivedChange[]): void {
        kernel.post({ type: "configChangesReceived", changes, fromStore: true });
    }

    function advance(durationMs: number): void {
        clock.advance(durationMs);
        kernel.post({ type: "tick" });
    }

    function requestChangesAsPeer(afterVersion: number): ReceivedChange[] {
        const request = { method: "ConfigChanges", body: { afterVersion } } as const;
        kernel.post({ type: "peerRequestReceived", exchangeId: "x", request });
        const lastEffect = effects.pop();
        if (lastEffect?.type !== "peerReply" || lastEffect.reply.method !== "ConfigChanges") {
            throw new Error("no reply");
        }
        const payload = encodeMessage(lastEffect.reply.body).unwrapOr(Buffer.alloc(0));
        const reply = decodeReply("ConfigChanges", payload).unwrapOrElse(reason => {
            throw new Error(reason);
        });
        return reply.method === "ConfigChanges" ? reply.body.changes : [];
    }

    describe("when changes arrive out of order, twice or late", () => {
        it("applies each once and in order (guards against a configuration that reverts)", () => {
            const edits = [1, 2, 3].map(version => ({ kind: "Team", name: "a", after: { weight: version } }));
            receive(change(3, edits[2]!), change(2, edits[1]!));
            expect(board.config).toMatchObject({ version: 0, floorVersion: 3 });
            receive(change(1, edits[0]!));
            expect(board.config.version).toBe(3);
            receive(change(1, edits[0]!));
            expect(board.config.resources.teams.get("a")).toMatchObject({ weight: 3 });
        });

        it("pulls the gap from the store when no peer has it (guards against a host that never gets the missing version)", () => {
            receive(change(2));
            advance(500);
            advance(500);
            expect(effects).toMatchObject([{ type: "storeList", afterKey: "config/change/0000000000" }]);
        });
    });

    describe("when a reader holds the resources of an older version", () => {
        it("does not modify them (guards against a request that sees part of a change)", () => {
            receive(
                change(1, { kind: "Team", name: "a", after: {} }, { kind: "Budget", name: "b", after: { teams: {} } }),
            );
            const { resources } = board.config;
            receive(change(2, { kind: "Team", name: "a" }, { kind: "Team", name: "c", after: {} }));
            expect([...resources.teams.keys()]).toEqual(["a"]);
            expect([...board.config.resources.teams.keys()]).toEqual(["c"]);
            expect(board.config.resources.budgets).toBe(resources.budgets);
        });
    });

    describe("when keys of teams change", () => {
        it("maps each key to its current team (guards against a revoked key that still works)", () => {
            const team = (...digits: string[]): object => ({ keyHashes: digits.map(hashOf) });
            receive(change(1, { kind: "Team", name: "a", after: team("1", "2") }));
            receive(change(2, { kind: "Team", name: "a", after: team("2") }, {
                kind: "Team",
                name: "b",
                after: team("1"),
            }));
            expect([...board.config.teamByKeyHash].sort()).toEqual([[hashOf("1"), "b"], [hashOf("2"), "a"]]);
            receive(change(3, { kind: "Team", name: "b" }));
            expect([...board.config.teamByKeyHash]).toEqual([[hashOf("2"), "a"]]);
        });
    });

    describe("when a newer release wrote a change", () => {
        const newerReleaseChange = change(
            1,
            { kind: "Quota", name: "q", after: { perDay: 5 }, reason: "added later" },
            { kind: "Team", name: "a", after: { weight: 2, colour: "blue" } },
            { kind: "Team", name: "b", after: { weight: "heavy" } },
        );

        it("applies the readable values (guards against hosts that stop at such a change)", () => {
            receive(change(1, { kind: "Team", name: "b", after: { weight: 7 } }));
            receive({ ...newerReleaseChange, version: 2 });
            expect(board.config.version).toBe(2);
            expect(board.config.resources.teams.get("a")).toEqual({ labels: {}, keyHashes: [], weight: 2 });
            expect(board.config.resources.teams.get("b")).toMatchObject({ weight: 7 });
        });

        it("sends the complete change to peers (guards against newer hosts that miss some of its fields)", () => {
            receive(newerReleaseChange);
            expect(requestChangesAsPeer(0)).toEqual([newerReleaseChange]);
        });
    });

    describe("when peers ask for changes", () => {
        it("replies within the message limit and without gaps (guards against replies that cannot be sent)", () => {
            for (let version = 1; version <= 900; version++) {
                receive(change(version, { kind: "Team", name: "a", after: { labels: { text: "x".repeat(500) } } }));
            }
            expect(requestChangesAsPeer(10)).toEqual([]);
            const versions = requestChangesAsPeer(600).map(entry => entry.version);
            expect(versions[0]).toBe(601);
            expect(versions).toEqual(versions.map((_, index) => 601 + index));
            expect(requestChangesAsPeer(900)).toEqual([]);
        });
    });

    describe("when a snapshot is older than the version in force", () => {
        it("ignores it; a newer one replaces all resources (guards against a reload that reverts the version)", () => {
            receive(change(1, { kind: "Team", name: "a", after: {} }), change(2));
            const resources = [{ kind: "Team", name: "s", value: {} }];
            kernel.post({ type: "configSnapshotLoaded", snapshot: { version: 1, resources } });
            expect([...board.config.resources.teams.keys()]).toEqual(["a"]);
            receive(change(10));
            kernel.post({ type: "configSnapshotLoaded", snapshot: { version: 9, resources } });
            expect([...board.config.resources.teams.keys()]).toEqual(["s"]);
            expect(board.config.version).toBe(10);
        });
    });

    describe("with 41,000 budgets and 11,000 teams", () => {
        it("applies one edit in a fraction of the time of a full load (guards against copying all entries)", () => {
            const names = Array.from({ length: 41_000 }, (_, index) => `budget-${index}`);
            const after = { teams: { matchLabels: { team: "t" } } };
            const load = (version: number, budgetNames: string[]): number => {
                const startedMs = performance.now();
                receive(change(version, ...budgetNames.map(name => ({ kind: "Budget", name, after }))));
                return performance.now() - startedMs;
            };
            const fullMs = load(1, names);
            const singleEditMs = Array.from({ length: 20 }, (_, index) => load(index + 2, [`budget-${index}`]));
            expect(singleEditMs.sort((a, b) => a - b)[10]!).toBeLessThan(fullMs / 50);
        });
    });
});

describe("ConfigController in a fleet", () => {
    let fleet: KernelTestFleet;

    beforeEach(() => {
        fleet = new KernelTestFleet();
    });

    function versions(): number[] {
        return fleet.runningHosts.map(host => host.version);
    }

    it("reaches hosts without the store in 5 s, through their peers (guards against an outage in one zone)", () => {
        fleet.startMany(8);
        fleet.advance(10 * Second);
        fleet.runningHosts.slice(1).forEach(host => host.isStoreReachable = false);
        fleet.commitVersion();
        fleet.commitVersion();
        fleet.advance(5 * Second);
        expect(versions()).toEqual(Array(8).fill(2));
    });

    it("brings a version to 400 hosts in 16 s when half cannot reach the store and one of those has restarted", () => {
        fleet.startMany(400);
        fleet.advance(5 * Second);
        fleet.runningHosts.slice(200).forEach(host => host.isStoreReachable = false);
        fleet.commitVersion();
        fleet.start("h399", host => host.isStoreReachable = false);
        fleet.advance(16 * Second);
        expect(fleet.runningHosts.filter(host => host.version < 1).map(host => host.hostId)).toEqual([]);
    });

    it("lets both sides of a partition continue and converge afterwards (guards against a lost change)", () => {
        fleet.startMany(6);
        fleet.advance(5 * Second);
        for (const hostId of ["h0", "h1", "h2"]) {
            fleet.partitionByHost.set(hostId, 1);
            fleet.hosts.get(hostId)!.isStoreReachable = false;
        }
        fleet.commitVersion();
        fleet.advance(60 * Second);
        expect(versions()).toEqual([0, 0, 0, 1, 1, 1]);
        fleet.partitionByHost.clear();
        fleet.advance(10 * Second);
        expect(versions()).toEqual(Array(6).fill(1));
    });

    it("is not confirmed below the version of its peers after a restart with a stale read", () => {
        fleet.startMany(5);
        for (let count = 0; count < 9; count++) {
            fleet.commitVersion();
        }
        fleet.advance(10 * Second);
        const host = fleet.start("h2", restarted => restarted.newestVisibleVersion = 4);
        const { config } = host.kernel.board;
        fleet.advance(15 * Second, () => {
            expect(config.confirmed && config.version < 9 && config.floorVersion < 9).toBe(false);
        });
        expect(config).toMatchObject({ confirmed: true, version: 9 });
    });

    it("confirms the stored version when no peer replies (guards against a fleet that cannot start)", () => {
        fleet.startMany(3);
        fleet.commitVersion();
        fleet.hosts.get("h1")!.isRunning = false;
        fleet.hosts.get("h2")!.isRunning = false;
        fleet.advance(10 * Second);
        expect(fleet.hosts.get("h0")!.kernel.board.config).toMatchObject({ confirmed: true, version: 1 });
    });
});
