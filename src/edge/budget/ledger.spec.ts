import { describe, expect, it } from "vitest";
import {
    closePredecessorShares,
    type Ledger,
    LedgerSchema,
    maxRecordAgeMs,
    settledTokensOfOthers,
    unallocatedTokens,
} from "./ledger.js";
import { allowedTokens, ReleaseAfterMs } from "./spendingBound.js";

const host = {
    incarnation: "old",
    peerAddress: "10.0.0.1:7200",
    sequence: 9,
    writtenAtMs: 100_000,
    writtenSteadyMs: 5_000,
};
const share = {
    grantedTokens: 1_000,
    limitTokens: 400,
    releaseTokensPerS: 100,
    burstTokens: 0,
    settledTokens: 300,
    demandTokensPerS: 50,
};
const ledger: Ledger = {
    hosts: { a: host, b: { ...host, incarnation: "other" } },
    teams: { t: { closedTokens: 10, atRiskTokens: 5, shares: { a: share, b: { ...share, grantedTokens: 500 } } } },
};

describe("allowedTokens", () => {
    describe("given a record", () => {
        it("allows the limit while it is new", () => {
            expect(allowedTokens(share, 1_000, ReleaseAfterMs)).toBe(400);
        });

        it("releases the remainder as it ages, up to the grant (guards against teams that are refused in an outage)", () => {
            expect(allowedTokens(share, 1_000, ReleaseAfterMs + 2_000)).toBe(600);
            expect(allowedTokens(share, 1_000, ReleaseAfterMs + 60_000)).toBe(1_000);
        });

        it("never allows more than the grant (guards against a limit above a lowered grant)", () => {
            expect(allowedTokens(share, 350, 0)).toBe(350);
        });
    });
});

describe("maxRecordAgeMs", () => {
    describe("given a machine that has not restarted", () => {
        it("uses the larger age (guards against a wall clock that was set back)", () => {
            expect(maxRecordAgeMs(host, { wallMs: 99_000, steadyMs: 8_000 })).toBeGreaterThanOrEqual(3_000);
        });
    });

    describe("given a machine that has restarted", () => {
        it("uses the wall clock (guards against a remainder that counts as at risk for hours)", () => {
            expect(maxRecordAgeMs(host, { wallMs: 101_000, steadyMs: 9_999_999 })).toBeLessThan(2_000);
        });

        it("returns an infinite age when the wall clock is not usable either", () => {
            expect(maxRecordAgeMs(host, { wallMs: 90_000, steadyMs: 9_999_999 })).toBe(Number.POSITIVE_INFINITY);
        });
    });
});

describe("closePredecessorShares", () => {
    describe("given an earlier process of the host", () => {
        it("releases what it cannot have spent (guards against no available tokens after a kill of all processes)", () => {
            const closed = closePredecessorShares(ledger, "a", "new", { wallMs: 100_500, steadyMs: 5_500 }, undefined);
            expect(closed.teams["t"]).toMatchObject({ closedTokens: 310, atRiskTokens: 105 });
            expect(closed.teams["t"]?.shares["a"]).toBeUndefined();
            expect(closed.hosts["a"]).toBeUndefined();
            expect(closed.hosts["b"]).toBeDefined();
        });

        it("counts all released tokens as at risk (guards against overspending after an outage)", () => {
            const closed = closePredecessorShares(
                ledger,
                "a",
                "new",
                { wallMs: 200_000, steadyMs: 105_000 },
                undefined,
            );
            expect(closed.teams["t"]?.atRiskTokens).toBe(705);
        });
    });

    describe("given the host's own record", () => {
        const record = {
            ...host,
            sequence: 10,
            writtenAtMs: 103_000,
            writtenSteadyMs: 8_000,
            teams: { t: { limitTokens: 450, releaseTokensPerS: 100, burstTokens: 0, settledTokens: 420 } },
        };
        const start = { wallMs: 104_000, steadyMs: 9_000 };

        it("uses the record when it is newer (guards against the age of an entry that is rarely written)", () => {
            const closed = closePredecessorShares(ledger, "a", "new", start, record);
            expect(closed.teams["t"]).toMatchObject({ closedTokens: 430, atRiskTokens: 35 });
        });

        it("uses the ledger when the record is older or of another process", () => {
            const expected = closePredecessorShares(ledger, "a", "new", start, undefined);
            expect(closePredecessorShares(ledger, "a", "new", start, { ...record, sequence: 8 })).toEqual(expected);
            expect(closePredecessorShares(ledger, "a", "new", start, { ...record, incarnation: "x" })).toEqual(
                expected,
            );
        });
    });

    describe("given the same process", () => {
        it("changes nothing", () => {
            expect(closePredecessorShares(ledger, "a", "old", { wallMs: 0, steadyMs: 0 }, undefined)).toBe(ledger);
        });
    });
});

describe("LedgerSchema", () => {
    describe("given a ledger that an earlier release wrote", () => {
        it("parses it (guards against hosts that cannot start next to older ones)", () => {
            const earlier: Partial<typeof share> = { ...share };
            delete earlier.burstTokens;
            const teams = { t: { closedTokens: 0, atRiskTokens: 0, shares: { a: earlier } } };
            expect(LedgerSchema.parse({ hosts: { a: host }, teams }).teams["t"]?.shares["a"]).toEqual({
                ...share,
                burstTokens: 0,
            });
        });
    });
});

describe("token sums of a team", () => {
    describe("given shares", () => {
        it("counts unallocated tokens and what other hosts are known to have spent", () => {
            expect(unallocatedTokens(ledger.teams["t"]!, 2_000)).toBe(2_000 - 10 - 5 - 1_500);
            expect(settledTokensOfOthers(ledger.teams["t"]!, "a")).toBe(310);
        });
    });
});
