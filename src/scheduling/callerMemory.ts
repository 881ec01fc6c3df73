/** The account of the memory that callers make a process hold, on all its listeners. */
import type { Clock } from "../base/clock.js";

/**
 * How much higher the cost of a holder must be than that of the one which needs its memory. Between holders that are alike the one that
 * came first stays, so that uploads which compete for memory complete instead of evicting each other.
 */
const EvictionRatio = 2;

/** Age and time without progress up to which only the size of a holder counts, in milliseconds. */
const MinAgeMs = 1_000;

/** Used fraction of the account from which it is under pressure. */
const PressureFraction = 0.75;

/** Memory held for one caller: a connection, or the body of one request. */
export interface MemoryHolder {
    /** Bytes that are held now. */
    readonly heldBytes: number;
    /** Monotonic time of the latest progress, in milliseconds. */
    readonly progressAtMs: number;
    /** Whether the holder has been evicted or closed; it holds nothing then, and takes nothing. */
    readonly isClosed: boolean;
}

/** State of a holder. */
interface HolderState extends MemoryHolder {
    heldBytes: number;
    /** Bytes that the holder may hold at its end. */
    readonly expectedBytes: number;
    readonly openedAtMs: number;
    progressAtMs: number;
    isClosed: boolean;
    /** Ends the request or connection; `undefined` for one that must not be evicted. */
    evict: (() => void) | undefined;
}

/**
 * Bounds the bytes of all holders together. When it is full, the holder that holds most and has delivered least is evicted, unless that
 * is the one which asks. All decisions take time in proportion to the number of holders, and only when the account is full.
 */
export class CallerMemory {
    readonly #maxBytes: number;
    readonly #clock: Clock;
    readonly #holders = new Map<MemoryHolder, HolderState>();
    #heldBytes = 0;
    #evictedCount = 0;

    /** @param maxBytes Maximum of all holders together, in bytes; infinite when the memory is unknown. */
    constructor(maxBytes: number, clock: Clock) {
        this.#maxBytes = maxBytes;
        this.#clock = clock;
    }

    /** @returns Bytes that all holders hold. */
    get heldBytes(): number {
        return this.#heldBytes;
    }

