/** Finds the hosts of the fleet, exchanges digests with a fixed subset of them and suspects silent ones. */
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

/** Number of successors asked at once when the first hosts become known. */
const FirstExchangeCount = 3;

/** Least time between two rounds of extra exchanges. */
const ExtraRoundIntervalMs = 1_000;

/** Attempts at a silent successor before the next one takes its turn. */
const MaxRetries = 2;

/** Largest number of hosts about which a digest asks. */
const MaxWantedHosts = 6;

/** Writes the membership section. Answers `Exchange`. */
export class MembershipController extends Controller {
    override readonly name = "membership";
    readonly #settings: MembershipSettings;
    readonly #table: MemberTable;
    readonly #loads: PeerLoadTracker;
    /** Host that an exchange was sent to, by call. */
    readonly #openExchanges = new Map<string, string>();
    /** Difference between wall-clock and monotonic time at the start; later steps of the wall clock have no effect. */
    readonly #clockOffsetMs: number;
    #heartbeat = 0;
    #lastTickMs: number | undefined;
    #nextExchangeMs = 0;
    #nextExtraRoundMs = 0;
    #exchangeCount = 0;
    /** Times of the newest exchanges with the successors. */
    readonly #askedMs = new Map<string, number>();
    /** Hosts that did not answer the newest exchange. */
    readonly #unanswered = new Set<string>();
    #retry: { readonly hostId: string; readonly count: number; } | undefined;
    #told = { state: "live" as Member["state"], leavingUpstreams: [] as readonly string[], configVersion: 0 };
    #hasMet = false;

    constructor(context: ControllerContext, settings: MembershipSettings) {
        super(context);
        this.#settings = settings;
        this.#clockOffsetMs = context.clock.wallMs() - context.clock.monotonicMs();
        this.#table = new MemberTable(context.board.membership, context.clock, settings);
        this.#loads = new PeerLoadTracker(settings.loadAgeLimitMs);
        // Hosts that start together must not exchange in step.
        this.#nextExchangeMs = context.clock.monotonicMs() + context.random.next() * settings.exchangeIntervalMs;
    }

    override handle(event: RouterEvent): void {
        const digest = extractDigest(event);
        if (digest !== undefined) {
            this.#takeDigest(digest);
        }
        const ended = extractEndedRecord(event);
        if (ended !== undefined) {
            this.#table.applyEndedRecord(ended);
        }
        if (event.type === "peerRequested" && event.request.method === "Exchange") {
            const body = this.#buildDigest(event.request.body);
            const reply = { method: "Exchange", body } as const;
            this.context.emit({ type: "peerAnswer", exchangeId: event.exchangeId, reply });
        }
        else if (event.type === "peerCallDone" && event.owner === "membership") {
            this.#finishExchange(event.callId, event.outcome.status === "replied");
        }
        else if (event.type === "hostsListed" && event.outcome.status === "changed") {
            this.#table.applyHostList(event.outcome.hosts, this.#ownHostId());
        }
        else if (event.type === "tick") {
            this.#tick();
        }
    }

