/** Exit codes of all programs. */
export const ExitCodes = {
    /** Success. */
    Done: 0,
    /** An error without a code of its own. */
    Failed: 1,
    /** Wrong command line or settings. */
    Usage: 2,
    /** A write was refused because the stored object has changed. */
    Conflict: 3,
    /** The store could not be read or written. */
    StoreUnavailable: 4,
} as const;
/** One of the {@link ExitCodes}. */
export type ExitCode = (typeof ExitCodes)[keyof typeof ExitCodes];
