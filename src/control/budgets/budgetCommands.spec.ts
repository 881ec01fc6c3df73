import { beforeEach, describe, expect, it } from "vitest";
import type { BudgetObject } from "../../features/budget/budgetTypes.js";
import type { BillLine, HostRecord } from "../../features/journal/journalTypes.js";
import { ControlFixture } from "../../standins/control/controlFixture.js";

const line = (sequence: number, tokens: number, fields: Partial<BillLine> = {}): BillLine => ({
    sequence,
    atMs: 0,
    requestId: `r${sequence}`,
    billId: `b${sequence}`,
    team: "cork",
    budget: "cork",
    model: "m",
    promptTokens: 0,
    outputTokens: tokens,
    tokens,
    requestKind: "chat",
    upstream: "u",
    outcome: "complete",
    ...fields,
});

describe("toucanctl budget commands", () => {
    let fixture: ControlFixture;
    beforeEach(async () => {
        fixture = new ControlFixture();
        const resources = [
            { kind: "Team", name: "cork", spec: { labels: { chain: "cork" } } },
            { kind: "Budget", name: "cork", spec: { teams: { matchLabels: { chain: "cork" } } } },
            { kind: "Grant", name: "rush", spec: { teams: { matchLabels: { chain: "cork" } } } },
        ];
        await fixture.runWithFile(resources, "apply");
    });
    const set = (key: string, value: unknown): void => {
        const current = fixture.objects.get(key);
        fixture.objects.put(key, value, current.status === "found" ? current.object.version : 0);
    };
    const stored = <T>(key: string): T => {
        const read = fixture.objects.get(key);
        return (read.status === "found" ? read.object.value : undefined) as T;
    };
    const budget = (): BudgetObject => stored("budget/cork");

    describe("when a budget is topped up", () => {
        const topUp = (operationId: string, tokens = 100) =>
            fixture.runJson("topup", "cork", String(tokens), "--operation-id", operationId);

        it("adds the tokens of an operation once (guards against duplicate purchases)", async () => {
            expect(await topUp("a")).toMatchObject({ json: { status: "added", paidTokens: 100 } });
            expect(await topUp("a")).toMatchObject({ exitCode: 0, json: { status: "repeated", paidTokens: 100 } });
            expect(await topUp("a", 70)).toMatchObject({ exitCode: 3 });
            expect(await topUp("b")).toMatchObject({ json: { paidTokens: 200 } });
        });

        it("adds them once when responses are lost or writes apply late (guards against duplicate purchases)", async () => {
            fixture.store.faults.set([{ type: "answerLost", count: 3 }]);
            expect(await topUp("a")).toMatchObject({ json: { status: "added" } });
            fixture.store.faults.set([{ type: "appliedLate", delayMs: 1 }]);
            expect(await topUp("b")).toMatchObject({ exitCode: 4 });
            fixture.store.faults.set([]);
            await topUp("c");
            fixture.store.applyLateWrites();
            expect(budget().paidTokens).toBe(200);
            expect(await topUp("b")).toMatchObject({ json: { status: "added", paidTokens: 300 } });
        });

        it("keeps a concurrent draw (guards against lost shares)", async () => {
            await topUp("a");
            const put = fixture.store.put.bind(fixture.store);
            fixture.store.put = (...call) => {
                fixture.store.put = put;
                set("budget/cork", { ...budget(), shares: { "h~1": { grantedTokens: 40, sequence: 1 } } });
                return put(...call);
            };
            await topUp("b");
            expect(budget()).toMatchObject({ paidTokens: 200, shares: { "h~1": { grantedTokens: 40 } } });
        });

        it("recognises operations after they are archived (guards against duplicate purchases)", async () => {
            for (let index = 0; index < 100; index++) {
                await topUp(`op${index}`, 1);
            }
            expect(budget().topUps.length).toBeLessThanOrEqual(32);
            for (let index = 0; index < 100; index++) {
                expect(await topUp(`op${index}`, 1)).toMatchObject({ json: { status: "repeated", paidTokens: 100 } });
            }
        });

        it("refuses unknown budgets and accepts grants (guards against tokens paid to a misspelt name)", async () => {
            expect(await fixture.runJson("topup", "corck", "5")).toMatchObject({ exitCode: 1 });
            expect(await fixture.runJson("topup", "cork", "0.5")).toMatchObject({ exitCode: 2 });
            expect(await fixture.runJson("topup", "grant/rush", "5")).toMatchObject({ exitCode: 0 });
            expect(stored("budget/grant/rush")).toMatchObject({ paidTokens: 5 });
        });
    });

    describe("when budgets are audited", () => {
        const record = (hostId: string, fields: Partial<HostRecord>): HostRecord => ({
            hostId,
            incarnation: "1",
            zone: "z1",
            state: "live",
            sequence: 1,
            configVersion: 1,
            entries: {},
            bills: [],
            billSegments: 0,
            ticketLimit: 0,
            ...fields,
        });
        const entry = (limitTokens: number, settledTokens: number, sentTokens = 0, receivedTokens = 0) => ({
            cork: { limitTokens, settledTokens, sentTokens, receivedTokens },
        });
        /** One live host that sent 20 tokens to another, and a sealed host with 30 tokens at risk. */
        beforeEach(() => {
            set("budget/cork", {
                paidTokens: 1_000,
                closedTokens: 50,
                atRiskTokens: { "dead~1": 30 },
                shares: { "h1~1": { grantedTokens: 200, sequence: 1 }, "h2~1": { grantedTokens: 100, sequence: 1 } },
                topUps: [],
            });
            set("host/h1~1", record("h1", { entries: entry(150, 60, 20), bills: [line(3, 10)], billSegments: 1 }));
            set("bills/h1~1/00000000", [line(1, 30), line(2, 20)]);
            set("bills/h1~1/00000001", [line(3, 10)]);
            set("host/h2~1", record("h2", { entries: entry(100, 5, 0, 20), bills: [line(1, 5, { billId: "x" })] }));
            set("host/dead~1", record("dead", { state: "sealed", entries: entry(80, 50) }));
            set("bills/dead~1/sealed", [line(1, 50, { billId: "y" })]);
        });
        const findings = async (): Promise<string[]> => {
            const { exitCode, json } = await fixture.runJson("audit");
            const checks = (json as { findings: { check: string; }[]; }).findings.map(({ check }) => check);
            expect(exitCode).toBe(checks.length === 0 ? 0 : 1);
            return checks;
        };

        it("accounts for every token", async () => {
            expect(await fixture.runJson("audit")).toEqual({
                exitCode: 0,
                json: {
                    findings: [],
                    budgets: [{
                        budget: "cork",
                        paidTokens: 1_000,
                        settledTokens: 115,
                        inTransferTokens: 0,
                        heldTokens: 235,
                        atRiskTokens: 30,
                        freeTokens: 620,
                    }],
                },
            });
            expect(await fixture.runJson("bills", "--team", "cork")).toMatchObject({
                json: [{ lines: 5, tokens: 115 }],
            });
        });

        it("finds a missing bill line, and a request that is billed twice", async () => {
            set("bills/h1~1/00000000", [line(1, 30)]);
            expect(await findings()).toEqual(["bills", "sum"]);
            set("bills/h1~1/00000000", [line(1, 30, { billId: "x" }), line(2, 20)]);
            expect(await findings()).toEqual(["duplicate"]);
        });

        it("finds limits above shares, usage above limits and limits without shares", async () => {
            set("host/h1~1", record("h1", { entries: entry(201, 60, 20), bills: [line(3, 10)], billSegments: 1 }));
            expect(await findings()).toEqual(["limit"]);
            set("host/h1~1", record("h1", { entries: entry(70, 60, 20), bills: [line(3, 10)], billSegments: 1 }));
            expect(await findings()).toEqual(["usage"]);
            set("host/h3~1", record("h3", { entries: entry(1, 0) }));
            expect(await findings()).toEqual(["usage", "share"]);
        });

        it("finds more tokens allocated than paid", async () => {
            set("budget/cork", { ...budget(), paidTokens: 100 });
            expect(await findings()).toEqual(["free"]);
        });

        it("reports received tokens that no record shows as sent in a note, and as a finding when they are spent", async () => {
            const receiver = (settled: number) =>
                record("h2", { entries: entry(0, settled, 0, 200), bills: [line(1, settled, { billId: "x" })] });
            set("host/h1~1", record("h1", { entries: entry(80, 60, 20), bills: [line(3, 10)], billSegments: 1 }));
            set("host/h2~1", receiver(5));
            expect(await findings()).toEqual([]);
            expect((await fixture.run("audit")).stdout).toContain("150 tokens were received");
            set("host/h2~1", receiver(51));
            expect(await findings()).toEqual(["transfer"]);
        });

        it("ignores a difference that disappears (guards against false findings from writes between two reads)", async () => {
            set("bills/h1~1/00000000", [line(1, 30)]);
            fixture.onSleep = () => set("bills/h1~1/00000000", [line(1, 30), line(2, 20)]);
            expect(await findings()).toEqual([]);
        });

        describe("and at-risk tokens are released", () => {
            const release = (settled: number) =>
                fixture.runJson("release", "dead~1", "cork", "--settled", String(settled));

            it("bills the stated tokens once and frees the remainder", async () => {
                expect(await release(31)).toMatchObject({ exitCode: 1 });
                fixture.store.faults.set([{ type: "answerLost", count: 2 }]);
                expect(await release(12)).toMatchObject({ json: { status: "released", freedTokens: 18 } });
                expect(await release(12)).toMatchObject({ exitCode: 0, json: { status: "repeated" } });
                expect(await release(13)).toMatchObject({ exitCode: 3 });
                expect(budget()).toMatchObject({ closedTokens: 62, atRiskTokens: {} });
                expect(await findings()).toEqual([]);
            });

            it("removes its bill line when the host settled in the meantime (guards against double billing)", async () => {
                const put = fixture.store.put.bind(fixture.store);
                fixture.store.put = (key, ...rest) => {
                    const isLineWritten = stored("bills/dead~1/release") !== undefined;
                    if (key === "budget/cork" && isLineWritten) {
                        fixture.store.put = put;
                        set(key, { ...budget(), closedTokens: 75, atRiskTokens: {} });
                        set("bills/dead~1/late", [line(2, 25, { billId: "z" })]);
                    }
                    return put(key, ...rest);
                };
                expect(await release(12)).toMatchObject({ exitCode: 3 });
                expect(stored("bills/dead~1/release")).toEqual([]);
                expect(await findings()).toEqual([]);
            });

            it("keeps the line of a release when reads are stale (guards against a charge without a bill)", async () => {
                fixture.clock.advance(1_000);
                await release(12);
                const now = fixture.store.get.bind(fixture.store);
                fixture.store.faults.set([{ type: "staleReads", ageMs: 999_999 }]);
                expect(await now("budget/cork")).toEqual({ status: "absent" });
                expect(await release(13)).toMatchObject({ exitCode: 3 });
                expect(stored("bills/dead~1/release")).toMatchObject([{ tokens: 12 }]);
            });

            it("finds a release line without a charge", async () => {
                set("budget/cork", { ...budget(), closedTokens: 62, atRiskTokens: {} });
                set("bills/dead~1/release", [line(1_000_000_001, 12, { billId: "z" })]);
                expect(await findings()).toEqual(["release"]);
                expect(await release(12)).toMatchObject({ exitCode: 3 });
                expect(stored("bills/dead~1/release")).toEqual([]);
            });

            it("finds a host that bills after its release", async () => {
                await release(12);
                set("bills/dead~1/late", [line(2, 25, { billId: "z" })]);
                expect(await findings()).toContain("release");
            });
        });
    });
});