    override dumpState(): unknown {
        return {
            neighbours: this.#table.getFleetView(this.#ownHostId()).neighbours,
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
        this.context.board.membership.ownDigest ??= this.#baseDigest();
        const { successors } = this.#table.getFleetView(this.#ownHostId()).neighbours;
        if (!this.#hasMet && successors.length > 0) {
            this.#hasMet = true;
            successors.slice(0, FirstExchangeCount).forEach(hostId => this.#exchangeWith(hostId));
        }
        if (now >= this.#nextExchangeMs) {
            this.#nextExchangeMs = Math.max(this.#nextExchangeMs, now - this.#settings.exchangeIntervalMs) +
                this.#settings.exchangeIntervalMs;
            this.#round(now);
        }
        this.#tellUrgentChanges(now);
    }

    #round(now: number): void {
        this.#table.updateSuspects(this.#ownHostId(), this.#unanswered);
        this.#loads.removeExpired(now);
        this.#publishLoads();
        this.context.board.membership.ownDigest = this.#baseDigest();
        this.context.counters.set("membership.members", this.context.board.membership.members.size);
        this.context.counters.set("membership.suspects", this.context.board.membership.suspects.size);
        const target = this.#chooseTarget();
        if (target !== undefined) {
            this.#exchangeWith(target);
        }
    }

    /** Some news must not wait for a turn: a departure, an upstream that leaves, a new configuration version. */
    #tellUrgentChanges(now: number): void {
        const { config, membership } = this.context.board;
        const state = this.#ownState();
        const leavingUpstreams = this.#leavingUpstreams();
        const isLeaveNews = state !== this.#told.state ||
            leavingUpstreams.some(name => !this.#told.leavingUpstreams.includes(name));
        const isVersionNews = config.version > this.#told.configVersion;
        if ((isLeaveNews || isVersionNews) && now < this.#nextExtraRoundMs) {
            return;
        }
        this.#told = { state, leavingUpstreams, configVersion: config.version };
        if (isLeaveNews || isVersionNews) {
            this.#nextExtraRoundMs = now + ExtraRoundIntervalMs;
            membership.ownDigest = this.#baseDigest();
            const { successors } = this.#table.getFleetView(this.#ownHostId()).neighbours;
            successors
                .filter(hostId => isLeaveNews || membership.members.get(hostId)!.configVersion < config.version)
                .forEach(hostId => this.#exchangeWith(hostId));
        }
    }

    #chooseTarget(): string | undefined {
        this.#exchangeCount++;
        const { successors } = this.#table.getFleetView(this.#ownHostId()).neighbours;
        if (successors.length === 0 || this.#exchangeCount % this.#settings.randomExchangePeriod === 0) {
            return this.#chooseRandom();
        }
        if (this.#retry !== undefined && successors.includes(this.#retry.hostId)) {
            return this.#retry.hostId;
        }
        // The longest unasked one: a position on a ring that changes would leave some out for longer than the suspicion.
        const askedMs = (hostId: string): number => this.#askedMs.get(hostId) ?? Number.NEGATIVE_INFINITY;
        return successors.reduce((oldest, hostId) => askedMs(hostId) < askedMs(oldest) ? hostId : oldest);
    }

    /** Suspects are among the candidates, so that two halves of a healed partition find each other again. */
    #chooseRandom(): string | undefined {
        return this.#pick(this.#table.getFleetView(this.#ownHostId()).candidateHostIds);
    }

    #exchangeWith(hostId: string): void {
        const address = this.context.board.membership.members.get(hostId)?.peerAddress ?? "";
        if (address === "") {
            return;
        }
        const callId = `exchange/${hostId}/${this.context.clock.monotonicMs()}/${this.#openExchanges.size}`;
        this.#openExchanges.set(callId, hostId);
        this.#noteAsked(hostId);
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

    #noteAsked(hostId: string): void {
        const { successors } = this.#table.getFleetView(this.#ownHostId()).neighbours;
        this.#askedMs.set(hostId, this.context.clock.monotonicMs());
        for (const askedId of [...this.#askedMs.keys()].filter(askedId => !successors.includes(askedId))) {
            this.#askedMs.delete(askedId);
        }
    }

