import { beforeEach, describe, expect, it } from "vitest";
import { Counters } from "../../base/counters.js";
import type { PeerRequest } from "../../peer/peerMessages.js";
import { createMembershipBoard, type MembershipBoard } from "../membership/membershipBoard.js";
import { BudgetSettingsSchema } from "./budgetSettings.js";
import { TransferRequester } from "./transferRequester.js";

describe("TransferRequester", () => {
    let requester: TransferRequester;
    let membership: MembershipBoard;
    let calls: { readonly callId: string; readonly request: PeerRequest; }[];
    let credited: number;
    const given = (callId: string, givenTokens: number) => ({
        status: "replied" as const,
        reply: { method: "TransferTokens" as const, body: { transferId: callId, givenTokens } },
    });

    beforeEach(() => {
        calls = [];
        credited = 0;
        membership = createMembershipBoard();
        membership.members.set("g", {
            hostId: "g",
            incarnation: "1",
            zone: "",
            peerAddress: "g",
            operatorAddress: "",
            state: "live",
            heartbeat: 1,
            configVersion: 1,
            heardAtMs: 0,
        });
        let lastId = 0;
        requester = new TransferRequester(BudgetSettingsSchema.parse({}), {
            callPeer: (callId, _address, request) => calls.push({ callId, request }),
            createTransferId: () => `t${++lastId}`,
            creditTokens: (_budget, tokens) => {
                credited += tokens;
            },
        }, new Counters());
        requester.requestTokens("b", "r~1", 50, new Map(), () => true, membership, 0);
    });

    describe("when a peer gives tokens", () => {
        it("credits them once (guards against a repeated reply that is counted twice)", () => {
            requester.handleCallResult("t1", given("t1", 50), "r~1", 10);
            requester.handleCallResult("t1", given("t1", 50), "r~1", 10);
            expect(credited).toBe(50);
        });
    });

    describe("when the reply is lost", () => {
        it("repeats the cancel until the giver confirms it (guards against tokens that stay debited)", () => {
            requester.handleCallResult("t1", { status: "failed", reason: "timeout" }, "r~1", 300);
            requester.tick(membership, 300);
            requester.handleCallResult(calls[1]!.callId, { status: "failed", reason: "timeout" }, "r~1", 600);
            requester.tick(membership, 5_000);
            expect(calls.slice(1).map(({ request }) => request.method)).toEqual(["CancelTransfer", "CancelTransfer"]);
            requester.handleCallResult("t1", given("t1", 50), "r~1", 5_001);
            expect(credited).toBe(0);
        });
    });

    describe("when the host incarnation is sealed before the reply", () => {
        it("credits no tokens and still cancels (guards against a late reply taken for the one to the cancel)", () => {
            requester.cancelAll(100);
            requester.handleCallResult("t1", given("t1", 50), "r~2", 101);
            requester.tick(membership, 150);
            expect(credited).toBe(0);
            expect(calls[1]!.request).toMatchObject({ method: "CancelTransfer", body: { transferId: "t1" } });
        });
    });
});
