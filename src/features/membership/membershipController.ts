/** Discovers the hosts of the fleet, exchanges digests with successors on a ring and suspects silent ones. */
import { log } from "../../base/log.js";
import { Controller, type ControllerContext } from "../../kernel/controller.js";
import type { RouterEvent } from "../../kernel/events.js";
import { selectBusiestUpstreams, selectFittingMembers, selectFittingNames } from "./digestSize.js";
import { extractDigest } from "./extractDigest.js";
import { extractEndedRecord } from "./extractEndedRecord.js";
import { isTerminalState } from "./memberPrecedence.js";
import type { KnownMember } from "./membershipBoard.js";
import type { MembershipSettings } from "./membershipSettings.js";
import { type Digest, type Member, PeerProtocolVersion } from "./membershipTypes.js";
import { MemberTable } from "./memberTable.js";
import { PeerLoadTracker } from "./peerLoadTracker.js";

/** Number of successors that a digest is sent to at once when the first hosts become known. */
const InitialExchangeCount = 3;

/** Minimum time between two rounds of extra exchanges. */
const ExtraRoundIntervalMs = 1_000;

/** Maximum number of retries at a silent successor before the next successor is chosen. */
const MaxRetries = 2;

/** Maximum number of hosts about which one digest requests updates. */
const MaxRequestedHosts = 6;

/** Writes the membership section of the board and replies to `Exchange` requests of peers. */
export class MembershipController extends Controller {
    override readonly name = "membership";
    readonly #settings: MembershipSettings;
    readonly #table: MemberTable;
    readonly #peerLoads: PeerLoadTracker;
    /** Id of the host that each open exchange was sent to, by call id. */
    readonly #openExchanges = new Map<string, string>();
    /** Wall-clock minus monotonic time at the start; fixed, so that later steps of the wall clock have no effect. */
    readonly #clockOffsetMs: number;
    #heartbeat = 0;
    #lastTickMs: number | undefined;
    #nextExchangeMs = 0;
    #nextExtraRoundMs = 0;
    #exchangeCount = 0;
    /** Monotonic times of the newest exchange with each successor, by host id. */
    readonly #lastExchangeMs = new Map<string, number>();
    /** Hosts that did not reply to the newest exchange. */
    readonly #unresponsiveHostIds = new Set<string>();
    #retry: { readonly hostId: string; readonly count: number; } | undefined;
    /** State of this host as of the last check for urgent changes. */
    #announced = { state: "live" as Member["state"], leavingUpstreams: [] as readonly string[], configVersion: 0 };
    #hasStartedExchanges = false;

