/** Peer transport over gRPC. */
import type { Clock } from "../base/clock.js";
import type { Counters } from "../base/counters.js";
import type { PeerRequestReceived } from "../kernel/effectResults.js";
import { GrpcPeerClient } from "../peer/grpcPeerClient.js";
import type { PeerReply } from "../peer/peerMessages.js";
import { PeerServer } from "../peer/peerServer.js";
import type { PeerSettings } from "../peer/peerSettings.js";
import { PeerTransport } from "./routerDependencies.js";

/** Settings and collaborators of {@link GrpcPeerTransport}. */
export interface GrpcPeerTransportDependencies {
    readonly settings: PeerSettings;
    /** Name of this host, by which peers apply their rate limits. */
    readonly hostId: string;
    readonly clock: Clock;
    readonly counters: Counters;
}

/** The gRPC server and client with which one router talks to its peers. */
export class GrpcPeerTransport extends PeerTransport {
    override readonly client: GrpcPeerClient;
    readonly #dependencies: GrpcPeerTransportDependencies;
    #server: PeerServer | undefined;

    constructor(dependencies: GrpcPeerTransportDependencies) {
        super();
        this.#dependencies = dependencies;
        this.client = new GrpcPeerClient(dependencies);
    }

    override start(post: (event: PeerRequestReceived) => void): Promise<number> {
        const { settings, clock, counters } = this.#dependencies;
        this.#server = new PeerServer({ settings, clock, counters, post });
        return this.#server.listen();
    }

    override reply(exchangeId: string, reply: PeerReply): void {
        this.#server?.reply(exchangeId, reply);
    }

    override async stop(): Promise<void> {
        this.#server?.close();
        this.client.close();
    }
}
