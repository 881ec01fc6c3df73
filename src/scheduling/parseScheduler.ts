/** The account of the processor time that connections take: parsing what they send, and starting requests, on all listeners of a process. */
import type { Clock } from "../base/clock.js";
import { ParseAccount } from "../base/parseAccount.js";

/**
 * Processor time of all connections together in a turn of the event loop, in milliseconds: of those that the poll finds readable, and of
 * those that wait. A turn accepts one connection, so that long turns delay new callers.
 */
const PollMs = 4;
const WaitingMs = 2;

/** Processor time of one connection in a turn, in milliseconds. */
const QuantumMs = 1;

/** Time in which the weight of processor time that has been used falls by half, in milliseconds. */
const HalfLifeMs = 1_000;

/** Time without contention after which a new one begins, in milliseconds. */
const ContentionGapMs = 250;

/** Interval between evictions during a contention, in milliseconds, and the fraction of the expensive connections that each one ends. */
const EvictionIntervalMs = 250;
const EvictionFraction = 0.25;

/**
 * How much cheaper than the most expensive request another one may be and still count as alike. Of requests that are alike the one that
 * began last is evicted, so that those which compete complete.
 */
const AlikeRatio = 2;

/**
 * Processor time for parsing a request that is not complete, in milliseconds, and per byte, from which its connection may be closed when
 * there are too many. Bodies of known length and in chunks of 1 KB take less per byte, and heads less in all.
 */
const MinClosableMs = 1;
const MinClosableNsPerByte = 20;

const NsPerMs = 1_000_000;

/** Limits of a {@link ParseScheduler}. */
export interface ParseLimits {
    /** Processor time for parsing one request, from which it is expensive, in milliseconds. */
    readonly expensiveParseMs: number;
    /** Time for which several expensive requests may compete before some are evicted, in milliseconds. */
    readonly maxParseContentionMs: number;
}

/** What a {@link ParseScheduler} does with a connection. */
export interface ParseClient {
    /**
     * Continues to parse and to start requests, at once or before the next tick of the process. Called after {@link ParseAccount.waitForTurn}.
     */
    resume(): void;
    /**
     * Ends the request that is being read, which has not run, or the connection.
     * @returns Whether it did; not if a request of the connection may run.
     */
    evict(): boolean;
}

/**
 * Decides when the bytes of each connection are parsed. Connections that have used least go first, so that a request whose parsing costs
 * much delays itself and not others; while there is no contention it gets all the time that is left. All decisions take time in
 * proportion to the number of connections with unparsed bytes.
 */
export class ParseScheduler {
    readonly #clock: Clock;
    readonly #limits: ParseLimits;
    readonly #waiting = new Set<ClientAccount>();
    #turn = 0;
    #usedMs = 0;
    #isTurnEndPlanned = false;
    #contendedSinceMs: number | undefined;
    #contendedAtMs = 0;
    #evictedAtMs = Number.NEGATIVE_INFINITY;
    #evictedCount = 0;

    /** @param clock Measures processor time too: parsing does not wait. */
    constructor(clock: Clock, limits: ParseLimits) {
        this.#clock = clock;
        this.#limits = limits;
    }

    /** @returns Number of connections that wait for their turn. */
    get waitingCount(): number {
        return this.#waiting.size;
    }

    /** @returns Number of requests and connections evicted so far. */
    get evictedCount(): number {
        return this.#evictedCount;
    }

    /** @returns The account of a new connection. */
    open(client: ParseClient): ParseAccount {
        return new ClientAccount(client, this.#clock, {
            mayParse: account => this.#usedMs < PollMs && account.usedMsInTurn(this.#turn) < QuantumMs,
            record: (account, elapsedMs) => this.#record(account, elapsedMs),
            wait: account => this.#wait(account),
            remove: account => this.#waiting.delete(account),
        });
    }

    #record(account: ClientAccount, elapsedMs: number): void {
        account.addUsed(this.#turn, elapsedMs);
        this.#usedMs += elapsedMs;
        // A turn of the scheduler may last several turns of the event loop while little is parsed.
        if (this.#usedMs >= QuantumMs) {
            this.#planTurnEnd();
        }
    }

    #wait(account: ClientAccount): void {
        this.#waiting.add(account);
        this.#planTurnEnd();
    }

    #planTurnEnd(): void {
        if (!this.#isTurnEndPlanned) {
            this.#isTurnEndPlanned = true;
            setImmediate(() => {
                this.#isTurnEndPlanned = false;
                this.#startTurn();
                const nowMs = this.#clock.monotonicMs();
                const order = [...this.#waiting]
                    .map(account => ({ account, recentMs: account.recentMs(nowMs) }))
                    .sort((first, second) => first.recentMs - second.recentMs)
                    .map(({ account }) => account);
                this.#resumeNext(order, 0);
            });
        }
    }

    #startTurn(): void {
        this.#turn++;
        this.#usedMs = 0;
    }

    /** Resumes the waiting connections one by one: each parses before the next tick. */
    #resumeNext(order: readonly ClientAccount[], index: number): void {
        const account = order[index];
        if (account === undefined || this.#usedMs >= WaitingMs) {
            this.#finishTurn();
            return;
        }
        if (this.#waiting.delete(account)) {
            account.client.resume();
        }
        process.nextTick(() => this.#resumeNext(order, index + 1));
    }

    #finishTurn(): void {
        // Connections that the next poll finds readable have a turn of their own.
        this.#startTurn();
        if (this.#waiting.size > 0) {
            this.#planTurnEnd();
        }
        this.#checkContention();
    }

    #checkContention(): void {
        const nowMs = this.#clock.monotonicMs();
        const { expensiveParseMs, maxParseContentionMs } = this.#limits;
        const expensive = [...this.#waiting].filter(account => account.requestMs >= expensiveParseMs);
        if (nowMs - this.#contendedAtMs >= ContentionGapMs) {
            this.#contendedSinceMs = undefined;
        }
        if (expensive.length < 2) {
            return;
        }
        this.#contendedAtMs = nowMs;
        this.#contendedSinceMs ??= nowMs;
        if (
            nowMs - this.#contendedSinceMs >= maxParseContentionMs && nowMs - this.#evictedAtMs >= EvictionIntervalMs
        ) {
            this.#evictedAtMs = nowMs;
            this.#evictSome(expensive);
        }
    }

    #evictSome(expensive: readonly ClientAccount[]): void {
        const mostMs = expensive.reduce((most, { requestMs }) => Math.max(most, requestMs), 0);
        let remaining = Math.ceil((expensive.length - 1) * EvictionFraction);
        const alike = expensive
            .filter(({ requestMs }) => requestMs * AlikeRatio >= mostMs)
            .sort((first, second) => second.requestBeganAtMs - first.requestBeganAtMs);
        for (const account of alike) {
            if (remaining <= 0) {
                return;
            }
            if (account.client.evict()) {
                this.#evictedCount++;
                remaining--;
            }
        }
    }
}

