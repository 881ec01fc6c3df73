/** One budget of the current host incarnation: numbers, waiting reservations and the share in the store. */
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

/** A reservation that waits for tokens. */
export interface WaitingReservation {
    readonly reservationId: string;
    readonly costTokens: number;
    readonly enqueuedAtMs: number;
    readonly deadlineAtMs: number;
}

/** What an account needs to know of the host. */
export interface HostView {
    readonly nowMs: number;
    readonly liveHostCount: number;
    /** Whether this host holds a share of this budget without demand. */
    readonly isHome: boolean;
    /** L that may be spent, and the highest one that the stored record may hold. */
    readonly limitTokens: number;
    readonly highestLimitTokens: number;
}

/** A draw without a waiting request is at least this part of a host's even share of the paid tokens. */
const SmallestDrawParts = 50;

/** Time for which the limit is raised after a peer asked for more than it covers. */
const PeerNeedMs = 2_000;

/** One budget of one host incarnation. */
export class BudgetAccount {
    readonly name: string;
    readonly entry: BudgetEntry = createBudgetEntry();
    readonly writer: ShareWriter;
    readonly waiting: WaitingReservation[] = [];
    readonly #settings: BudgetSettings;
    readonly #policy: SharePolicy;
    readonly #demand: DemandAverage;
    readonly #largest: SlidingWindowMaximum;
    #lastDemandMs: number;
    #peerNeed = { tokens: 0, untilMs: Number.NEGATIVE_INFINITY };
    #exhausted = { costTokens: Number.POSITIVE_INFINITY, untilMs: Number.NEGATIVE_INFINITY };

    constructor(name: string, settings: BudgetSettings, policy: SharePolicy, writer: ShareWriter, nowMs: number) {
        this.name = name;
        this.writer = writer;
        this.#settings = settings;
        this.#policy = policy;
        this.#demand = new DemandAverage(settings.demandWindowMs, nowMs);
        this.#largest = new SlidingWindowMaximum(settings.largestCostWindowMs, nowMs);
        this.#lastDemandMs = nowMs;
    }

    /** @returns Tokens that may be reserved or given now: L + I - S - R - O. */
    availableTokens(limitTokens: number): number {
        return limitTokens - usedTokens(this.entry);
    }

    /** @returns Sum of the costs of the waiting reservations. */
    get waitingTokens(): number {
        return this.waiting.reduce((sum, item) => sum + item.costTokens, 0);
    }

    /** Records that a request wants tokens. */
    recordDemand(costTokens: number, nowMs: number): void {
        this.#demand.add(costTokens, nowMs);
        this.#largest.add(costTokens, nowMs);
        this.#lastDemandMs = nowMs;
    }

    /** Records that a peer wants tokens that the limit does not cover. */
    recordPeerNeed(tokens: number, nowMs: number): void {
        this.#peerNeed = { tokens, untilMs: nowMs + PeerNeedMs };
    }

    /**
     * Whether a peer's waiting request may have this host's spare tokens. A present request comes before future ones,
     * so only own waiting requests keep tokens. When both hosts wait and neither can go on alone, an order of the hosts
     * decides; otherwise both would keep a part and be refused.
     */
    canGive(receiver: string, giver: string): boolean {
        if (this.waiting.length === 0) {
            return true;
        }
        const unused = this.entry.grantedTokens - usedTokens(this.entry);
        const canGoOn = this.waiting.some(item => item.costTokens <= unused);
        return !canGoOn && hash32(`${this.name}|${receiver}`) > hash32(`${this.name}|${giver}`);
    }

    /** Remembers that a cost could not be covered by anybody. */
    recordExhaustion(costTokens: number, nowMs: number): void {
        this.#exhausted = { costTokens, untilMs: nowMs + this.#settings.exhaustedMemoryMs };
    }

    /** @returns Whether a cost was found to exceed the budget a moment ago. */
    wasRecentlyExhausted(costTokens: number, nowMs: number): boolean {
        return nowMs < this.#exhausted.untilMs && costTokens >= this.#exhausted.costTokens;
    }

    /** @returns Whether a peer waits for a higher limit. */
    hasPeerNeed(nowMs: number): boolean {
        return nowMs < this.#peerNeed.untilMs;
    }

    /** Recomputes the derived numbers of the entry. */
    updateEntry(host: HostView): void {
        const { nowMs } = host;
        this.entry.grantedTokens = this.writer.grantedTokens;
        this.entry.demandTokensPerS = this.#demand.tokensPerS(nowMs);
        this.entry.largestCostTokens = this.#largest.maximum(nowMs);
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

    /** @returns Tokens that the waiting reservations need beyond the own share. */
    computeMissingTokens(): number {
        const unused = this.entry.grantedTokens - usedTokens(this.entry);
        return this.waiting.length === 0 ? 0 : Math.max(0, this.waitingTokens - unused);
    }

    /**
     * Decides the share from the newest object.
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
            minimumTokens: this.#smallestDraw(object.paidTokens, host.liveHostCount),
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

    /** @returns Whether received tokens could not be returned: a fold needs a share, if only of 0 tokens. */
    get hasUnreturnableTokens(): boolean {
        return this.entry.receivedTokens > 0 && !this.writer.hasShare;
    }

    /** @returns Whether a draw would be wanted if the object allowed it. */
    needsDraw(host: HostView): boolean {
        return this.computeMissingTokens() > 0 || this.hasUnreturnableTokens ||
            (host.isHome && !this.writer.hasShare) ||
            this.entry.demandTokensPerS * this.#settings.drawHorizonMs / 2_000 >
                this.entry.grantedTokens - usedTokens(this.entry);
    }

    /** @returns Whether nothing was asked of this budget for the idle time. */
    isIdle(nowMs: number): boolean {
        return this.waiting.length === 0 && nowMs - this.#lastDemandMs >= this.#settings.idleReturnMs;
    }

    get #standingShare(): number {
        return this.#isGrant ? this.#settings.standingShareUses : this.#settings.standingShareTokens;
    }

    /** A grant's single use is worth a draw; tokens are left to those that need them when few are free. */
    #smallestDraw(paidTokens: number, liveHostCount: number): number {
        const part = Math.ceil(paidTokens / (SmallestDrawParts * liveHostCount));
        return this.#isGrant ? 1 : Math.max(1, part, this.entry.largestCostTokens);
    }

    get #isGrant(): boolean {
        return this.name.startsWith("grant/");
    }

    #planReturn(input: DrawInput, host: HostView): number | undefined {
        if (!this.isIdle(host.nowMs)) {
            return undefined;
        }
        const declared = Math.max(host.highestLimitTokens, this.entry.wantedLimitTokens);
        const granted = Math.max(0, usedTokens(this.entry) + computeTargetUnusedTokens(input), declared);
        // Half of the unused tokens at least: a return is a store write.
        return this.entry.grantedTokens - granted >= Math.max(1, input.unusedTokens / 2) ? granted : undefined;
    }
}
