/** Exit codes of all programs. */
export const ExitCodes = {
    Done: 0,
    Failed: 1,
    /** Wrong command line or settings. */
    Usage: 2,
    Conflict: 3,
    StoreUnavailable: 4,
} as const;
export type ExitCode = (typeof ExitCodes)[keyof typeof ExitCodes];
