/** Decides when this host sends what it knows about cold upstreams, and applies what other hosts send. */
import { setBounded } from "../../base/boundedMap.js";
import type { Clock } from "../../base/clock.js";
import type { UpstreamStart } from "../../scheduling/coldStart.js";
import type { ColdLimits, ColdStatement } from "./coldLimits.js";

/** Time by which the hosts' first messages about a cold period are spread, so that mostly a few hosts send them, in milliseconds. */
const FirstSpreadMs = 100;

/**
 * Time from the last message of any host about a cold upstream until this host repeats it, and time by which the hosts' repetitions
 * are spread, in milliseconds: a fraction of a cold period of 3 s, in case datagrams were lost or a host was cut off.
 */
const RepeatMs = 500;
const RepeatSpreadMs = 500;

/** Number of hosts that send an unconfirmed statement: each of them confirms that of the others. */
const MinConfirmingHosts = 2;

/** Maximum number of upstreams whose last messages are remembered; far more than there are at the same time. */
const MaxLastMessages = 2_000;

/** The last message of any host about an upstream. */
interface LastMessage {
    /** See {@link ColdStatement.revision}. */
    readonly revision: number;
    readonly atMs: number;
    /** Other hosts that have sent messages with this revision, at most {@link MinConfirmingHosts}. */
    readonly senders: readonly string[];
    readonly isSentByOwn: boolean;
}

/** Keeps the last message about each cold upstream. */
export class ColdBroadcast {
    readonly #cold: ColdLimits;
    readonly #clock: Clock;
    readonly #phase: number;
    readonly #lastMessages = new Map<string, LastMessage>();

    /** @param phase Part of the spread by which this host sends later than others, 0 to 1. */
    constructor(cold: ColdLimits, clock: Clock, phase: number) {
        this.#cold = cold;
        this.#clock = clock;
        this.#phase = phase;
    }

    /** @returns The statements that are sent now; they count as sent. */
    takeDue(): readonly ColdStatement[] {
        const nowMs = this.#clock.monotonicMs();
        const due = this.#cold.statements.filter(statement => this.#isDue(statement, nowMs));
        due.forEach(({ upstream, revision }) => this.#recordMessage(upstream.id, revision, undefined, nowMs));
        return due;
    }

    /** Applies what another host has sent. */
    receive(statement: Pick<ColdStatement, "upstream" | "coldLeftMs" | "revision">, sender: string): void {
        const { upstream, revision } = statement;
        this.#recordMessage(upstream.id, revision, sender, this.#clock.monotonicMs());
        this.#cold.recordStatement(statement);
    }

    #isDue({ upstream, revision, knownSinceMs, isFirstListed }: ColdStatement, nowMs: number): boolean {
        const last = this.#lastMessages.get(upstream.id);
        const isFirstDue = nowMs - knownSinceMs >= this.#phase * FirstSpreadMs;
        if (last === undefined || last.revision < revision) {
            return isFirstDue;
        }
        const isConfirmationDue = isFirstListed && !last.isSentByOwn && last.senders.length < MinConfirmingHosts;
        return (isConfirmationDue && isFirstDue) || nowMs - last.atMs >= RepeatMs + this.#phase * RepeatSpreadMs;
    }

    #recordMessage(id: UpstreamStart["id"], revision: number, sender: string | undefined, nowMs: number): void {
        const last = this.#lastMessages.get(id);
        if (last !== undefined && last.revision > revision) {
            return;
        }
        const known = last?.revision === revision ? last : undefined;
        const senders = [...new Set([...known?.senders ?? [], ...sender === undefined ? [] : [sender]])];
        const message = {
            revision,
            atMs: nowMs,
            senders: senders.slice(0, MinConfirmingHosts),
            isSentByOwn: sender === undefined || known?.isSentByOwn === true,
        };
        setBounded(this.#lastMessages, id, message, MaxLastMessages, () => false);
    }
}
