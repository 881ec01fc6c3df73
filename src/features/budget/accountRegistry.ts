/** The accounts of the current host incarnation, and the store calls that are open for them. */
import type { ControllerContext } from "../../kernel/controller.js";
import { BudgetAccount } from "./budgetAccount.js";
import type { SharePolicy } from "./budgetMath.js";
import type { BudgetSettings } from "./budgetSettings.js";
import { budgetKey } from "./budgetTypes.js";
import { ShareWriter } from "./shareWriter.js";

/** Accounts by budget. */
export class AccountRegistry {
    readonly #context: ControllerContext;
    readonly #settings: BudgetSettings;
    readonly #policy: SharePolicy;
    readonly #accounts = new Map<string, BudgetAccount>();
    readonly #calls = new Map<string, BudgetAccount>();
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

    /** @returns The account of a budget, if there is one. */
    find(budget: string): BudgetAccount | undefined {
        return this.#accounts.get(budget);
    }

    /** @returns The account of a budget; created when there is none. */
    getOrCreate(budget: string): BudgetAccount {
        const known = this.#accounts.get(budget);
        if (known !== undefined) {
            return known;
        }
        const { board, clock, counters, emit } = this.#context;
        const identify = (): { owner: "budget"; callId: string; key: string; } => {
            const callId = `s${++this.#lastCallId}`;
            this.#calls.set(callId, account);
            return { owner: "budget", callId, key: budgetKey(budget) };
        };
        const writer = new ShareWriter(board.journal.hostKey, {
            readObject: () => emit({ type: "storeGet", ...identify() }),
            writeObject: (value, expectedVersion) => emit({ type: "storePut", ...identify(), value, expectedVersion }),
            addToCounter: (name, amount) => counters.add(name, amount),
        }, this.#settings.storeRetryMs);
        const account = new BudgetAccount(budget, this.#settings, this.#policy, writer, clock.monotonicMs());
        this.#accounts.set(budget, account);
        board.budget.entries.set(budget, account.entry);
        return account;
    }

    /** Ends a store call. @returns Its account, unless the incarnation has changed since. */
    completeCall(callId: string): BudgetAccount | undefined {
        const account = this.#calls.get(callId);
        this.#calls.delete(callId);
        return account;
    }

    /** Forgets all accounts and calls of an incarnation that was sealed. */
    clear(): void {
        this.#accounts.clear();
        this.#calls.clear();
        this.#context.board.budget.entries.clear();
    }
}
