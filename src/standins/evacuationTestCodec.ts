/** Codec for tests about evacuations; it knows no other objects. */
import type { EdgeConfiguration, UpstreamEntry } from "../edge/edgeTypes.js";
import { ObjectCodec } from "../edge/protocolCodec.js";

class EvacuationTestCodec extends ObjectCodec {
    override readonly configurationKey = "config";
    override readonly upstreamPrefix = "upstreams/";
    override readonly evacuationPrefix = "evac/";
    override readonly budgetPrefix = "budgets/";
    override readonly evidenceKey = "evidence";
    override readonly hostPrefix = "hosts/";

    override readConfiguration(): EdgeConfiguration | string {
        return "not used";
    }

    override readUpstream(): UpstreamEntry | string {
        return "not used";
    }

    override readEvacuation(name: string, value: unknown): { zone: string; } | { problem: string; } {
        return typeof value === "object" ? { zone: name } : { problem: "not an object" };
    }
}

/** The codec; objects that are evacuations have any object as their value. */
export const evacuationTestCodec: ObjectCodec = new EvacuationTestCodec();