/**
 * @param canClose Returns whether a connection may be closed; called only for those that cost more than the ones before.
 * @returns The connection whose incomplete request has taken most time to parse, of those that take much for each byte; `undefined` if
 * there is none.
 */
export function findMostExpensive<T extends { readonly account: ParseAccount; }>(
    connections: Iterable<T>,
    canClose: (connection: T) => boolean,
): T | undefined {
    let most: T | undefined;
    for (const connection of connections) {
        const { requestMs, requestBytes } = connection.account;
        const isExpensive = requestMs >= (most?.account.requestMs ?? MinClosableMs) &&
            requestMs * NsPerMs >= requestBytes * MinClosableNsPerByte;
        if (isExpensive && canClose(connection)) {
            most = connection;
        }
    }
    return most;
}

/** What an account asks its scheduler. */
interface AccountScheduler {
    mayParse(account: ClientAccount): boolean;
    record(account: ClientAccount, elapsedMs: number): void;
    wait(account: ClientAccount): void;
    remove(account: ClientAccount): void;
}

/** Account of one connection. */
class ClientAccount extends ParseAccount {
    readonly client: ParseClient;
    readonly #clock: Clock;
    readonly #scheduler: AccountScheduler;
    #turn = -1;
    #turnMs = 0;
    #recentMs = 0;
    #recentAtMs = 0;
    #requestMs = 0;
    #requestBytes = 0;
    #requestBeganAtMs: number;

    constructor(client: ParseClient, clock: Clock, scheduler: AccountScheduler) {
        super();
        this.client = client;
        this.#clock = clock;
        this.#scheduler = scheduler;
        this.#requestBeganAtMs = clock.monotonicMs();
    }

    override get requestMs(): number {
        return this.#requestMs;
    }

    /** @returns Monotonic time at which the latest complete request ended, or the connection began, in milliseconds. */
    get requestBeganAtMs(): number {
        return this.#requestBeganAtMs;
    }

    override get mayParse(): boolean {
        return this.#scheduler.mayParse(this);
    }

    override get requestBytes(): number {
        return this.#requestBytes;
    }

    override measureParsing(bytes: number, parse: () => void): void {
        this.#measure(parse, elapsedMs => {
            this.#requestMs += elapsedMs;
            this.#requestBytes += bytes;
        });
    }

    override measureStart(start: () => void): void {
        this.#measure(start, () => undefined);
    }

    #measure(work: () => void, onMeasured: (elapsedMs: number) => void): void {
        const beganAtMs = this.#clock.monotonicMs();
        try {
            work();
        }
        finally {
            const elapsedMs = this.#clock.monotonicMs() - beganAtMs;
            onMeasured(elapsedMs);
            this.#scheduler.record(this, elapsedMs);
        }
    }

    override recordRequest(): void {
        this.#requestMs = 0;
        this.#requestBytes = 0;
        this.#requestBeganAtMs = this.#clock.monotonicMs();
    }

    override waitForTurn(): void {
        this.#scheduler.wait(this);
    }

    override close(): void {
        this.#scheduler.remove(this);
    }

    /** @returns Processor time used lately; earlier use counts less, in milliseconds. */
    recentMs(nowMs: number): number {
        return this.#recentMs * 0.5 ** ((nowMs - this.#recentAtMs) / HalfLifeMs);
    }

    /** @returns Processor time used in a turn, in milliseconds. */
    usedMsInTurn(turn: number): number {
        return this.#turn === turn ? this.#turnMs : 0;
    }

    /** Adds processor time that was used in a turn, in milliseconds. */
    addUsed(turn: number, elapsedMs: number): void {
        const nowMs = this.#clock.monotonicMs();
        this.#turnMs = this.usedMsInTurn(turn) + elapsedMs;
        this.#turn = turn;
        this.#recentMs = this.recentMs(nowMs) + elapsedMs;
        this.#recentAtMs = nowMs;
    }
}
