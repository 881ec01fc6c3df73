/** Bounds the memory that the bodies of callers' requests take together. */

/** Counts the bytes of bodies that are being read, or kept until their request ends. */
export class BodyMemory {
    readonly #maxBytes: number;
    #heldBytes = 0;

    /** @param maxBytes Maximum size of all bodies together, in bytes. */
    constructor(maxBytes: number) {
        this.#maxBytes = maxBytes;
    }

    /** @returns Bytes that can still be taken. */
    get availableBytes(): number {
        return this.#maxBytes - this.#heldBytes;
    }

    /** @returns The share of one request, which holds nothing yet. */
    open(): BodyShare {
        return new BodyShare(bytes => this.#tryHold(bytes));
    }

    #tryHold(bytes: number): boolean {
        if (bytes > this.availableBytes) {
            return false;
        }
        this.#heldBytes += bytes;
        return true;
    }
}

/** Memory that the body of one request holds. */
export class BodyShare {
    readonly #tryHold: (bytes: number) => boolean;
    #bytes = 0;

    constructor(tryHold: (bytes: number) => boolean) {
        this.#tryHold = tryHold;
    }

    /** Takes memory for received bytes. @returns Whether there is enough. */
    tryAdd(bytes: number): boolean {
        const isHeld = this.#tryHold(bytes);
        this.#bytes += isHeld ? bytes : 0;
        return isHeld;
    }

    /** Gives the memory back; later calls have no effect. */
    release(): void {
        this.#tryHold(-this.#bytes);
        this.#bytes = 0;
    }
}
