/** The processor time that parsing the bytes of one connection, and starting its requests, takes and may take. */
export abstract class ParseAccount {
    /** @returns Whether the connection may parse, or start a request, now; if not, it must wait for its turn. */
    abstract get mayParse(): boolean;

    /** @returns Processor time since the latest complete request, in milliseconds: that of a request which is not complete, or of none. */
    abstract get requestMs(): number;

    /** @returns Bytes parsed in that time. */
    abstract get requestBytes(): number;

    /** Parses some bytes, and adds them and the time to the account and to the request. Errors of the function are passed on. */
    abstract measureParsing(bytes: number, parse: () => void): void;

    /** Starts a request that was parsed before, and adds the time to the account. Errors of the function are passed on. */
    abstract measureStart(start: () => void): void;

    /** Records that a request has been read completely. */
    abstract recordRequest(): void;

    /** Calls back the owner of the connection when it may go on. */
    abstract waitForTurn(): void;

    /** Removes the connection; it is not called back any more. */
    abstract close(): void;
}
