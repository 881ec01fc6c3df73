/** Accounts of the current host incarnation and their open store calls. */
import type { ControllerContext } from "../../kernel/controller.js";
import { BudgetAccount } from "./budgetAccount.js";
import type { SharePolicy } from "./budgetMath.js";
import type { BudgetSettings } from "./budgetSettings.js";
import { budgetKey } from "./budgetTypes.js";
import { ShareWriter } from "./shareWriter.js";

/** Holds the account of each budget and maps the results of store calls to accounts. */
export class AccountRegistry {
    readonly #context: ControllerContext;
    readonly #settings: BudgetSettings;
    readonly #policy: SharePolicy;
    readonly #accounts = new Map<string, BudgetAccount>();
    readonly #openCalls = new Map<string, BudgetAccount>();
    #lastCallId = 0;

    constructor(context: ControllerContext, settings: BudgetSettings, policy: SharePolicy) {
        this.#context = context;
        this.#settings = settings;
        this.#policy = policy;
    }

    /** @returns All accounts. */
    values(): BudgetAccount[] {
        return [...this.#accounts.values()];
    }

    /** @returns The account of a budget, or `undefined` when there is none. */
    find(budget: string): BudgetAccount | undefined {
        return this.#accounts.get(budget);
    }

    /** @returns The account of a budget; it is created when there is none. */
    getOrCreate(budget: string): BudgetAccount {
        const existing = this.#accounts.get(budget);
        if (existing !== undefined) {
            return existing;
        }
        const { board, clock, counters, emit } = this.#context;
        const registerCall = (): { owner: "budget"; callId: string; key: string; } => {
            const callId = `s${++this.#lastCallId}`;
            this.#openCalls.set(callId, account);
            return { owner: "budget", callId, key: budgetKey(budget) };
        };
        const writer = new ShareWriter(board.journal.hostKey, {
            readObject: () => emit({ type: "storeGet", ...registerCall() }),
            writeObject: (value, expectedVersion) =>
                emit({ type: "storePut", ...registerCall(), value, expectedVersion }),
            addToCounter: (name, amount) => counters.add(name, amount),
        }, this.#settings.storeRetryMs);
        const account = new BudgetAccount(budget, this.#settings, this.#policy, writer, clock.monotonicMs());
        this.#accounts.set(budget, account);
        board.budget.entries.set(budget, account.entry);
        return account;
    }

    /** Ends a store call. @returns Its account, or `undefined` when the host incarnation has changed since the call. */
    completeCall(callId: string): BudgetAccount | undefined {
        const account = this.#openCalls.get(callId);
        this.#openCalls.delete(callId);
        return account;
    }

    /** Removes all accounts and open calls, after the host incarnation was sealed. */
    clear(): void {
        this.#accounts.clear();
        this.#openCalls.clear();
        this.#context.board.budget.entries.clear();
    }
}
