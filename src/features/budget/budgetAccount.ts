/** State of one budget on the current host incarnation: token counts, waiting reservations and the share in the store. */
import { hash32 } from "../../base/hashing.js";
import { type BudgetEntry, createBudgetEntry, usedTokens } from "./budgetBoard.js";
import {
    computeTargetUnusedTokens,
    DemandAverage,
    type DrawInput,
    type SharePolicy,
    SlidingWindowMaximum,
} from "./budgetMath.js";
import type { BudgetSettings } from "./budgetSettings.js";
import { type BudgetObject, unallocatedTokens } from "./budgetTypes.js";
import type { ShareWriter } from "./shareWriter.js";

/** A reservation that waits for tokens. Times are monotonic, in milliseconds. */
export interface WaitingReservation {
    readonly reservationId: string;
    readonly costTokens: number;
    readonly enqueuedAtMs: number;
    readonly deadlineAtMs: number;
}

/** State of the host that an account needs for its decisions. */
export interface HostView {
    /** Current monotonic time in milliseconds. */
    readonly nowMs: number;
    /** Live hosts, this one included. */
    readonly liveHostCount: number;
    /** Whether this host holds a share of this budget even without demand. */
    readonly isHome: boolean;
    /** L: acknowledged limit, up to which tokens may be spent. */
    readonly limitTokens: number;
    /** Highest limit that the stored host record may hold. */
    readonly highestLimitTokens: number;
}

/** When no request waits, a draw is at least a host's even share of the paid tokens divided by this number. */
const MinDrawDivisor = 50;

/** Time for which the limit is raised after a peer requested more tokens than it covers. */
const PeerNeedDurationMs = 2_000;

/** Plans the share, the limit and the transfers of one budget on one host incarnation. */
export class BudgetAccount {
    readonly name: string;
    readonly entry: BudgetEntry = createBudgetEntry();
    readonly writer: ShareWriter;
    readonly waiting: WaitingReservation[] = [];
    readonly #settings: BudgetSettings;
    readonly #policy: SharePolicy;
    readonly #demand: DemandAverage;
    readonly #largestCost: SlidingWindowMaximum;
    #lastDemandAtMs: number;
    #peerNeed = { tokens: 0, untilMs: Number.NEGATIVE_INFINITY };
    #exhaustion = { costTokens: Number.POSITIVE_INFINITY, untilMs: Number.NEGATIVE_INFINITY };

    constructor(name: string, settings: BudgetSettings, policy: SharePolicy, writer: ShareWriter, nowMs: number) {
        this.name = name;
        this.writer = writer;
        this.#settings = settings;
        this.#policy = policy;
        this.#demand = new DemandAverage(settings.demandWindowMs, nowMs);
        this.#largestCost = new SlidingWindowMaximum(settings.largestCostWindowMs, nowMs);
        this.#lastDemandAtMs = nowMs;
    }

    /** @returns Tokens that may be reserved or given now: L + I - S - R - O. */
    availableTokens(limitTokens: number): number {
        return limitTokens - usedTokens(this.entry);
    }

    /** @returns Sum of the costs of all waiting reservations. */
    get waitingTokens(): number {
        return this.waiting.reduce((sum, reservation) => sum + reservation.costTokens, 0);
    }

    /** Records that a request needs tokens. */
    recordDemand(costTokens: number, nowMs: number): void {
        this.#demand.add(costTokens, nowMs);
        this.#largestCost.add(costTokens, nowMs);
        this.#lastDemandAtMs = nowMs;
    }

    /** Records that a peer needs tokens that the limit does not cover. */
    recordPeerNeed(tokens: number, nowMs: number): void {
        this.#peerNeed = { tokens, untilMs: nowMs + PeerNeedDurationMs };
    }

    /**
     * Decides whether this host may give its available tokens to a peer whose requests wait. Waiting requests take
     * precedence over future ones, so this host keeps tokens only for its own waiting requests. When requests wait on both
     * hosts and neither host can serve one alone, a hash of the host keys decides which host gives; otherwise both would
     * keep too few tokens and refuse their requests.
     */
    canGive(receiver: string, giver: string): boolean {
        if (this.waiting.length === 0) {
            return true;
        }
        const unused = this.entry.grantedTokens - usedTokens(this.entry);
        const canProceed = this.waiting.some(reservation => reservation.costTokens <= unused);
        return !canProceed && hash32(`${this.name}|${receiver}`) > hash32(`${this.name}|${giver}`);
    }

    /** Remembers that no host could cover a cost. */
    recordExhaustion(costTokens: number, nowMs: number): void {
        this.#exhaustion = { costTokens, untilMs: nowMs + this.#settings.exhaustedMemoryMs };
    }

    /** @returns Whether the budget was recently found to be unable to cover a cost of this size. */
    wasRecentlyExhausted(costTokens: number, nowMs: number): boolean {
        return nowMs < this.#exhaustion.untilMs && costTokens >= this.#exhaustion.costTokens;
    }

