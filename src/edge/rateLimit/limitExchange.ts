/**
 * Exchange of the limits that upstreams state, so that hosts to which an upstream has not responded yet keep them too, and of the
 * remaining time of cold upstreams, for hosts without the store.
 */
import type { Clock } from "../../base/clock.js";
import type { Counters } from "../../base/counters.js";
import { hash32 } from "../../base/hashing.js";
import { EdgeCounterNames } from "../metrics.js";
import { FleetBroadcast, type FleetBroadcastDependencies } from "../peers/fleetBroadcast.js";
import { ColdBroadcast } from "./coldBroadcast.js";
import type { ColdLimits } from "./coldLimits.js";
import { identityKey, type LimitStatement, type LimitTracker, type UpstreamIdentity } from "./limitTracker.js";
import type { LimitStatementsMessage } from "./slotMessages.js";

/** Minimum time between two messages of this host about the same upstream, in milliseconds, however often its limit changes. */
const MinIntervalMs = 250;

/**
 * Time from the last message of any host about an upstream until a host with a later response repeats it, in milliseconds. Hosts
 * that start or were cut off learn the limits from repetitions.
 */
const RepeatMs = 1_500;
/** Time by which the hosts' repetitions are spread, so that mostly one host sends them, in milliseconds. */
const RepeatSpreadMs = 1_000;

/**
 * Time by which the age of an end may be underestimated on its way between hosts, in milliseconds. A limit that was stated later must
 * not be ended by it.
 */
const TransitToleranceMs = 100;

/** Maximum number of statements in a message, so that it fits into a datagram: at most 60 bytes each. */
const MaxStatementsPerMessage = 18;

/** Interval at which repetitions that are due are looked for, in milliseconds. */
const RepetitionCheckMs = 100;

/** Number of values of {@link hash32}. */
const HashRange = 2 ** 32;

/** Monotonic times of the last messages about one upstream, in milliseconds. */
interface MessageTimes {
    /** Last message of any host. */
    readonly anyAtMs: number;
    /** Last message of this host. */
    readonly ownAtMs: number;
}

/** Collaborators of {@link LimitExchange}, and the identity of this host. */
export interface LimitExchangeDependencies
    extends
        Pick<FleetBroadcastDependencies<LimitStatementsMessage>, "channel" | "ownHost" | "incarnation" | "otherHosts"> {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly tracker: LimitTracker;
    readonly cold?: ColdLimits | undefined;
}

/** Sends what responses to this host state about limits, and records what other hosts send. */
export class LimitExchange {
    readonly #dependencies: LimitExchangeDependencies;
    readonly #broadcast: FleetBroadcast<LimitStatementsMessage>;
    /** Part of {@link RepeatSpreadMs} by which this host repeats later than others, 0 to 1. */
    readonly #phase: number;
    readonly #changed = new Map<string, UpstreamIdentity>();
    /** Ends of limits that are sent a second time, in case a datagram was lost. */
    readonly #endings = new Map<string, UpstreamIdentity>();
    readonly #coldBroadcast: ColdBroadcast | undefined;
    readonly #messageTimes = new Map<string, MessageTimes>();
    #repeatNumber = 0;
    #nextRepetitionCheckMs = Number.NEGATIVE_INFINITY;