    constructor(context: ControllerContext, settings: MembershipSettings) {
        super(context);
        this.#settings = settings;
        this.#clockOffsetMs = context.clock.wallMs() - context.clock.monotonicMs();
        this.#table = new MemberTable(
            context.board.membership,
            context.clock,
            settings,
            context.board.journal.hostId,
        );
        this.#peerLoads = new PeerLoadTracker(settings.loadAgeLimitMs);
        // The random offset keeps hosts that start together from exchanging digests at the same moments.
        this.#nextExchangeMs = context.clock.monotonicMs() + context.random.next() * settings.exchangeIntervalMs;
    }

    override handle(event: RouterEvent): void {
        const digest = extractDigest(event);
        if (digest !== undefined) {
            this.#processDigest(digest);
        }
        const ended = extractEndedRecord(event);
        if (ended !== undefined) {
            this.#table.applyEndedRecord(ended);
        }
        if (event.type === "peerRequestReceived" && event.request.method === "Exchange") {
            const body = this.#buildDigest(event.request.body);
            const reply = { method: "Exchange", body } as const;
            this.context.emit({ type: "peerReply", exchangeId: event.exchangeId, reply });
        }
        else if (event.type === "peerCallDone" && event.owner === "membership") {
            this.#finishExchange(event.callId, event.outcome.status === "replied");
        }
        else if (event.type === "hostsListed" && event.outcome.status === "changed") {
            this.#table.applyHostList(event.outcome.hosts);
        }
        else if (event.type === "tick") {
            this.#tick();
        }
    }

    override dumpState(): unknown {
        return {
            neighbours: this.#table.index.neighbours,
            factsToTell: this.#table.updateQueue.size,
            exchangeCount: this.#exchangeCount,
        };
    }

    #tick(): void {
        const now = this.context.clock.monotonicMs();
        if (now - (this.#lastTickMs ?? now) > this.#settings.pauseToleranceMs) {
            log.warn("the process was paused", { pauseMs: Math.round(now - this.#lastTickMs!) });
            this.#table.resetSilenceTimers();
        }
        this.#lastTickMs = now;
        this.context.board.membership.ownDigest ??= this.#createBaseDigest();
        const { successors } = this.#table.index.neighbours;
        if (!this.#hasStartedExchanges && successors.length > 0) {
            this.#hasStartedExchanges = true;
            successors.slice(0, InitialExchangeCount).forEach(hostId => this.#exchangeWith(hostId));
        }
        if (now >= this.#nextExchangeMs) {
            this.#nextExchangeMs = Math.max(this.#nextExchangeMs, now - this.#settings.exchangeIntervalMs) +
                this.#settings.exchangeIntervalMs;
            this.#runExchangeRound(now);
        }
        this.#announceUrgentChanges(now);
    }

    #runExchangeRound(now: number): void {
        this.#table.updateSuspects(this.#unresponsiveHostIds);
        this.#peerLoads.removeExpired(now);
        this.#publishLoads();
        this.context.board.membership.ownDigest = this.#createBaseDigest();
        this.context.counters.set("membership.members", this.context.board.membership.members.size);
        this.context.counters.set("membership.suspects", this.context.board.membership.suspects.size);
        const target = this.#chooseTarget();
        if (target !== undefined) {
            this.#exchangeWith(target);
        }
    }

    /** Sends extra digests at once when this host or an upstream begins to leave, or the configuration has a new version. */
    #announceUrgentChanges(now: number): void {
        const { config, membership } = this.context.board;
        const state = this.#getOwnState();
        const leavingUpstreams = this.#findLeavingUpstreams();
        const hasLeavingChange = state !== this.#announced.state ||
            leavingUpstreams.some(name => !this.#announced.leavingUpstreams.includes(name));
        const hasNewVersion = config.version > this.#announced.configVersion;
        if ((hasLeavingChange || hasNewVersion) && now < this.#nextExtraRoundMs) {
            return;
        }
        this.#announced = { state, leavingUpstreams, configVersion: config.version };
        if (hasLeavingChange || hasNewVersion) {
            this.#nextExtraRoundMs = now + ExtraRoundIntervalMs;
            membership.ownDigest = this.#createBaseDigest();
            const { successors } = this.#table.index.neighbours;
            successors
                .filter(hostId => hasLeavingChange || membership.members.get(hostId)!.configVersion < config.version)
                .forEach(hostId => this.#exchangeWith(hostId));
        }
    }

    #chooseTarget(): string | undefined {
        this.#exchangeCount++;
        const { successors } = this.#table.index.neighbours;
        if (successors.length === 0 || this.#exchangeCount % this.#settings.randomExchangePeriod === 0) {
            return this.#chooseRandomHost();
        }
        if (this.#retry !== undefined && successors.includes(this.#retry.hostId)) {
            return this.#retry.hostId;
        }
        // Takes the successor whose last exchange is the oldest. Round-robin by position would skip some for longer than the
        // suspicion timeout while the ring changes.
        const lastExchangeMs = (hostId: string): number => this.#lastExchangeMs.get(hostId) ?? Number.NEGATIVE_INFINITY;
        return successors.reduce((oldest, hostId) => lastExchangeMs(hostId) < lastExchangeMs(oldest) ? hostId : oldest);
    }

    /** The candidates include suspects, so that the two sides find each other again after a partition. */
    #chooseRandomHost(): string | undefined {
        return this.#pickRandom(this.#table.index.candidateHostIds);
    }

    #exchangeWith(hostId: string): void {
        const address = this.context.board.membership.members.get(hostId)?.peerAddress ?? "";
        if (address === "") {
            return;
        }
        const callId = `exchange/${hostId}/${this.context.clock.monotonicMs()}/${this.#openExchanges.size}`;
        this.#openExchanges.set(callId, hostId);
        this.#recordExchange(hostId);
        this.context.counters.add("membership.exchanges");
        this.context.emit({
            type: "peerCall",
            owner: "membership",
            callId,
            address,
            request: { method: "Exchange", body: this.#buildDigest(undefined) },
            timeoutMs: this.#settings.exchangeTimeoutMs,
        });
    }

    #recordExchange(hostId: string): void {
        const { successors } = this.#table.index.neighbours;
        this.#lastExchangeMs.set(hostId, this.context.clock.monotonicMs());
        for (const exchangedId of [...this.#lastExchangeMs.keys()].filter(id => !successors.includes(id))) {
            this.#lastExchangeMs.delete(exchangedId);
        }
    }

    #finishExchange(callId: string, hasReplied: boolean): void {
        const hostId = this.#openExchanges.get(callId);
        this.#openExchanges.delete(callId);
        if (hostId === undefined) {
            return;
        }
        if (hasReplied) {
            this.#unresponsiveHostIds.delete(hostId);
            this.#retry = this.#retry?.hostId === hostId ? undefined : this.#retry;
            return;
        }
        this.#unresponsiveHostIds.add(hostId);
        const count = this.#retry?.hostId === hostId ? this.#retry.count + 1 : 1;
        this.#retry = count <= MaxRetries ? { hostId, count } : undefined;
    }

    #processDigest(digest: Digest): void {
        const { self } = digest;
        const ownHostId = this.#getOwnHostId();
        if (self.hostId !== ownHostId) {
            const wasKnown = this.context.board.membership.members.get(self.hostId)?.incarnation === self.incarnation;
            this.#table.applyUpdate(self);
            if (!wasKnown) {
                this.#table.suspectOtherHostsAt(self.peerAddress, self.hostId);
            }
            this.#updatePeerLoad(digest);
        }
        for (const update of digest.members) {
            if (update.hostId !== ownHostId) {
                this.#table.applyUpdate(update);
            }
            else if (update.heartbeat >= this.#heartbeat) {
                // Only a heartbeat above all known ones replaces an earlier incarnation or ends a suspicion.
                this.#heartbeat = update.heartbeat;
            }
        }
    }

    #updatePeerLoad(digest: Digest): void {
        if (isTerminalState(digest.self.state)) {
            this.#peerLoads.removePeer(digest.self.hostId);
        }
        else {
            this.#peerLoads.recordReport(digest, this.context.clock.monotonicMs());
        }
        this.#publishLoads();
    }

    #publishLoads(): void {
        const { membership } = this.context.board;
        this.#peerLoads.writeInFlightSums(
            membership.peerInFlight,
            this.#table.index.liveCount,
        );
        this.#peerLoads.writeLeavingUpstreams(membership.leavingUpstreams);
    }

    /**
     * Creates a digest with as many updates about other hosts as fit.
     * @param request Digest to reply to, if any: the reply corrects outdated knowledge about its sender and includes the
     * updates that it requests.
     */
    #buildDigest(request: Digest | undefined): Digest {
        const { listedOnlyHostIds } = this.#table.index;
        const start = this.context.random.integer(Math.max(1, listedOnlyHostIds.length));
        const wantedHostIds = listedOnlyHostIds.slice(start, start + MaxRequestedHosts);
        const base = { ...this.#createBaseDigest(), ...(wantedHostIds.length === 0 ? {} : { wantedHostIds }) };
        const includedUpdates = selectFittingMembers(base, this.#collectUpdatesFor(request));
        for (const update of includedUpdates) {
            this.#table.updateQueue.recordSent(update.hostId);
        }
        return { ...base, members: includedUpdates };
    }

    #collectUpdatesFor(request: Digest | undefined): Member[] {
        const receiver = request?.self;
        const { members } = this.context.board.membership;
        const known = receiver === undefined ? undefined : members.get(receiver.hostId);
        const isReceiverOutdated = known !== undefined && known.incarnation !== "" &&
            (known.incarnation !== receiver!.incarnation || known.state === "suspect");
        const correction = isReceiverOutdated ? [known] : [];
        const changed = this.#table.updateQueue.getPendingHostIds().filter(hostId => hostId !== receiver?.hostId)
            .map(hostId => members.get(hostId)).filter(member => member !== undefined);
        // A random member lets hosts converge even if they missed every digest that carried a change.
        const random = members.get(
            this.#pickRandom(this.#table.index.hostIdsWithIncarnation) ?? "",
        );
        const requested = (request?.wantedHostIds ?? []).map(hostId => members.get(hostId))
            .filter(member => member !== undefined && member.incarnation !== "") as KnownMember[];
        return [...correction, ...changed, ...requested, ...(random === undefined ? [] : [random])].map(toMember);
    }

    #pickRandom(hostIds: readonly string[]): string | undefined {
        return hostIds[this.context.random.integer(Math.max(1, hostIds.length))];
    }

    #createBaseDigest(): Digest {
        const { config, journal, upstream } = this.context.board;
        const ownTimeMs = Math.floor(this.#clockOffsetMs + this.context.clock.monotonicMs());
        this.#heartbeat = Math.max(this.#heartbeat + 1, ownTimeMs);
        return {
            protocolVersion: PeerProtocolVersion,
            self: {
                hostId: journal.hostId,
                incarnation: journal.incarnation,
                zone: this.#settings.zone,
                peerAddress: this.#settings.peerAddress,
                operatorAddress: this.#settings.operatorAddress,
                state: this.#getOwnState(),
                heartbeat: this.#heartbeat,
                configVersion: config.version,
            },
            floorVersion: config.floorVersion,
            inFlight: selectBusiestUpstreams(upstream.statuses),
            leavingUpstreams: selectFittingNames(this.#findLeavingUpstreams()),
            members: [],
        };
    }

    #findLeavingUpstreams(): string[] {
        return [...this.context.board.upstream.statuses].filter(([, status]) => status.leavingSeenHere)
            .map(([name]) => name).sort();
    }

    #getOwnState(): Member["state"] {
        const { phase } = this.context.board.lifecycle;
        if (phase === "closed") {
            return "closed";
        }
        return phase === "draining" || phase === "closing" ? "leaving" : "live";
    }

    #getOwnHostId(): string {
        return this.context.board.journal.hostId;
    }
}

function toMember(member: KnownMember): Member {
    const { hostId, incarnation, zone, peerAddress, operatorAddress, state, heartbeat, configVersion } = member;
    return { hostId, incarnation, zone, peerAddress, operatorAddress, state, heartbeat, configVersion };
}
