/** Settings of the operator tool. */
import { z } from "zod";
import { DefaultPlatformTimeouts } from "../platform/platformClient.js";

/** Settings with their defaults. */
export const ControlSettingsSchema = z.strictObject({
    /** Base URL of the platform's object API. */
    platformUrl: z.url().default("http://127.0.0.1:7100"),
    /** Longest wait for the answer to a call of the platform or of a router. */
    timeoutMs: z.number().int().positive().default(DefaultPlatformTimeouts.timeoutMs),
    /** Longest wait for a TCP connection. */
    connectTimeoutMs: z.number().int().positive().default(DefaultPlatformTimeouts.connectTimeoutMs),
    /** Token of the routers' operator endpoints. */
    operatorToken: z.string().min(1).optional(),
    /** Name in the history; the login name when absent. */
    author: z.string().min(1).optional(),
    /** Longest time for which an unanswered or refused write is repeated. */
    retryMs: z.number().int().nonnegative().default(10_000),
});
export type ControlSettings = z.infer<typeof ControlSettingsSchema>;
