/** Tickets: idempotency keys that one host incarnation issues and that only this incarnation may dispatch. */
import { createHmac } from "node:crypto";
import { equalHashes } from "../../base/hashing.js";

const TicketPrefix = "tkt";

/** Hexadecimal digits of the authentication code; 128 bits cannot be guessed. */
const MacDigits = 32;

/** Parts of a ticket. */
export interface Ticket {
    readonly hostKey: string;
    readonly sequence: number;
    readonly mac: string;
}

/** @returns The parts, or `undefined` for any other idempotency key. */
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

/** The tickets that one process issued. */
export class TicketRegistry {
    readonly #secret: string;
    /** Sequences that were used, by host key; a sealed process keeps those of its earlier incarnations. */
    readonly #used = new Map<string, Set<number>>();
    #issued = 0;
    #hostKey = "";

    /** @param secret Secret of this process; only the issuer checks its tickets. */
    constructor(secret: string) {
        this.#secret = secret;
    }

    /** @returns Number of the last ticket of the current incarnation. */
    get issuedCount(): number {
        return this.#issued;
    }

    /** Starts numbering anew when the incarnation changes. */
    setIncarnation(hostKey: string): void {
        if (this.#hostKey !== hostKey) {
            this.#hostKey = hostKey;
            this.#issued = 0;
            this.#used.set(hostKey, new Set());
        }
    }

    /**
     * @param limit Highest sequence that the acknowledged host record declares.
     * @returns A new ticket, or `undefined` when the limit is reached.
     */
    issue(limit: number): string | undefined {
        if (this.#issued >= limit) {
            return undefined;
        }
        this.#issued++;
        const body = `${TicketPrefix}.${this.#hostKey}.${this.#issued}`;
        return `${body}.${this.#mac(body)}`;
    }

    /** @returns Whether this process issued the ticket. */
    wasIssuedHere(ticket: Ticket): boolean {
        const body = `${TicketPrefix}.${ticket.hostKey}.${ticket.sequence}`;
        return this.#used.has(ticket.hostKey) && equalHashes(ticket.mac, this.#mac(body));
    }

    /** @returns Whether the ticket was unused until now. */
    tryUse(ticket: Ticket): boolean {
        const used = this.#used.get(ticket.hostKey);
        if (used === undefined || used.has(ticket.sequence)) {
            return false;
        }
        used.add(ticket.sequence);
        return true;
    }

    /** Makes a ticket usable again; only when its request definitely did not run. */
    markUnused(ticket: Ticket): void {
        this.#used.get(ticket.hostKey)?.delete(ticket.sequence);
    }

    #mac(body: string): string {
        return createHmac("sha256", this.#secret).update(body).digest("hex").slice(0, MacDigits);
    }
}
