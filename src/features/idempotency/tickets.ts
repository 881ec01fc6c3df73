/**
 * Tickets: idempotency keys that a host incarnation issues. Only the issuer, or a host to which it hands the ticket over, may
 * dispatch the request of a ticket.
 */
import { createHmac } from "node:crypto";
import { equalHashes } from "../../base/hashing.js";

const TicketPrefix = "tkt";

/** Number of hexadecimal digits of the authentication code: 128 bits, which cannot be guessed. */
const MacDigits = 32;

/** The fields of a ticket. */
export interface Ticket {
    /** Incarnation that issued the ticket. */
    readonly hostKey: string;
    /** Number of the ticket within the incarnation, from 1. */
    readonly sequence: number;
    /** Authentication code, by which the issuer recognises its tickets. */
    readonly mac: string;
}

/**
 * Parses an idempotency key as a ticket. The authentication code is not checked.
 * @returns The ticket, or `undefined` for any other idempotency key.
 */
export function parseTicket(idempotencyKey: string): Ticket | undefined {
    const parts = idempotencyKey.split(".");
    const [mac, sequenceText] = [parts.at(-1), parts.at(-2)];
    if (parts.length < 4 || parts[0] !== TicketPrefix || mac === undefined || sequenceText === undefined) {
        return undefined;
    }
    const sequence = Number(sequenceText);
    if (!Number.isSafeInteger(sequence) || sequence < 1) {
        return undefined;
    }
    return { hostKey: parts.slice(1, -2).join("."), sequence, mac };
}

/** Issues the tickets of one process and remembers which of them were used. */
export class TicketRegistry {
    readonly #secret: string;
    /** Sequences that were used, by host key. A process that was sealed keeps those of its earlier incarnations. */
    readonly #usedSequences = new Map<string, Set<number>>();
    #issuedCount = 0;
    #hostKey = "";

    /** @param secret Secret for authentication codes. It stays in this process, since only the issuer checks its tickets. */
    constructor(secret: string) {
        this.#secret = secret;
    }

    /** @returns Number of tickets that the current incarnation has issued. */
    get issuedCount(): number {
        return this.#issuedCount;
    }

    /** Restarts the numbering when the incarnation has changed. */
    setIncarnation(hostKey: string): void {
        if (this.#hostKey !== hostKey) {
            this.#hostKey = hostKey;
            this.#issuedCount = 0;
            this.#usedSequences.set(hostKey, new Set());
        }
    }

    /**
     * Issues a ticket.
     * @param limit Highest sequence that the acknowledged host record declares.
     * @returns A new ticket, or `undefined` when the limit is reached.
     */
    issue(limit: number): string | undefined {
        if (this.#issuedCount >= limit) {
            return undefined;
        }
        this.#issuedCount++;
        const body = `${TicketPrefix}.${this.#hostKey}.${this.#issuedCount}`;
        return `${body}.${this.#computeMac(body)}`;
    }

    /** @returns Whether this process issued the ticket, in this or an earlier incarnation. */
    wasIssuedHere(ticket: Ticket): boolean {
        const body = `${TicketPrefix}.${ticket.hostKey}.${ticket.sequence}`;
        return this.#usedSequences.has(ticket.hostKey) && equalHashes(ticket.mac, this.#computeMac(body));
    }

    /**
     * Marks a ticket as used.
     * @returns Whether the ticket was unused until now; false also for tickets of other processes.
     */
    tryUse(ticket: Ticket): boolean {
        const used = this.#usedSequences.get(ticket.hostKey);
        if (used === undefined || used.has(ticket.sequence)) {
            return false;
        }
        used.add(ticket.sequence);
        return true;
    }

    /** Makes a ticket usable again. Call it only when the request of the ticket definitely did not run. */
    markUnused(ticket: Ticket): void {
        this.#usedSequences.get(ticket.hostKey)?.delete(ticket.sequence);
    }

    #computeMac(body: string): string {
        return createHmac("sha256", this.#secret).update(body).digest("hex").slice(0, MacDigits);
    }
}
