import { describe, expect, it, vi } from "vitest";
import { Counters } from "../../base/counters.js";
import type { Reachability } from "../upstream/upstream.js";
import type { Attempt } from "./attempt.js";
import type { ResendPolicy } from "./resendPolicy.js";
import { SequentialSilenceHandler } from "./silenceHandler.js";

/** A stream whose upstream is silent, with the answers of its collaborators. */
class SilentStream {
    reachability: Reachability = { isReachable: true, evidence: "probe" };
    hasOtherUpstream = true;
    hasHealthyUpstream = true;
    hasRetry = true;
    isSilent = true;
    readonly counters = new Counters();
    readonly interruptSilent = vi.fn();
    readonly tryAcquireRetry = vi.fn(() => this.hasRetry);
    readonly checkReachability = vi.fn(() => Promise.resolve(this.reachability));
    readonly #handler = new SequentialSilenceHandler({
        counters: this.counters,
        resendPolicy: {
            canSendInstead: (needsHealthy: boolean) => needsHealthy ? this.hasHealthyUpstream : this.hasOtherUpstream,
            tryAcquireRetry: this.tryAcquireRetry,
        } as unknown as ResendPolicy,
        describe: () => ({}),
        sendNext: () => undefined,
    });

    async report(silentMs: number, isFirstReport = false): Promise<void> {
        const attempt = {
            input: { upstream: { entry: { id: "u" }, checkReachability: this.checkReachability }, silentAfterMs: 300 },
            isSilent: this.isSilent,
            hasEnded: false,
            interruptSilent: this.interruptSilent,
        };
        this.#handler.onSilence({ silentMs, isFirstReport }, attempt as unknown as Attempt);
        await Promise.resolve();
        await Promise.resolve();
    }
}

describe("SequentialSilenceHandler", () => {
    describe("given an upstream that can be reached", () => {
        it("waits for two seconds, with one check (guards against sound streams that are cut)", async () => {
            const stream = new SilentStream();
            await stream.report(300, true);
            await stream.report(1_999);
            expect(stream.interruptSilent).not.toHaveBeenCalled();
            expect(stream.checkReachability).toHaveBeenCalledTimes(1);
            await stream.report(2_000);
            expect(stream.interruptSilent).toHaveBeenCalledTimes(1);
        });

        it("takes no retry when there is no healthy upstream (guards against a retry budget spent in vain)", async () => {
            const stream = new SilentStream();
            stream.hasHealthyUpstream = false;
            await stream.report(300, true);
            await stream.report(2_500);
            expect(stream.interruptSilent).not.toHaveBeenCalled();
            expect(stream.tryAcquireRetry).not.toHaveBeenCalled();
        });

        it("waits while the retry budget is used up (guards against streams that are cut and cannot be resumed)", async () => {
            const stream = new SilentStream();
            stream.hasRetry = false;
            await stream.report(300, true);
            await stream.report(2_000);
            await stream.report(2_250);
            expect(stream.interruptSilent).not.toHaveBeenCalled();
            stream.hasRetry = true;
            await stream.report(2_500);
            expect(stream.interruptSilent).toHaveBeenCalledTimes(1);
        });

        it("keeps its stream when the check fails by itself (guards against a process that ends for an unhandled rejection)", async () => {
            const stream = new SilentStream();
            stream.checkReachability.mockRejectedValueOnce(new Error("invalid address"));
            await stream.report(300, true);
            expect(stream.interruptSilent).not.toHaveBeenCalled();
        });

        it("applies a limit that is longer than a pause (guards against cuts earlier than before)", async () => {
            const stream = new SilentStream();
            await stream.report(3_000, true);
            expect(stream.checkReachability).not.toHaveBeenCalled();
            expect(stream.interruptSilent).toHaveBeenCalledTimes(1);
        });
    });

    describe("given an upstream that cannot be reached", () => {
        const unreachable: Reachability = { isReachable: false, evidence: "probe", detail: "connect timeout" };

        it("leaves it after the check and counts the probe (guards against waits for an upstream that is dark)", async () => {
            const stream = new SilentStream();
            stream.reachability = unreachable;
            await stream.report(300, true);
            expect(stream.interruptSilent).toHaveBeenCalledTimes(1);
            expect(stream.counters.snapshot()).toEqual({
                "edge.upstreams.probes": 1,
                "edge.upstreams.probes.failed": 1,
            });
        });

        it("keeps its stream while there is no other upstream (guards against streams that are cut and cannot be resumed)", async () => {
            const stream = new SilentStream();
            stream.reachability = unreachable;
            await stream.report(300, true);
            stream.interruptSilent.mockClear();
            stream.hasOtherUpstream = false;
            await stream.report(550);
            expect(stream.interruptSilent).not.toHaveBeenCalled();
            stream.hasOtherUpstream = true;
            await stream.report(800);
            expect(stream.interruptSilent).toHaveBeenCalledTimes(1);
        });

        it("keeps its stream when bytes arrive during the check (guards against sound streams that are cut)", async () => {
            const stream = new SilentStream();
            stream.reachability = unreachable;
            stream.isSilent = false;
            await stream.report(300, true);
            expect(stream.interruptSilent).not.toHaveBeenCalled();
        });
    });
});
