/** Settings of the operator tool. */
import { z } from "zod";
import { DefaultPlatformTimeouts } from "../platform/platformClient.js";

/** Schema of the settings file of `toucanctl`, with defaults. */
export const ControlSettingsSchema = z.strictObject({
    /** Base URL of the platform's object API. */
    platformUrl: z.url().default("http://127.0.0.1:7100"),
    /** Maximum wait for a response from the platform or a router. */
    timeoutMs: z.number().int().positive().default(DefaultPlatformTimeouts.timeoutMs),
    /** Maximum wait for a TCP connection to the platform. */
    connectTimeoutMs: z.number().int().positive().default(DefaultPlatformTimeouts.connectTimeoutMs),
    /** Bearer token for the routers' operator endpoints. */
    operatorToken: z.string().min(1).optional(),
    /** Name of the operator in the change history; the login name when absent. */
    author: z.string().min(1).optional(),
    /** Maximum time for which a store access that failed or has an unknown outcome is retried. */
    retryMs: z.number().int().nonnegative().default(10_000),
});

/** Settings of `toucanctl` after parsing. */
export type ControlSettings = z.infer<typeof ControlSettingsSchema>;