    /** @returns Whether a peer needs a higher limit. */
    hasPeerNeed(nowMs: number): boolean {
        return nowMs < this.#peerNeed.untilMs;
    }

    /** Recomputes the derived fields of the entry: granted tokens, demand, largest cost and the limit to declare. */
    updateEntry(host: HostView): void {
        const { nowMs } = host;
        this.entry.grantedTokens = this.writer.grantedTokens;
        this.entry.demandTokensPerS = this.#demand.tokensPerS(nowMs);
        this.entry.largestCostTokens = this.#largestCost.maximum(nowMs);
        this.entry.wantedLimitTokens = this.#policy.computeSpendingLimit({
            usedTokens: usedTokens(this.entry),
            grantedTokens: this.entry.grantedTokens,
            largestCostTokens: this.entry.largestCostTokens,
            demandTokensPerS: this.entry.demandTokensPerS,
            horizonMs: this.#settings.limitHorizonMs,
            standingTokens: this.#isGrant ? this.#settings.standingLimitUses : this.#settings.standingLimitTokens,
            neededTokens: this.waitingTokens + (this.hasPeerNeed(nowMs) ? this.#peerNeed.tokens : 0),
        });
    }

    /** @returns Tokens that the waiting reservations need beyond the host's own share. */
    computeMissingTokens(): number {
        const unused = this.entry.grantedTokens - usedTokens(this.entry);
        return this.waiting.length === 0 ? 0 : Math.max(0, this.waitingTokens - unused);
    }

    /**
     * Plans the next share from the newest known object: a draw, a return or no change.
     * @param mayDraw Whether a draw is allowed now; a return always is.
     * @returns The granted amount to write, or `undefined` for no write.
     */
    planShare(object: BudgetObject, host: HostView, mayDraw: boolean): number | undefined {
        const neededTokens = this.computeMissingTokens();
        const input: DrawInput = {
            demandTokensPerS: this.entry.demandTokensPerS,
            horizonMs: this.#settings.drawHorizonMs,
            largestCostTokens: this.entry.largestCostTokens,
            standingTokens: host.isHome ? this.#standingShare : 0,
            minimumTokens: this.#computeMinDraw(object.paidTokens, host.liveHostCount),
            unusedTokens: this.entry.grantedTokens - usedTokens(this.entry),
            unallocatedTokens: Math.max(0, unallocatedTokens(object)),
            liveHostCount: host.liveHostCount,
            neededTokens,
        };
        const size = mayDraw ? this.#policy.computeDrawSize(input) : 0;
        if (size > 0) {
            return this.entry.grantedTokens + size;
        }
        if (!this.writer.hasShare && (neededTokens > 0 || this.entry.receivedTokens > 0)) {
            return 0;
        }
        return this.#planReturn(input, host);
    }

    /**
     * @returns Whether this host has received tokens but has no share in the budget object. Such tokens could not be returned,
     * because a fold needs a share, even one of 0 tokens.
     */
    get hasUnreturnableTokens(): boolean {
        return this.entry.receivedTokens > 0 && !this.writer.hasShare;
    }

    /** @returns Whether the host needs a draw, regardless of whether tokens are unallocated. */
    needsDraw(host: HostView): boolean {
        return this.computeMissingTokens() > 0 || this.hasUnreturnableTokens ||
            (host.isHome && !this.writer.hasShare) ||
            this.entry.demandTokensPerS * this.#settings.drawHorizonMs / 2_000 >
                this.entry.grantedTokens - usedTokens(this.entry);
    }

    /** @returns Whether no reservation was requested for the idle time and none waits. */
    isIdle(nowMs: number): boolean {
        return this.waiting.length === 0 && nowMs - this.#lastDemandAtMs >= this.#settings.idleReturnMs;
    }

    get #standingShare(): number {
        return this.#isGrant ? this.#settings.standingShareUses : this.#settings.standingShareTokens;
    }

    /**
     * Computes the minimum draw when no request waits. A single use of a grant is worth a draw. For tokens the minimum is
     * larger, so that the last unallocated tokens are left to hosts that need them.
     */
    #computeMinDraw(paidTokens: number, liveHostCount: number): number {
        const fractionTokens = Math.ceil(paidTokens / (MinDrawDivisor * liveHostCount));
        return this.#isGrant ? 1 : Math.max(1, fractionTokens, this.entry.largestCostTokens);
    }

    get #isGrant(): boolean {
        return this.name.startsWith("grant/");
    }

    #planReturn(input: DrawInput, host: HostView): number | undefined {
        if (!this.isIdle(host.nowMs)) {
            return undefined;
        }
        const declaredTokens = Math.max(host.highestLimitTokens, this.entry.wantedLimitTokens);
        const keptTokens = Math.max(0, usedTokens(this.entry) + computeTargetUnusedTokens(input), declaredTokens);
        // Returns at least half of the unused tokens, because each return costs a store write.
        return this.entry.grantedTokens - keptTokens >= Math.max(1, input.unusedTokens / 2) ? keptTokens : undefined;
    }
}
