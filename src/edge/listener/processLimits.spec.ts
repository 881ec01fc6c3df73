import { describe, expect, it } from "vitest";
import { EdgeSettingsSchema } from "../edgeSettings.js";
import { deriveLimits } from "./processLimits.js";

const settings = (limits: object) =>
    EdgeSettingsSchema.parse({
        hostId: "h",
        peerAddress: "127.0.0.1:1",
        listen: { caller: "127.0.0.1:2", readiness: "127.0.0.1:3" },
        storeAddress: "127.0.0.1:4",
        ...limits,
    });

describe("deriveLimits", () => {
    it.each([700, 2_212, 4_100, 10_250])(
        "stays within %i descriptors without those for files (guards against descriptors that run out)",
        maxDescriptors => {
            const limits = deriveLimits(settings({ maxDescriptors, memoryMb: 602 }));
            const { callerConnections, openRequests, peerConnections, operatorConnections } = limits;
            expect(callerConnections + openRequests + peerConnections + 2 * operatorConnections)
                .toBeLessThanOrEqual(maxDescriptors - 200);
            expect(openRequests).toBeGreaterThanOrEqual(callerConnections);
        },
    );

    it("bounds connections by memory (guards against connections that take the memory of bodies)", () => {
        expect(deriveLimits(settings({ memoryMb: 210 })).callerConnections).toBeLessThan(210_000_000 / 50_000);
    });

    it("has no limits without settings (guards against refusals on hosts whose limits are unknown)", () => {
        expect(deriveLimits(settings({})).callerConnections).toBe(Number.POSITIVE_INFINITY);
    });
});
