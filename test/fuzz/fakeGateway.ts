/** Stand-in for the gateway and the upstreams: runs requests and counts executions and tokens. */
import type { Notification } from "../../src/kernel/effects.js";
import type { HostProcess } from "./hostProcess.js";
import type { Scheduler } from "./scheduler.js";

/** A request to run. */
export interface RequestPlan {
    readonly budget: string;
    readonly costTokens: number;
    /** Tokens that the upstream produces; up to the cost, or more to test excess usage. */
    readonly usedTokens: number;
    readonly durationMs: number;
}

/** State and accounting of a request. */
export interface RequestRecord extends RequestPlan {
    readonly requestId: string;
    readonly process: HostProcess;
    state: "waiting" | "refused" | "running" | "ended";
    executions: number;
    /** Tokens that the upstream has produced. */
    spentTokens: number;
    /** Whether the response was interrupted; the delivered tokens are billed. */
    cut: boolean;
    /** Whether the gateway saw the end, so that a bill is required. */
    settled: boolean;
    refusedCode: string | undefined;
    /** Whether the budget could have covered the request when it was refused. */
    falselyRefused: boolean;
    /** Whether the bill was cancelled because another request with the same key holds the claim. */
    reversed: boolean;
}

/** @returns Tokens of an ended request that its team pays for. */
export function billedTokensOf(request: RequestRecord): number {
    return request.reversed ? 0 : request.spentTokens;
}

/** Maximum wait for a reservation that the gateway requests. */
const ReservationWaitMs = 2_000;

/** Starts the requests of all hosts, runs them in simulated time and reports their ends to the hosts. */
export class FakeGateway {
    readonly requests = new Map<string, RequestRecord>();
    readonly #scheduler: Scheduler;
    /** Whether a budget has enough tokens for a cost that are neither spent, reserved nor at risk. */
    readonly #isCovered: (budget: string, costTokens: number) => boolean;
    #lastId = 0;

    constructor(scheduler: Scheduler, isCovered: (budget: string, costTokens: number) => boolean) {
        this.#scheduler = scheduler;
        this.#isCovered = isCovered;
    }

    /** Starts a request at a host. */
    start(process: HostProcess, plan: RequestPlan, requestId = this.nextRequestId()): RequestRecord {
        const request: RequestRecord = {
            ...plan,
            requestId,
            process,
            state: "waiting",
            executions: 0,
            spentTokens: 0,
            cut: false,
            settled: false,
            refusedCode: undefined,
            falselyRefused: false,
            reversed: false,
        };
        this.requests.set(requestId, request);
        process.post({
            type: "reservationRequested",
            reservationId: requestId,
            budget: plan.budget,
            costTokens: plan.costTokens,
            waitMs: ReservationWaitMs,
        });
        return request;
    }

    /** @returns An id that no request has. */
    protected nextRequestId(): string {
        return `r${++this.#lastId}`;
    }

    /** Runs or refuses a request as a host's reservation decision says. */
    handleNotification(notification: Notification): void {
        if (notification.type !== "reservationDecided") {
            return;
        }
        const request = this.requests.get(notification.reservationId)!;
        if (notification.outcome.status === "refused") {
            request.state = "refused";
            request.refusedCode = notification.outcome.code;
            request.falselyRefused = this.#isCovered(request.budget, request.costTokens);
            return;
        }
        request.state = "running";
        this.#scheduler.after(0, () => request.process.perform(() => this.dispatch(request)));
    }

    /** Sends a request to its upstream. */
    protected dispatch(request: RequestRecord): void {
        request.executions++;
        const startMs = this.#scheduler.nowMs;
        const finish = (): void => {
            if (request.state !== "running") {
                return;
            }
            const elapsedRatio = Math.min(1, (this.#scheduler.nowMs - startMs) / Math.max(1, request.durationMs));
            request.spentTokens = request.cut ? Math.floor(request.usedTokens * elapsedRatio) : request.usedTokens;
            request.state = "ended";
            request.process.perform(() => this.settle(request));
        };
        this.#scheduler.after(request.durationMs, finish);
        this.interruptions.set(request.requestId, () => {
            request.cut ||= request.state === "running";
            finish();
        });
    }

    /** @returns Identity of the request on its bill. */
    protected billIdOf(request: RequestRecord): string {
        return request.requestId;
    }

    /** Reports the end of a request to its host. */
    protected settle(request: RequestRecord): void {
        request.settled = true;
        request.process.post({
            type: "reservationSettled",
            reservationId: request.requestId,
            bill: {
                requestId: request.requestId,
                billId: this.billIdOf(request),
                team: "team",
                budget: request.budget,
                model: "model",
                promptTokens: 0,
                outputTokens: request.spentTokens,
                tokens: request.spentTokens,
                requestKind: "chat",
                upstream: "upstream",
                outcome: request.cut ? "cut" : "complete",
            },
        });
    }

    /** Functions that interrupt running requests, by request id. */
    readonly interruptions = new Map<string, () => void>();
}