    #finishExchange(callId: string, replied: boolean): void {
        const hostId = this.#openExchanges.get(callId);
        this.#openExchanges.delete(callId);
        if (hostId === undefined) {
            return;
        }
        if (replied) {
            this.#unanswered.delete(hostId);
            this.#retry = this.#retry?.hostId === hostId ? undefined : this.#retry;
            return;
        }
        this.#unanswered.add(hostId);
        const count = this.#retry?.hostId === hostId ? this.#retry.count + 1 : 1;
        this.#retry = count <= MaxRetries ? { hostId, count } : undefined;
    }

    #takeDigest(digest: Digest): void {
        const { self } = digest;
        const ownHostId = this.#ownHostId();
        if (self.hostId !== ownHostId) {
            const wasKnown = this.context.board.membership.members.get(self.hostId)?.incarnation === self.incarnation;
            this.#table.applyUpdate(self);
            if (!wasKnown) {
                this.#table.suspectOtherHostsAt(self.peerAddress, self.hostId);
            }
            this.#takeLoad(digest);
        }
        for (const fact of digest.members) {
            if (fact.hostId !== ownHostId) {
                this.#table.applyUpdate(fact);
            }
            else if (fact.heartbeat >= this.#heartbeat) {
                // Only a heartbeat above every known one replaces an earlier incarnation or ends a suspicion.
                this.#heartbeat = fact.heartbeat;
            }
        }
    }

    #takeLoad(digest: Digest): void {
        if (isTerminalState(digest.self.state)) {
            this.#loads.removePeer(digest.self.hostId);
        }
        else {
            this.#loads.recordReport(digest, this.context.clock.monotonicMs());
        }
        this.#publishLoads();
    }

    #publishLoads(): void {
        const { membership } = this.context.board;
        this.#loads.writeInFlightSums(membership.peerInFlight, this.#table.getFleetView(this.#ownHostId()).liveCount);
        this.#loads.writeLeavingUpstreams(membership.leavingUpstreams);
    }

    /** @param request The digest that is answered: its sender is corrected if need be and told what it asks for. */
    #buildDigest(request: Digest | undefined): Digest {
        const { listedOnlyHostIds } = this.#table.getFleetView(this.#ownHostId());
        const start = this.context.random.integer(Math.max(1, listedOnlyHostIds.length));
        const wantedHostIds = listedOnlyHostIds.slice(start, start + MaxWantedHosts);
        const base = { ...this.#baseDigest(), ...(wantedHostIds.length === 0 ? {} : { wantedHostIds }) };
        const told = selectFittingMembers(base, this.#factsFor(request));
        for (const fact of told) {
            this.#table.updateQueue.recordSent(fact.hostId);
        }
        return { ...base, members: told };
    }

    #factsFor(request: Digest | undefined): Member[] {
        const receiver = request?.self;
        const { members } = this.context.board.membership;
        const known = receiver === undefined ? undefined : members.get(receiver.hostId);
        const isOutdated = known !== undefined && known.incarnation !== "" &&
            (known.incarnation !== receiver!.incarnation || known.state === "suspect");
        const correction = isOutdated ? [known] : [];
        const changed = this.#table.updateQueue.getPendingHostIds().filter(hostId => hostId !== receiver?.hostId)
            .map(hostId => members.get(hostId)).filter(member => member !== undefined);
        // A random fact lets hosts agree even when they missed all of the times at which a change was told.
        const random = members.get(
            this.#pick(this.#table.getFleetView(this.#ownHostId()).hostIdsWithIncarnation) ?? "",
        );
        const wanted = (request?.wantedHostIds ?? []).map(hostId => members.get(hostId))
            .filter(member => member !== undefined && member.incarnation !== "") as KnownMember[];
        return [...correction, ...changed, ...wanted, ...(random === undefined ? [] : [random])].map(toFact);
    }

    #pick(hostIds: readonly string[]): string | undefined {
        return hostIds[this.context.random.integer(Math.max(1, hostIds.length))];
    }

    #baseDigest(): Digest {
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
                state: this.#ownState(),
                heartbeat: this.#heartbeat,
                configVersion: config.version,
            },
            floorVersion: config.floorVersion,
            inFlight: selectBusiestUpstreams(upstream.statuses),
            leavingUpstreams: selectFittingNames(this.#leavingUpstreams()),
            members: [],
        };
    }

    #leavingUpstreams(): string[] {
        return [...this.context.board.upstream.statuses].filter(([, status]) => status.leavingSeenHere)
            .map(([name]) => name).sort();
    }

    #ownState(): Member["state"] {
        const { phase } = this.context.board.lifecycle;
        if (phase === "closed") {
            return "closed";
        }
        return phase === "draining" || phase === "closing" ? "leaving" : "live";
    }

    #ownHostId(): string {
        return this.context.board.journal.hostId;
    }
}

function toFact(member: KnownMember): Member {
    const { hostId, incarnation, zone, peerAddress, operatorAddress, state, heartbeat, configVersion } = member;
    return { hostId, incarnation, zone, peerAddress, operatorAddress, state, heartbeat, configVersion };
}
