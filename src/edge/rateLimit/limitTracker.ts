/** Limits on the rate of requests that upstreams state in their responses, as this host knows them. */
import { setBounded } from "../../base/boundedMap.js";
import type { Clock } from "../../base/clock.js";
import { log } from "../../base/log.js";
import type { StatedLimit, UpstreamEntry } from "../edgeTypes.js";

/** Identity of one incarnation of an upstream. A new incarnation starts without a limit. */
export type UpstreamIdentity = Pick<UpstreamEntry, "id" | "startedAtMs">;

/** A statement about the limit of an upstream, by the monotonic clock of this host. */
export interface LimitStatement {
    readonly upstream: UpstreamIdentity;
    /** Requests per second from all hosts together; `undefined` when the upstream has no limit any more. */
    readonly requestsPerS: number | undefined;
    /**
     * Time from which the statement holds, in milliseconds: the arrival of the response with a limit, or the time at which a request
     * was written whose response had none.
     */
    readonly atMs: number;
}

/** Maximum number of incarnations with a known limit; far more than there are upstreams at the same time. */
const MaxKnownLimits = 2_000;

/** Maximum number of incarnations whose unreadable limits are remembered, so that each is logged once. */
const MaxUnreadableLimits = 100;

/**
 * Minimum rate of requests to an upstream that takes fewer or none, in requests per second: only its responses tell when the limit ends.
 */
const MinRequestsPerS = 0.1;

/**
 * Time without a statement after which a limit lapses, in milliseconds, and as a number of requests that the limit allows. The end
 * of a limit may have been stated while this host was cut off.
 */
const LapseMs = 15_000;
const LapseRequests = 10;

const MsPerS = 1_000;

/** Tracks the latest statement about each upstream. */
export class LimitTracker {
    readonly #clock: Clock;
    readonly #statements = new Map<string, LimitStatement>();
    readonly #unreadableTexts = new Map<string, string>();

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /** @returns Whether no upstream has stated a limit yet. */
    get isEmpty(): boolean {
        return this.#statements.size === 0;
    }

    /** @returns Requests per second that the upstream takes from all hosts; `undefined` when it has no limit. */
    limitOf(upstream: UpstreamIdentity): number | undefined {
        if (this.isEmpty) {
            return undefined;
        }
        const statement = this.#statements.get(identityKey(upstream));
        if (statement?.requestsPerS === undefined) {
            return undefined;
        }
        const requestsPerS = Math.max(MinRequestsPerS, statement.requestsPerS);
        const lapseMs = Math.max(LapseMs, LapseRequests * MsPerS / requestsPerS);
        return this.#clock.monotonicMs() - statement.atMs > lapseMs ? undefined : requestsPerS;
    }

    /**
     * Records what a response to this host states. An unreadable limit leaves the known one in force.
     * @param writtenAtMs Monotonic time at which the request was written, in milliseconds.
     * @returns Whether the upstream begins, changes or ends its limit.
     */
    recordResponse(upstream: UpstreamIdentity, stated: StatedLimit, writtenAtMs: number): boolean {
        if (stated.kind === "unreadable") {
            this.#logUnreadable(upstream, stated.text);
            return false;
        }
        if (stated.kind === "none" && this.isEmpty) {
            return false;
        }
        const requestsPerS = stated.kind === "rate" ? stated.requestsPerS : undefined;
        const atMs = requestsPerS === undefined ? writtenAtMs : this.#clock.monotonicMs();
        return this.record({ upstream, requestsPerS, atMs }, "response");
    }

    /**
     * Records a statement, unless a later one is known. A statement that a limit has ended counts only if its request was written after
     * the limit was last stated, as an earlier response may arrive late.
     * @param source Where the statement comes from, for the log.
     * @returns Whether the upstream begins, changes or ends its limit.
     */
    record(statement: LimitStatement, source: string): boolean {
        const { upstream, requestsPerS, atMs } = statement;
        const key = identityKey(upstream);
        const previous = this.#statements.get(key);
        const isOutdated = previous === undefined ? requestsPerS === undefined : atMs < previous.atMs;
        const isEnd = requestsPerS === undefined;
        if (isOutdated || (isEnd && (previous?.requestsPerS === undefined || atMs === previous.atMs))) {
            return false;
        }
        setBounded(this.#statements, key, statement, MaxKnownLimits, () => false);
        const hasChanged = previous?.requestsPerS !== requestsPerS;
        if (hasChanged) {
            log.info(isEnd ? "upstream ends its limit" : "upstream limits its requests", {
                upstream: upstream.id,
                requestsPerS,
                previousPerS: previous?.requestsPerS,
                ageMs: Math.round(this.#clock.monotonicMs() - atMs),
                source,
            });
        }
        return hasChanged;
    }

    /** @returns The latest statement about an upstream. */
    statementAbout(upstream: UpstreamIdentity): LimitStatement | undefined {
        return this.#statements.get(identityKey(upstream));
    }

    /** @returns Whether a statement about the upstream with a key is known; see {@link identityKey}. */
    isKnown(key: string): boolean {
        return this.#statements.has(key);
    }

    /** @returns The latest statements about upstreams that have a limit. */
    get activeStatements(): readonly LimitStatement[] {
        return [...this.#statements.values()].filter(({ upstream }) => this.limitOf(upstream) !== undefined);
    }

    #logUnreadable(upstream: UpstreamIdentity, text: string): void {
        const key = identityKey(upstream);
        if (this.#unreadableTexts.get(key) !== text) {
            setBounded(this.#unreadableTexts, key, text, MaxUnreadableLimits, () => false);
            log.warn("limit of upstream is unreadable", {
                upstream: upstream.id,
                text,
                limitPerS: this.limitOf(upstream),
            });
        }
    }
}

/** @returns Key of an incarnation, the same at all hosts. */
export function identityKey({ id, startedAtMs }: UpstreamIdentity): string {
    return `${startedAtMs}/${id}`;
}
