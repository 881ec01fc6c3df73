import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { type ResultCodeName, ResultCodes } from "../base/resultCodes.js";
import { CallerResponse, type ErrorResponse } from "./callerResponse.js";

describe("CallerResponse", () => {
    const servers: Server[] = [];
    afterEach(() => servers.splice(0).forEach(server => server.close()));

    /** @returns Status, name and execution state of the error as its caller gets it. */
    const send = async (failure: ErrorResponse): Promise<string> => {
        const server = createServer((_, outgoing) =>
            new CallerResponse(outgoing, "r1", () => outgoing.setHeader("connection", "close")).sendError(failure)
        );
        servers.push(server);
        await once(server.listen(0, "127.0.0.1"), "listening");
        const response = await fetch(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
        const { error } = await response.json() as { error: { name: string; ran: string; }; };
        return `${response.status} ${error.name} ran=${error.ran}`;
    };

    const notRunCodes = (Object.keys(ResultCodes) as ResultCodeName[]).filter(code =>
        [429, 503].includes(ResultCodes[code].httpStatus)
    );

    describe.each(notRunCodes)("given the error %s, whose status states that the request has not run", code => {
        it("reports it for a request that has not run (guards against callers that do not go on elsewhere)", async () => {
            const expected = `${ResultCodes[code].httpStatus} ${code} ran=no`;
            expect(await send({ code })).toBe(expected);
            expect(await send({ code, ran: "no", retryAfterMs: 0 })).toBe(expected);
        });

        it.each(["yes", "unknown"] as const)(
            "reports a failure if it ran: %s (guards against callers that send such a request again)",
            async ran => {
                expect(await send({ code, ran, retryAfterMs: 0 })).toBe(`502 UpstreamFailed ran=${ran}`);
            },
        );
    });

    describe("given an error whose status leaves open whether the request ran", () => {
        it("keeps its code (guards against time-outs reported as failures)", async () => {
            expect(await send({ code: "UpstreamTimeout" })).toBe("504 UpstreamTimeout ran=unknown");
            expect(await send({ code: "StreamCut" })).toBe("502 StreamCut ran=yes");
        });
    });
});