    constructor(dependencies: LimitExchangeDependencies) {
        this.#dependencies = dependencies;
        this.#phase = hash32(dependencies.ownHost.hostId) / HashRange;
        const { cold, clock } = dependencies;
        this.#coldBroadcast = cold === undefined ? undefined : new ColdBroadcast(cold, clock, this.#phase);
        this.#broadcast = new FleetBroadcast<LimitStatementsMessage>({
            ...dependencies,
            kind: "v",
            otherHosts: () => dependencies.otherHosts(),
            onMessage: message => this.#receive(message),
            onSent: count => dependencies.counters.add(EdgeCounterNames.limitStatementsSent, count),
        });
    }

    /** Sends the statement about an upstream with one of the next calls of {@link tick}, as it has changed. */
    recordChange(upstream: UpstreamIdentity): void {
        this.#changed.set(identityKey(upstream), upstream);
    }

    /** Sends what is due; called every few tens of milliseconds. */
    tick(): void {
        const nowMs = this.#dependencies.clock.monotonicMs();
        const changed = [...this.#changed].filter(([key]) =>
            nowMs - (this.#messageTimes.get(key)?.ownAtMs ?? Number.NEGATIVE_INFINITY) >= MinIntervalMs
        );
        changed.forEach(([key]) => this.#changed.delete(key));
        this.#send(changed.map(([, upstream]) => upstream), undefined, nowMs);
        if (nowMs >= this.#nextRepetitionCheckMs) {
            this.#nextRepetitionCheckMs = nowMs + RepetitionCheckMs;
            this.#repeat(nowMs);
        }
        this.#sendCold();
    }

    #sendCold(): void {
        const due = this.#coldBroadcast?.takeDue() ?? [];
        for (let start = 0; start < due.length; start += MaxStatementsPerMessage) {
            const part = due.slice(start, start + MaxStatementsPerMessage);
            this.#dependencies.counters.add(EdgeCounterNames.coldStatementsSent, part.length);
            // Sent like a change: each repetition has to arrive within a fraction of the cold time, also if a gatherer has failed.
            this.#broadcast.send({
                l: [],
                e: [],
                c: part.map(({ upstream: { id, startedAtMs }, coldLeftMs, revision }) => [
                    id,
                    startedAtMs,
                    Math.ceil(coldLeftMs),
                    revision,
                ]),
            }, undefined);
        }
    }

    /** Repeats what a response has stated since the last message, unless another host does so first. */
    #repeat(nowMs: number): void {
        const confirmed = this.#dependencies.tracker.activeStatements.filter(({ atMs, upstream }) =>
            atMs > this.#lastMessageMs(upstream) && this.#isRepetitionDue(upstream, nowMs)
        );
        const repeated = [...confirmed.map(({ upstream }) => upstream), ...this.#takeDueEndings(nowMs)];
        this.#send(repeated, this.#repeatNumber, nowMs);
        this.#repeatNumber += repeated.length > 0 ? 1 : 0;
        this.#forgetUnknown();
    }

    #isRepetitionDue(upstream: UpstreamIdentity, nowMs: number): boolean {
        return nowMs - this.#lastMessageMs(upstream) >= RepeatMs + this.#phase * RepeatSpreadMs;
    }

    #lastMessageMs(upstream: UpstreamIdentity): number {
        return this.#messageTimes.get(identityKey(upstream))?.anyAtMs ?? Number.NEGATIVE_INFINITY;
    }

    #takeDueEndings(nowMs: number): UpstreamIdentity[] {
        const due = [...this.#endings].filter(([, upstream]) => this.#isRepetitionDue(upstream, nowMs));
        due.forEach(([key]) => this.#endings.delete(key));
        return due.map(([, upstream]) => upstream);
    }

    #send(upstreams: readonly UpstreamIdentity[], repeatNumber: number | undefined, nowMs: number): void {
        const statements = upstreams.flatMap(upstream => this.#dependencies.tracker.statementAbout(upstream) ?? []);
        for (let start = 0; start < statements.length; start += MaxStatementsPerMessage) {
            const part = statements.slice(start, start + MaxStatementsPerMessage);
            this.#broadcast.send(encodeStatements(part, nowMs), repeatNumber);
        }
        for (const { upstream, requestsPerS } of statements) {
            const key = identityKey(upstream);
            this.#messageTimes.set(key, { anyAtMs: nowMs, ownAtMs: nowMs });
            if (requestsPerS === undefined && repeatNumber === undefined) {
                this.#endings.set(key, upstream);
            }
        }
    }

    #receive({ h: hostId, l: limits, e: ends, c: cold = [] }: LimitStatementsMessage): void {
        const { clock, tracker } = this.#dependencies;
        const nowMs = clock.monotonicMs();
        for (const [id, startedAtMs, requestsPerS, ageMs] of limits) {
            this.#recordHeard({ id, startedAtMs }, nowMs);
            tracker.record({ upstream: { id, startedAtMs }, requestsPerS, atMs: nowMs - ageMs }, hostId);
        }
        for (const [id, startedAtMs, ageMs] of ends) {
            this.#recordHeard({ id, startedAtMs }, nowMs);
            const atMs = nowMs - ageMs - TransitToleranceMs;
            tracker.record({ upstream: { id, startedAtMs }, requestsPerS: undefined, atMs }, hostId);
        }
        for (const [id, startedAtMs, coldLeftMs, revision] of cold) {
            this.#coldBroadcast?.receive({ upstream: { id, startedAtMs }, coldLeftMs, revision }, hostId);
        }
    }

    /** Another host has sent a message about an upstream, so that this one need not send the same. */
    #recordHeard(upstream: UpstreamIdentity, nowMs: number): void {
        const key = identityKey(upstream);
        const ownAtMs = this.#messageTimes.get(key)?.ownAtMs ?? Number.NEGATIVE_INFINITY;
        this.#messageTimes.set(key, { anyAtMs: nowMs, ownAtMs });
    }

    /** Drops the times of messages about upstreams that the tracker has forgotten. */
    #forgetUnknown(): void {
        for (const key of this.#messageTimes.keys()) {
            if (!this.#dependencies.tracker.isKnown(key)) {
                this.#messageTimes.delete(key);
            }
        }
    }
}

function encodeStatements(
    statements: readonly LimitStatement[],
    nowMs: number,
): Pick<LimitStatementsMessage, "l" | "e"> {
    const ageOf = ({ atMs }: LimitStatement) => Math.max(0, Math.round(nowMs - atMs));
    return {
        l: statements.flatMap(statement => {
            const { upstream: { id, startedAtMs }, requestsPerS } = statement;
            return requestsPerS === undefined ? [] : [[id, startedAtMs, requestsPerS, ageOf(statement)] as const];
        }).map(limit => [...limit]),
        e: statements.filter(({ requestsPerS }) => requestsPerS === undefined).map(statement => [
            statement.upstream.id,
            statement.upstream.startedAtMs,
            ageOf(statement),
        ]),
    };
}
