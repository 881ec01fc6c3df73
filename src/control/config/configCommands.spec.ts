import { Result } from "true-myth";
import { beforeEach, describe, expect, it } from "vitest";
import { loadConfiguration, resourceId, SnapshotIndexKey } from "../../features/config/configSnapshot.js";
import { ControlFixture } from "../../standins/control/controlFixture.js";
import { ObjectStore } from "../../standins/platform/objectStore.js";
import { commitEdits } from "./changeCommit.js";
import { editOf } from "./resourceSet.js";

const team = (name: string, labels: Record<string, string> = { chain: name }, weight = 1) => ({
    kind: "Team",
    name,
    spec: { labels, weight },
});
const budget = (name: string, chain: string) => ({
    kind: "Budget",
    name,
    spec: { teams: { matchLabels: { chain } } },
});

describe("toucanctl configuration commands", () => {
    let objects: ObjectStore;
    let ann: ControlFixture;
    let bob: ControlFixture;
    beforeEach(() => {
        objects = new ObjectStore();
        ann = new ControlFixture(objects, "ann", 1);
        bob = new ControlFixture(objects, "bob", 2);
    });
    const resources = async () => {
        const loaded = (await loadConfiguration(ann.store)).unwrapOrElse(reason => {
            throw new Error(reason);
        });
        const entries = loaded.resources.map(entry => [resourceId(entry.kind, entry.name), entry.value]);
        return { version: loaded.version, values: Object.fromEntries(entries) as Record<string, unknown> };
    };
    /** Lets bob commit a file, and run another command, between ann's read and write. */
    const commitDuringNextPut = (file: unknown, next: string[] = []): void => {
        const put = ann.store.put.bind(ann.store);
        ann.store.put = async (...call) => {
            ann.store.put = put;
            await bob.runWithFile(file, "apply");
            if (next.length > 0) {
                expect(await bob.runJson(...next)).toMatchObject({ exitCode: 0 });
            }
            return put(...call);
        };
    };

    describe("when a file is applied", () => {
        it("commits all of it as one version, once (guards against versions without changes)", async () => {
            const file = [team("cork"), budget("cork", "cork")];
            const first = await ann.runWithFile(file, "apply");
            expect(first).toMatchObject({ exitCode: 0, json: { status: "committed", version: 1 } });
            const second = await ann.runWithFile(file, "apply");
            expect(second).toMatchObject({ exitCode: 0, json: { status: "unchanged", version: 1 } });
        });

        it("refuses unknown fields and labels with their path (guards against rules that silently match nothing)", async () => {
            const typo = await ann.runWithFile([{ kind: "Rule", name: "r", spec: { upstream: {} } }], "apply");
            expect(typo.exitCode).toBe(1);
            expect(JSON.stringify(typo.json)).toContain("Rule/r: upstreams");
            const label = await ann.runWithFile([team("cork"), budget("b", "x")], "apply");
            expect(label).toMatchObject({ exitCode: 0, json: { warnings: ["Budget/b: teams: matches no Team"] } });
            const selector = { matchExpressions: [{ key: "tier", operator: "Exists" }] };
            const unknown = { kind: "Budget", name: "c", spec: { teams: selector } };
            const refused = await ann.runWithFile([unknown], "apply");
            expect(refused).toMatchObject({ exitCode: 1 });
            expect(JSON.stringify(refused.json)).toContain("Budget/c: teams: no Team carries the label");
            expect((await resources()).version).toBe(1);
        });

        it("refuses an edit or deletion that removes the last label that a selector uses", async () => {
            await ann.runWithFile([team("cork"), budget("cork", "cork")], "apply");
            expect(await ann.runJson("delete", "team", "cork")).toMatchObject({ exitCode: 1 });
            expect(await ann.runJson("label", "team", "chain-", "-l", "")).toMatchObject({ exitCode: 1 });
            expect((await resources()).version).toBe(1);
        });

        it("refuses an API key of another team (guards against bills to the wrong team)", async () => {
            const keyHashes = ["a".repeat(64)];
            const teams = ["cork", "kerry"].map(name => ({ kind: "Team", name, spec: { keyHashes } }));
            expect(await ann.runWithFile(teams, "validate")).toMatchObject({ exitCode: 1 });
        });

        it("commits a large file in parts only when asked to (guards against changes that peers cannot send)", async () => {
            const teams = Array.from({ length: 2_000 }, (_value, index) => team(`t${index}`));
            const file = [...teams.map(entry => budget(entry.name, entry.name)), ...teams];
            expect(await ann.runWithFile(file, "apply")).toMatchObject({ exitCode: 1 });
            const split = await ann.runWithFile(file, "apply", "--split", "--operation-id", "load");
            expect(split).toMatchObject({ exitCode: 0, json: { status: "committed" } });
            const { version, values } = await resources();
            expect(Object.keys(values)).toHaveLength(4_000);
            const again = await ann.runWithFile(file, "apply", "--split", "--operation-id", "load");
            expect(again).toMatchObject({ json: { status: "repeated", version } });
        });
    });

    describe("when operators race", () => {
        it("rebases onto changes of other objects (guards against unnecessary refusals)", async () => {
            commitDuringNextPut([team("kerry")]);
            expect(await ann.runWithFile([team("cork")], "apply")).toMatchObject({ json: { version: 2 } });
            expect((await resources()).values).toHaveProperty("Team/kerry");
        });

        it("shows both sides of a change of the same object (guards against silently lost edits)", async () => {
            await ann.runWithFile([team("cork")], "apply");
            commitDuringNextPut([team("cork", { chain: "cork" }, 3)]);
            const conflict = await ann.runWithFile([team("cork", { chain: "cork" }, 2)], "apply");
            expect(conflict).toMatchObject({
                exitCode: 3,
                json: { error: { details: [{ base: { weight: 1 }, mine: { weight: 2 }, theirs: { weight: 3 } }] } },
            });
            expect((await resources()).values["Team/cork"]).toMatchObject({ weight: 3 });
        });

        it("conflicts when an equal edit was reverted meanwhile (guards against an accepted edit without effect)", async () => {
            await ann.runWithFile([team("cork")], "apply");
            const edit = [team("cork", { chain: "cork" }, 7)];
            commitDuringNextPut(edit, ["delete", "team", "cork"]);
            expect(await ann.runWithFile(edit, "apply")).toMatchObject({ exitCode: 3 });
        });

        it("rebases when an equal edit was undone in the meantime", async () => {
            await ann.runWithFile([team("cork")], "apply");
            const edit = [team("cork", { chain: "cork" }, 7)];
            commitDuringNextPut(edit, ["undo", "2"]);
            expect(await ann.runWithFile(edit, "apply")).toMatchObject({ json: { status: "committed", version: 4 } });
        });

        it("conflicts when an object that already had the intended value changes in the meantime", async () => {
            await ann.runWithFile([team("cork")], "apply");
            commitDuringNextPut([team("cork", { chain: "cork" }, 5)]);
            expect(await ann.runWithFile([team("cork"), team("kerry")], "apply")).toMatchObject({ exitCode: 3 });
            expect((await resources()).values).not.toHaveProperty("Team/kerry");
        });

        it("checks selectors again after a rebase (guards against a label that is removed concurrently)", async () => {
            await ann.runWithFile([team("cork"), team("kerry", { other: "x" })], "apply");
            commitDuringNextPut([team("cork", { other: "x" })]);
            expect(await ann.runWithFile([budget("b", "cork")], "apply")).toMatchObject({ exitCode: 1 });
        });
    });

    describe("when responses of the store are lost", () => {
        it("commits once (guards against duplicate versions)", async () => {
            ann.store.faults.set([{ type: "answerLost", count: 2 }]);
            const result = await ann.runWithFile([team("cork")], "apply");
            expect(result).toMatchObject({ exitCode: 0, json: { status: "committed", version: 1 } });
            expect((await resources()).version).toBe(1);
        });

        it("applies a late write only once when the operation is repeated", async () => {
            ann.store.faults.set([{ type: "appliedLate", delayMs: 1 }]);
            const first = await ann.runWithFile([team("cork")], "apply", "--operation-id", "op");
            expect(first).toMatchObject({ exitCode: 4 });
            ann.store.faults.set([]);
            const repeat = () => ann.runWithFile([team("cork")], "apply", "--operation-id", "op");
            expect(await repeat()).toMatchObject({ json: { status: "committed", version: 1 } });
            ann.store.applyLateWrites();
            expect(await repeat()).toMatchObject({ json: { status: "repeated", version: 1 } });
            expect((await resources()).version).toBe(1);
        });

        it("refuses an operation id of another change (guards against edits that are dropped as repetitions)", async () => {
            await ann.runWithFile([team("cork")], "apply", "--operation-id", "op");
            const other = await ann.runWithFile([team("kerry")], "apply", "--operation-id", "op");
            expect(other).toMatchObject({ exitCode: 3 });
        });

        it("does not repeat an operation after the object changed again (guards against reverting others' edits)", async () => {
            await ann.runWithFile([team("cork", { chain: "cork" }, 2)], "apply", "--operation-id", "op");
            await bob.runWithFile([team("cork", { chain: "cork" }, 5)], "apply");
            const again = await ann.runWithFile([team("cork", { chain: "cork" }, 2)], "apply", "--operation-id", "op");
            expect(again).toMatchObject({ json: { status: "repeated", version: 1 } });
            expect((await resources()).values["Team/cork"]).toMatchObject({ weight: 5 });
        });
    });

    describe("when the search for a repeated operation reads a staler state than the load", () => {
        it("still finds the operation (guards against repeating an edit that another edit replaced)", async () => {
            const edit = [team("cork", { chain: "cork" }, 2)];
            await ann.runWithFile(edit, "apply", "--operation-id", "op");
            await ann.runWithFile([team("cork", { chain: "cork" }, 5)], "apply");
            const list = ann.store.list.bind(ann.store);
            let calls = 0;
            ann.store.list = async (...call) => {
                calls++;
                return calls === 1 ? list(...call) : { status: "listed", objects: [], more: false };
            };
            const again = await ann.runWithFile(edit, "apply", "--operation-id", "op");
            expect(again).toMatchObject({ json: { status: "repeated", version: 1 } });
        });
    });

    describe("when versions are undone", () => {
        it("restores the objects as a new version, and refuses when they changed since", async () => {
            await ann.runWithFile([team("cork"), team("kerry")], "apply");
            await ann.runJson("label", "teams", "size=big", "-l", "chain in (cork,kerry)");
            await ann.runWithFile([team("kerry", { chain: "kerry" }, 4)], "apply");
            expect(await ann.runJson("undo", "2")).toMatchObject({ exitCode: 3 });
            expect(await ann.runJson("undo", "3")).toMatchObject({ exitCode: 0, json: { version: 4 } });
            expect(await ann.runJson("undo", "2")).toMatchObject({ exitCode: 0, json: { version: 5 } });
            expect((await resources()).values["Team/cork"]).toMatchObject({ labels: { chain: "cork" } });
            expect(await ann.runJson("diff", "--from", "1")).toMatchObject({ json: [] });
            expect(await ann.runJson("history", "--resource", "Team/cork")).toMatchObject({
                json: [{ version: 5, author: "ann" }, { version: 2 }, { version: 1 }],
            });
        });
    });

    describe("when resources are read", () => {
        it("selects by kind, name and label", async () => {
            await ann.runWithFile([team("cork"), team("kerry"), budget("cork", "cork")], "apply");
            expect(await ann.runJson("get", "teams", "-l", "chain!=cork")).toMatchObject({ json: [{ name: "kerry" }] });
            expect(await ann.runJson("get", "Budget", "cork")).toMatchObject({ json: [{ kind: "Budget" }] });
            expect(await ann.runJson("get", "Team", "-l", "tier=x")).toMatchObject({ exitCode: 1 });
            expect(await ann.runJson("get", "Planet")).toMatchObject({ exitCode: 2 });
            expect(await ann.run("get", "Team")).toMatchObject({ stdout: expect.stringContaining("chain=cork") });
        });
    });

    describe("when more than 128 versions exist", () => {
        it("loads the same configuration from the snapshot (guards against resources lost at a cold start)", async () => {
            for (let index = 0; index < 300; index++) {
                const { name, spec: after } = team(`t${index % 50}`, { chain: "x" }, index + 1);
                await commitEdits(ann.context, {
                    operationId: `op${index}`,
                    mayHaveBeenSent: false,
                    message: "",
                    plan: set => Result.ok([editOf(set, "Team", name, after)]),
                });
            }
            await ann.runJson("delete", "team", "t7");
            expect(objects.get(SnapshotIndexKey)).toMatchObject({ object: { value: { version: 256 } } });
            const { version, values } = await resources();
            expect(version).toBe(301);
            expect(Object.keys(values)).toHaveLength(49);
            expect(values["Team/t49"]).toMatchObject({ weight: 300 });
        });
    });

    describe("when a version must be in force everywhere", () => {
        const record = (hostId: string, configVersion: number) => ({
            hostId,
            incarnation: "1",
            zone: "z1",
            state: "live",
            sequence: 1,
            configVersion,
            entries: {},
            bills: [],
            billSegments: 0,
            ticketLimit: 0,
        });
        const listed = (hostId: string) => ({
            hostId,
            zone: "z1",
            peerAddress: "",
            operatorAddress: `${hostId}:1`,
            state: "live" as const,
        });

        it("waits for host records and reports hosts that are behind (guards against a false success report)", async () => {
            objects.put("host/h1~1", record("h1", 1), 0);
            objects.put("host/h2~1", record("h2", 0), 0);
            objects.put("host/gone~1", record("gone", 0), 0);
            ann.hosts.set([listed("h1"), listed("h2")]);
            const late = await ann.runWithFile([team("cork")], "apply", "--wait");
            expect(late).toMatchObject({ exitCode: 1, json: { notInForce: [{ hostId: "h2", configVersion: 0 }] } });
            ann.onSleep = () => objects.put("host/h2~1", record("h2", 2), 1);
            objects.put("host/h1~1", record("h1", 2), 1);
            const inForce = await ann.runWithFile([team("kerry")], "apply", "--wait");
            expect(inForce).toMatchObject({ exitCode: 0, json: { notInForce: [] } });
        });

        it("calls the operator endpoints when it has a token", async () => {
            ann.hosts.set([listed("h1")]);
            ann.operator.hasToken = true;
            ann.operator.bodies.set("GET h1:1/state", { board: { config: { version: 9 } } });
            ann.operator.bodies.set("POST h1:1/drain", { draining: true });
            const status = await ann.runJson("status");
            expect(status).toMatchObject({ json: { hosts: [{ hostId: "h1", configVersion: 9, source: "endpoint" }] } });
            expect(await ann.runJson("drain", "h1")).toMatchObject({ exitCode: 0, json: { draining: true } });
            expect(await ann.runJson("state", "h2")).toMatchObject({ exitCode: 1 });
        });
    });

    describe("when the store is unavailable", () => {
        it("ends with exit code 4", async () => {
            ann.store.faults.set([{ type: "outage" }]);
            expect(await ann.runJson("get", "Team")).toMatchObject({ exitCode: 4 });
            ann.store.faults.set([{ type: "outage", kinds: ["write"] }]);
            expect(await ann.runWithFile([team("cork")], "apply")).toMatchObject({ exitCode: 4 });
        });
    });
});