    /** @returns Bytes that can still be taken without an eviction; not below 0. */
    get availableBytes(): number {
        return Math.max(0, this.#maxBytes - this.#heldBytes);
    }

    /** @returns Number of holders evicted so far. */
    get evictedCount(): number {
        return this.#evictedCount;
    }

    /** @returns Whether so much is held that holders without progress should be ended. */
    get isUnderPressure(): boolean {
        return this.#heldBytes > this.#maxBytes * PressureFraction;
    }

    /**
     * Adds a holder, which holds nothing yet.
     * @param evict Called once if the holder is evicted, after its bytes have been released: frees the memory and ends the request, which
     * has not run, or the connection. Must not throw. `undefined` for a holder that is never evicted.
     * @param expectedBytes Bytes that the holder may hold at its end: the announced length of a body or, without one, the maximum.
     */
    open(evict?: () => void, expectedBytes = 0): MemoryHolder {
        const nowMs = this.#clock.monotonicMs();
        const holder: HolderState = {
            heldBytes: 0,
            expectedBytes,
            openedAtMs: nowMs,
            progressAtMs: nowMs,
            isClosed: false,
            evict,
        };
        this.#holders.set(holder, holder);
        return holder;
    }

    /**
     * Takes bytes before they are allocated, and evicts others for them where that is fair.
     * @returns Whether they are held now. If not, the holder is the one to refuse.
     */
    tryTake(holder: MemoryHolder, bytes: number): boolean {
        const state = this.#holders.get(holder);
        if (state === undefined) {
            return false;
        }
        if (bytes > this.availableBytes && !this.#makeRoom(state, bytes)) {
            return false;
        }
        state.heldBytes += bytes;
        this.#heldBytes += bytes;
        return true;
    }

    /** @returns Whether a new holder could take that many bytes, after the evictions that this needs; evicts nothing. */
    canTake(bytes: number): boolean {
        const nowMs = this.#clock.monotonicMs();
        const victims = this.#findVictims(undefined, bytes * MinAgeMs, nowMs);
        return bytes <= victims.reduce((sum, { heldBytes }) => sum + heldBytes, this.availableBytes);
    }

    /** Counts bytes that are held already and cannot be refused, such as those of a response; may exceed the maximum. */
    take(holder: MemoryHolder, bytes: number): void {
        const state = this.#holders.get(holder);
        if (state !== undefined) {
            state.heldBytes += bytes;
            this.#heldBytes += bytes;
        }
    }

    /** Gives bytes back, by default all; not more than the holder holds. */
    release(holder: MemoryHolder, bytes = holder.heldBytes): void {
        const state = this.#holders.get(holder);
        if (state !== undefined) {
            const released = Math.min(bytes, state.heldBytes);
            state.heldBytes -= released;
            this.#heldBytes -= released;
        }
    }

    /** Records that the caller has delivered or read something. */
    recordProgress(holder: MemoryHolder): void {
        const state = this.#holders.get(holder);
        if (state !== undefined) {
            state.progressAtMs = this.#clock.monotonicMs();
        }
    }

    /** Excludes a holder from eviction, as its body is complete and its request may run. */
    protect(holder: MemoryHolder): void {
        const state = this.#holders.get(holder);
        if (state !== undefined) {
            state.evict = undefined;
        }
    }

    /** Removes a holder and gives its bytes back; later calls for it have no effect. */
    close(holder: MemoryHolder): void {
        const state = this.#holders.get(holder);
        if (state !== undefined) {
            this.release(holder);
            state.isClosed = true;
            this.#holders.delete(holder);
        }
    }

    /**
     * Evicts the holders without progress; called periodically.
     * @param pressureStallMs Time without progress while the account is under pressure, in milliseconds.
     * @param maxStallMs Time without progress at any load, in milliseconds; by default without limit.
     */
    evictStalled(pressureStallMs: number, maxStallMs = Number.POSITIVE_INFINITY): void {
        const nowMs = this.#clock.monotonicMs();
        const sinceMs = nowMs - (this.isUnderPressure ? Math.min(pressureStallMs, maxStallMs) : maxStallMs);
        if (sinceMs < 0) {
            return;
        }
        for (const state of [...this.#holders.values()]) {
            if (state.evict !== undefined && state.heldBytes > 0 && state.progressAtMs <= sinceMs) {
                this.#evict(state);
            }
        }
    }

    /** Evicts nothing unless enough can be freed. */
    #makeRoom(asker: HolderState, bytes: number): boolean {
        const nowMs = this.#clock.monotonicMs();
        const victims = this.#findVictims(asker, costOf(asker, asker.heldBytes + bytes, nowMs), nowMs);
        const freeable = victims.reduce((sum, { heldBytes }) => sum + heldBytes, this.availableBytes);
        if (bytes > freeable) {
            return false;
        }
        for (const victim of victims) {
            if (bytes <= this.availableBytes) {
                break;
            }
            this.#evict(victim);
        }
        return bytes <= this.availableBytes;
    }

    /** @returns Holders that cost enough more than the asker; first those that have held most for longest. */
    #findVictims(asker: HolderState | undefined, askerCost: number, nowMs: number): HolderState[] {
        return [...this.#holders.values()]
            .filter(state => state !== asker && state.evict !== undefined && state.heldBytes > 0)
            .filter(state => costOf(state, state.heldBytes, nowMs) >= askerCost * EvictionRatio)
            .map(state => ({ state, heldByteMs: state.heldBytes * weightMs(state, nowMs) }))
            .sort((first, second) => second.heldByteMs - first.heldByteMs)
            .map(({ state }) => state);
    }

    #evict(state: HolderState): void {
        const { evict } = state;
        this.close(state);
        this.#evictedCount++;
        evict?.();
    }
}

/**
 * @returns Cost of a holder: bytes held, or expected if these are more, multiplied by its time. A body without an announced length counts
 * with the maximum, as it may still take that.
 */
function costOf(state: HolderState, heldBytes: number, nowMs: number): number {
    return Math.max(heldBytes, state.expectedBytes) * weightMs(state, nowMs);
}

/**
 * @returns Age of a holder, or four times its time without progress if that is longer, in milliseconds. The bytes held of a body are those
 * delivered, so that at equal size the one that delivered fewer bytes per second costs more.
 */
function weightMs(state: HolderState, nowMs: number): number {
    return Math.max(MinAgeMs, nowMs - state.openedAtMs, 4 * (nowMs - state.progressAtMs));
}
