/** Tracks open reservations and creates the bills of settled ones. */
import type { Counters } from "../../base/counters.js";
import type { BudgetBoard, BudgetEntry } from "./budgetBoard.js";
import type { BillDraft } from "./budgetTypes.js";

interface OpenReservation {
    readonly hostKey: string;
    readonly budget: string;
    readonly entry: BudgetEntry;
    readonly costTokens: number;
}

/** Opens, settles and releases reservations. Each reservation is settled or released at most once. */
export class ReservationTracker {
    readonly #board: BudgetBoard;
    readonly #counters: Counters;
    readonly #openReservations = new Map<string, OpenReservation>();
    #lastOrdinal = 0;

    constructor(board: BudgetBoard, counters: Counters) {
        this.#board = board;
        this.#counters = counters;
    }

    /** @returns Whether a reservation is open. */
    isOpen(reservationId: string): boolean {
        return this.#openReservations.has(reservationId);
    }

    /**
     * Opens a reservation: its worst-case cost is added to the reserved tokens of the entry.
     * @param hostKey Host incarnation that the reservation belongs to.
     */
    open(reservationId: string, budget: string, entry: BudgetEntry, costTokens: number, hostKey: string): void {
        entry.reservedTokens += costTokens;
        this.#openReservations.set(reservationId, { hostKey, budget, entry, costTokens });
        this.#board.openReservations.set(hostKey, (this.#board.openReservations.get(hostKey) ?? 0) + 1);
    }

    /**
     * Closes a reservation and adds its bill. The billed tokens are capped at the reserved ones.
     * @returns The budget whose entry changed, or `undefined` when the reservation is not open.
     */
    settle(reservationId: string, bill: BillDraft): string | undefined {
        const reservation = this.#close(reservationId);
        if (reservation === undefined) {
            this.#counters.add("budget.settle.unknown");
            return undefined;
        }
        const tokens = Math.max(0, Math.min(bill.tokens, reservation.costTokens));
        if (tokens !== bill.tokens) {
            this.#counters.add("budget.bill.capped");
        }
        reservation.entry.settledTokens += tokens;
        this.#addBill(reservation.hostKey, { ...bill, budget: reservation.budget, tokens });
        return reservation.budget;
    }

    /**
     * Closes a reservation without a bill.
     * @returns The budget whose entry changed, or `undefined` when the reservation is not open.
     */
    release(reservationId: string): string | undefined {
        const reservation = this.#close(reservationId);
        this.#counters.add(reservation === undefined ? "budget.release.unknown" : "budget.reservation.released");
        return reservation?.budget;
    }

    /**
     * Cancels a bill line of this process by adding a line with negative tokens. Ignores a bill that is no reversal.
     * @param entry Current entry of the budget that was billed.
     * @param hostKey Current host incarnation.
     */
    reverseBill(bill: BillDraft, entry: BudgetEntry, hostKey: string): void {
        if (bill.outcome !== "reversal" || bill.tokens > 0) {
            this.#counters.add("budget.reversal.invalid");
            return;
        }
        entry.settledTokens += bill.tokens;
        this.#addBill(hostKey, bill);
    }

    /** Removes the bills that the journal has taken over, up to the given bill number. */
    removeTakenBills(ordinal: number): void {
        const { bills } = this.#board;
        let count = 0;
        while (count < bills.length && bills[count]!.ordinal <= ordinal) {
            count++;
        }
        bills.splice(0, count);
    }

    #addBill(hostKey: string, draft: BillDraft): void {
        this.#lastOrdinal++;
        this.#counters.add("budget.bills");
        this.#board.bills.push({ ordinal: this.#lastOrdinal, hostKey, draft });
    }

    #close(reservationId: string): OpenReservation | undefined {
        const reservation = this.#openReservations.get(reservationId);
        if (reservation !== undefined) {
            this.#openReservations.delete(reservationId);
            reservation.entry.reservedTokens -= reservation.costTokens;
            const openCount = this.#board.openReservations.get(reservation.hostKey) ?? 1;
            this.#board.openReservations.set(reservation.hostKey, openCount - 1);
        }
        return reservation;
    }
}
